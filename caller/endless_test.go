package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/hop/hoptest"
	"figwheel/link"
	"figwheel/site"
	"figwheel/upstream"
)

// endlessWorker returns the address of a worker that answers requests for /alone/sound, and
// any other with start and then with chunk over and over, until the other side closes.
func endlessWorker(t *testing.T, start, chunk string) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if q.URL.Path == "/alone/sound" {
				reply(c, "200 OK", sealedHeaders, "whole")
				continue
			}
			hoptest.WriteEndless(c, start, chunk)
			return
		}
	})
}

// endlessMesh returns a daemon that sends requests to the worker, its own or that of another
// daemon, as many at a time as a test sends.
func endlessMesh(t *testing.T, worker string, local bool) *node {
	t.Helper()
	const slots = 1000
	c := site.Table{
		Number:   7,
		Services: []site.Service{{Name: "s", Connections: slots, Deadline: time.Minute}},
		Routes:   []site.Route{{Name: "alone", Host: "h.example", PathPrefix: "/alone/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatAllowed, Timeout: time.Minute, Attempts: 1}},
	}
	s, err := c.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	e, k := platformNode(t), link.Candidate{Name: "0", Slots: slots, SameSite: true, Peer: &link.Peer{}, Local: local}
	w := e
	if !local {
		w = platformNode(t)
		w.view.Store(caller.NewView(s, nil))
		k.Address = address(w.link)
	}
	v, _ := s.Service("s")
	w.worker.Set(upstream.Announcement{Service: "s", Address: worker, State: "Ready", Slots: slots, ID: "i-0"}, v, time.Now())
	e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{k})}))
	return e
}

// TestEndlessAnswersLeaveOtherRequestsAlone guards against bytes without end of a faulty
// worker, in a head, a body or a trailer, of which a daemon keeps more than a bounded part for
// each request, until it has no memory for the requests of others. The callers do not read
// what they get.
func TestEndlessAnswersLeaveOtherRequestsAlone(t *testing.T) {
	const (
		requests    = 120
		perPipeline = 4
		streamTime  = 150 * time.Millisecond
		memoryMax   = 184 << 20 / 4 // a quarter of the memory of the smallest instance, in bytes for each daemon
	)
	const ok = "HTTP/1.1 200 OK\r\n" + sealedHeaders
	head := "GET /alone/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\n\r\n"
	callers := map[string]func(x context.Context, t *testing.T, e *node){
		"HTTP/1.1": func(_ context.Context, t *testing.T, e *node) {
			for range requests {
				c := dial(t, address(e.call))
				t.Cleanup(func() { _ = c.Close() })
				_, _ = io.WriteString(c, head)
			}
		},
		"pipelined": func(_ context.Context, t *testing.T, e *node) {
			for range requests / perPipeline {
				c, _ := dialPipelined(t, e, perPipeline)
				_, _ = io.WriteString(c, strings.Repeat(head, perPipeline))
			}
		},
		"HTTP/2": func(x context.Context, t *testing.T, e *node) {
			p := new(http.Protocols)
			p.SetUnencryptedHTTP2(true)
			tr := &http.Transport{Protocols: p, HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: 64 << 10, MaxReceiveBufferPerConnection: 64 << 10}}
			t.Cleanup(tr.CloseIdleConnections)
			for range requests {
				go func() {
					q := request(t, e, http.MethodGet, "/alone/", nil).WithContext(x)
					q.Header.Set("Figwheel-Attempt-Id", "a1")
					if p, err := tr.RoundTrip(q); err == nil {
						<-x.Done()
						_ = p.Body.Close()
					}
				}()
			}
		},
	}
	for name, a := range map[string]struct {
		start, chunk string
		spoils       bool // whether the next request on the connection may get these bytes
	}{
		"a header field":              {ok + "X: ", "x", false},
		"header fields":               {ok, "X: y\r\n", false},
		"a name":                      {ok, "x", false},
		"a status line":               {"HTTP/1.1 200 ", "x", false},
		"no answer":                   {"", "garbage", false},
		"interim answers":             {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		"interim answers, no field":   {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"a body":                      {ok + "\r\n", "x", false},
		"chunks":                      {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		"a chunk":                     {ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffff\r\n", "x", false},
		"a chunk extension":           {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x", false},
		"a length":                    {ok + "Content-Length: 9000000000000\r\n\r\n", "x", false},
		"trailers":                    {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n", false},
		"a body that is not its own":  {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"the body of a refusal":       {"HTTP/1.1 503 Busy\r\n" + sealedHeaders + "Figwheel-Not-Executed: 1\r\n\r\n", "x", false},
		"bytes behind a whole answer": {ok + "Content-Length: 1\r\n\r\nx", "x", true},
	} {
		for kind, sendAll := range callers {
			for _, local := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, own worker %t", name, kind, local), func(t *testing.T) {
					e := endlessMesh(t, endlessWorker(t, a.start, a.chunk), local)
					most := int64(memoryMax)
					if !local {
						most *= 2
					}
					grown := hoptest.LimitMemory(most)
					x, stop := context.WithCancel(t.Context())
					defer stop()
					sendAll(x, t, e)
					until := time.Now().Add(streamTime)
					var g sync.WaitGroup
					failed := make(chan received, requests)
					for range 4 {
						g.Go(func() {
							for time.Now().Before(until) {
								q := request(t, e, http.MethodGet, "/alone/sound", nil)
								q.Header.Set("Figwheel-Attempt-Id", "a1")
								r := send(t, q)
								if a.spoils && r.Status == http.StatusBadGateway {
									continue
								}
								if r.Status != http.StatusOK || r.Body != "whole" {
									failed <- r
									return
								}
							}
						})
					}
					g.Wait()
					if n := grown(); n > most {
						t.Errorf("memory grew by %d bytes, want at most %d", n, most)
					}
					close(failed)
					for r := range failed {
						t.Errorf("a request of another caller: %+v, want its answer", r)
					}
				})
			}
		}
	}
}
