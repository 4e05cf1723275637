package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/caller"
)

// TestFinishAnswersPipelinedRequests guards against a connection that is closed as idle
// between two answers while requests behind them are served, and against a server of the
// daemon that serves them one after the other although it is set up not to.
func TestFinishAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	const (
		connections = 40
		requests    = 6
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running, most atomic.Int64
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			continue
		}
		time.Sleep(15 * time.Millisecond) // longer than idleSettleTime
		_, _ = io.WriteString(w, "x")
	})
	inTurn := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { caller.ServeAhead(w, r, h) })
	s := &servers{daemon: &Daemon{}}
	v := s.startConnections(l, inTurn, caller.Listener{
		Cut:   func(k caller.Cut) { t.Errorf("a cut was reported: %+v", k) },
		Ahead: caller.Ahead{Handler: h, May: func(*http.Request) bool { return true }, Depth: 3},
	})
	defer func() {
		_ = v.Close()
		if err := s.group.Wait(); err != nil {
			t.Error(err)
		}
	}()
	var g sync.WaitGroup
	for i := range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(finishTimeout))
		g.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			_, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
			b := bufio.NewReader(c)
			for j := range requests {
				p, err := http.ReadResponse(b, nil)
				if err != nil {
					t.Errorf("connection %d, answer %d: %v", i, j, err)
					return
				}
				_, _ = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
			}
		})
	}
	time.Sleep(connections / 2 * time.Millisecond)
	x, stop := context.WithTimeout(t.Context(), finishTimeout)
	defer stop()
	v.finish(x)
	g.Wait()
	if n := most.Load(); n <= connections {
		t.Errorf("at most %d requests were served at the same time on %d connections", n, connections)
	}
}
