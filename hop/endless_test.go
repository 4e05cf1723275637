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

// endless serves connections that get the start of an answer and then the
// chunk without end, until the other side closes. It counts the bytes written.
func endless(t *testing.T, start, chunk string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); g.Wait() })
	big := []byte(strings.Repeat(chunk, 1+4096/len(chunk)))
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
					b = big
				}
			})
		}
	})
	return l.Addr().String()
}

// TestEndlessAnswers meets workers whose answers never end. None of them is
// passed on as a whole answer, those that are no answer of a worker are given up
// at once, and memory does not grow with what was sent.
func TestEndlessAnswers(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		proof    = "Figwheel-Attempt-Id: 1\r\nFigwheel-Server-Seal: 3e1b\r\n"
		requests = 200
		timeout  = time.Second      // of what may be streamed until then
		patience = 30 * time.Second // within which all else has to be given up
		mostHeap = 184 << 20 / 4    // a quarter of the smallest instance, in bytes
	)
	cases := []struct {
		name, start, chunk string
		proven             bool // it may be streamed until the deadline
	}{
		{"a header field", ok + "X: ", "x", false},
		{"header fields", ok, "X: y\r\n", false},
		{"a status line", "HTTP/1.1 200 ", "x", false},
		{"no answer at all", "", "garbage", false},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		{"a body without proof", ok + "\r\n", "x", false},
		{"chunks without proof", ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		{"a refusal's body", "HTTP/1.1 503 Busy\r\nFigwheel-Attempt-Id: 1\r\nFigwheel-Not-Executed: 1\r\n\r\n", "x", false},
		{"a chunk extension", ok + proof + "Transfer-Encoding: chunked\r\n\r\n1;", "x", false},
		{"trailers", ok + proof + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false},
		{"a proven body", ok + proof + "\r\n", "x", true},
		{"proven chunks", ok + proof + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		{"a proven body with a length", ok + proof + "Content-Length: 9000000000000\r\n\r\n", "x", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tr := hop.NewTransport(0, patience, time.Second)
			defer tr.CloseIdleConnections()
			h := hop.Hop{Transport: tr, Address: endless(t, c.start, c.chunk), Headers: platform.Headers(), HoldBack: true}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var g sync.WaitGroup
			faults := make(chan string, requests)
			for range requests {
				g.Go(func() {
					d := patience
					if c.proven {
						d = timeout
					}
					x, stop := context.WithTimeout(t.Context(), d)
					defer stop()
					r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil)
					r.Header.Set("Figwheel-Attempt-Id", "1")
					w := &slowCaller{header: http.Header{}, gone: x.Done()}
					f := h.Do(x, w, r, hop.NewBody(w, r))
					if !c.proven && x.Err() != nil {
						faults <- "not given up"
					}
					if f.OK() || f.Begun && !c.proven || f.Outcome == contract.NotRun && x.Err() == nil && !strings.Contains(c.start, "Not-Executed") {
						faults <- fmt.Sprintf("%+v", f)
					}
				})
			}
			g.Wait()
			runtime.ReadMemStats(&after)
			close(faults)
			for f := range faults {
				t.Error(f)
			}
			if d := int64(after.Sys) - int64(before.Sys); d > mostHeap {
				t.Errorf("memory grew by %d bytes", d)
			}
		})
	}
}

// slowCaller takes the first bytes of an answer and no more until it has gone.
type slowCaller struct {
	header http.Header
	gone   <-chan struct{}
	taken  bool
}

func (s *slowCaller) Header() http.Header { return s.header }
func (s *slowCaller) WriteHeader(int)     {}
func (s *slowCaller) FlushError() error   { return nil }

func (s *slowCaller) Write(b []byte) (int, error) {
	if s.taken {
		<-s.gone
		return 0, io.ErrClosedPipe
	}
	s.taken = true
	return len(b), nil
}
