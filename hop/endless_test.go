package hop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/platform"
)

// serveEndless starts a server that answers each connection with start and then
// with chunk over and over, until the other side closes. It returns the address.
func serveEndless(t *testing.T, start, chunk string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); g.Wait() })
	chunks := []byte(strings.Repeat(chunk, 1+4096/len(chunk)))
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
				b := []byte(start)
				for err == nil {
					_, err = c.Write(b)
					b = chunks
				}
			})
		}
	})
	return l.Addr().String()
}

// TestEndlessAnswers sends requests to workers whose responses never end. It guards
// against three failures: a response without an end that is taken as complete,
// one that is not known to be the worker's and is not aborted before the deadline,
// and memory that grows with the bytes received.
func TestEndlessAnswers(t *testing.T) {
	const (
		ok              = "HTTP/1.1 200 OK\r\n"
		workerHeaders   = "Figwheel-Attempt-Id: 1\r\nFigwheel-Server-Seal: 3e1b\r\n"
		requests        = 200
		streamTimeout   = time.Second      // deadline of the requests whose response may be streamed
		failTimeout     = 30 * time.Second // deadline of the other requests, which must fail before it
		memoryGrowthMax = 184 << 20 / 4    // a quarter of the memory of the smallest instance, in bytes
	)
	cases := []struct {
		name, start, chunk string
		streamable         bool // whether the response may be streamed until the deadline
	}{
		{"a header field", ok + "X: ", "x", false},
		{"header fields", ok, "X: y\r\n", false},
		{"a status line", "HTTP/1.1 200 ", "x", false},
		{"no answer at all", "", "garbage", false},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		{"a body without worker headers", ok + "\r\n", "x", false},
		{"chunks without worker headers", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		{"the body of a refusal", "HTTP/1.1 503 Busy\r\nFigwheel-Attempt-Id: 1\r\nFigwheel-Not-Executed: 1\r\n\r\n", "x", false},
		{"a chunk extension", ok + workerHeaders + "Transfer-Encoding: chunked\r\n\r\n1;", "x", false},
		{"trailers", ok + workerHeaders + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false},
		{"a body with worker headers", ok + workerHeaders + "\r\n", "x", true},
		{"chunks with worker headers", ok + workerHeaders + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		{"a body with worker headers and a length", ok + workerHeaders + "Content-Length: 9000000000000\r\n\r\n", "x", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := hop.NewTransport(0, failTimeout, time.Second)
			defer tr.CloseIdleConnections()
			h := hop.Hop{Transport: tr, Address: serveEndless(t, c.start, c.chunk), Headers: platform.Headers(), HoldBack: true}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var g sync.WaitGroup
			failures := make(chan string, requests)
			for range requests {
				g.Go(func() {
					d := failTimeout
					if c.streamable {
						d = streamTimeout
					}
					x, stop := context.WithTimeout(t.Context(), d)
					defer stop()
					r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil)
					r.Header.Set("Figwheel-Attempt-Id", "1")
					w := &slowCaller{header: http.Header{}, done: x.Done()}
					f := h.Do(x, w, r, hop.NewBody(w, r))
					if !c.streamable && x.Err() != nil {
						failures <- "the request did not fail before its deadline"
					}
					if f.OK() || f.Begun && !c.streamable || f.Outcome == contract.NotRun && x.Err() == nil && !strings.Contains(c.start, "Not-Executed") {
						failures <- fmt.Sprintf("%+v", f)
					}
				})
			}
			g.Wait()
			runtime.ReadMemStats(&after)
			close(failures)
			for f := range failures {
				t.Error(f)
			}
			if d := int64(after.Sys) - int64(before.Sys); d > memoryGrowthMax {
				t.Errorf("memory grew by %d bytes", d)
			}
		})
	}
}

// slowCaller is a ResponseWriter that accepts the first write and blocks further
// ones until done, when they fail.
type slowCaller struct {
	header http.Header
	done   <-chan struct{}
	wrote  bool
}

func (s *slowCaller) Header() http.Header { return s.header }
func (s *slowCaller) WriteHeader(int)     {}
func (s *slowCaller) FlushError() error   { return nil }

func (s *slowCaller) Write(b []byte) (int, error) {
	if s.wrote {
		<-s.done
		return 0, io.ErrClosedPipe
	}
	s.wrote = true
	return len(b), nil
}
