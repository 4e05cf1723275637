package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figwheel/hop/hoptest"
	"figwheel/peer"
	"figwheel/peer/peerpb"
	"figwheel/site"
)

// TestEndlessMessages guards against bytes without end at the address of a daemon, of which
// another one keeps more than a bounded part.
func TestEndlessMessages(t *testing.T) {
	const (
		exchanges = peer.Fanout // as many as a daemon sends a head to at the same time
		timeLimit = time.Second
		memoryMax = 184 << 20 / 4 // a quarter of the memory of the smallest instance, in bytes
	)
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, a := range map[string]struct{ start, chunk string }{
		"a header field":   {ok + "X: ", "x"},
		"header fields":    {ok, "X: y\r\n"},
		"a status line":    {"HTTP/1.1 200 ", "x"},
		"no answer":        {"", "garbage"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"a body":           {ok + "\r\n", "x"},
		"chunks":           {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"a length":         {ok + "Content-Length: 9000000000000\r\n\r\n", "x"},
		"a failure":        {"HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\r\n", "x"},
		"a failure's text": {"HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\n\r\n{\"message\":\"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			k := peer.NewClient(&peer.Meter{}, nil)
			defer k.Close()
			at := hoptest.ServeEndless(t, a.start, a.chunk)
			grown := hoptest.LimitMemory(memoryMax)
			var g sync.WaitGroup
			for range exchanges {
				g.Go(func() {
					x, stop := context.WithTimeout(t.Context(), timeLimit)
					defer stop()
					if _, err := k.Exchange(x, at, &peerpb.ExchangeRequest{From: "b"}); err == nil {
						t.Error("the message was read")
					}
				})
			}
			g.Go(func() {
				x, stop := context.WithTimeout(t.Context(), timeLimit)
				defer stop()
				if _, _, err := k.Fetch(x, at, "a", ""); err == nil {
					t.Error("the content was read")
				}
			})
			g.Wait()
			if n := grown(); n > memoryMax {
				t.Errorf("memory grew by %d bytes, want at most %d", n, memoryMax)
			}
		})
	}
}

// TestLargeMessagesPass guards against a bound that rejects a message which daemons send: a
// table of more instances than the target has, and a content of the largest size.
func TestLargeMessagesPass(t *testing.T) {
	const instances = 2000
	p := &peerpb.ExchangeResponse{}
	for i := range instances {
		p.News = append(p.News, &peerpb.Record{
			Name: fmt.Sprint("sidecar-bac-trung-bo-", i), Incarnation: math.MaxInt64, Site: "bac-trung-bo", PeerAddress: "10.128.100.100:17620",
			LinkAddress: "10.128.100.100:17621", Service: "inspection-store", State: 2, Health: 8, Slots: 100,
		})
	}
	k := peer.NewClient(&peer.Meter{}, nil)
	defer k.Close()
	got, err := k.Exchange(t.Context(), serveMessage(t, p), &peerpb.ExchangeRequest{From: "b"})
	if n := len(got.GetNews()); err != nil || n != instances {
		t.Errorf("%d instances, %v; want %d", n, err, instances)
	}
	c := bytes.Repeat([]byte("c"), site.BundleBytesMax)
	z, _, err := k.Fetch(t.Context(), serveMessage(t, &peerpb.FetchResponse{Compressed: c}), "a", "")
	if err != nil || len(z) != len(c) {
		t.Errorf("a content of %d bytes, %v; want %d", len(z), err, len(c))
	}
}

// serveMessage returns the address of a daemon that answers each request with m, in chunks.
func serveMessage(t *testing.T, m proto.Message) string {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(b)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
