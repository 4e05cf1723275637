package peer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figwheel/peer"
	"figwheel/peer/peerpb"
)

// serveEarly starts a program at a daemon's address that answers each request with the bytes
// of its answer before it has read the request, and then ends the connection with end. It
// returns the address.
func serveEarly(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); g.Wait() })
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			})
		}
	})
	return l.Addr().String()
}

// TestResetDuringRequestIsNoMessage guards against the first part of a message that is taken
// for the whole one, because the connection was reset while a large request was still being
// written. Beside it, a whole message without a length must pass.
func TestResetDuringRequestIsNoMessage(t *testing.T) {
	const exchanges = 100
	q := &peerpb.ExchangeRequest{From: "b"}
	for i := range 20_000 {
		q.News = append(q.News, &peerpb.Record{Name: fmt.Sprint("instance-", i), Site: strings.Repeat("s", 100)})
	}
	part, err := proto.Marshal(&peerpb.ExchangeResponse{News: []*peerpb.Record{{Name: "a", Incarnation: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n" + string(part)
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		want int // messages that were read
	}{
		{"reset", func(c *net.TCPConn) {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
			_, _ = io.CopyN(io.Discard, c, 64<<10)
			_ = c.SetLinger(0)
		}, 0},
		{"closed", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.Copy(io.Discard, c)
		}, exchanges},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := peer.NewClient(&peer.Meter{}, nil)
			defer k.Close()
			a := serveEarly(t, answer, c.end)
			got := 0
			for range exchanges {
				if p, err := k.Exchange(t.Context(), a, q); err == nil && len(p.GetNews()) == 1 {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d of %d messages were read, want %d", got, exchanges, c.want)
			}
		})
	}
}
