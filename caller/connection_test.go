package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
)

// serveCallers serves h on a caller.Listener until the test ends, and returns its
// address.
func serveCallers(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler:     h,
		IdleTimeout: 10 * time.Second,
		ConnContext: caller.ConnContext,
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(caller.Listener{Listener: l}) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

const requestFormat = "GET /%d HTTP/1.1\r\nHost: h.example\r\n\r\n"

// TestCallerLeavesWithRequestsWaiting guards against work that continues for a
// caller that has disconnected. It closes a connection on which further requests
// are pipelined, whole or in part; the context of the first request must end.
func TestCallerLeavesWithRequestsWaiting(t *testing.T) {
	next := fmt.Sprintf(requestFormat, 2)
	for name, rest := range map[string]string{
		"none":          "",
		"one":           next,
		"a byte of one": next[:1],
		"many":          strings.Repeat(next, 50),
	} {
		t.Run(name, func(t *testing.T) {
			began, left := make(chan struct{}, 500), make(chan struct{}, 500)
			a := serveCallers(t, func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				<-r.Context().Done()
				left <- struct{}{}
			})
			c, err := net.Dial("tcp", a)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(c, requestFormat, 1)
			<-began
			if _, err := io.WriteString(c, rest); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
			select {
			case <-left:
			case <-time.After(5 * time.Second):
				t.Error("the request was not cancelled after its caller disconnected")
			}
		})
	}
}

// TestPipelinedAnswersInOrder guards against bytes of pipelined requests that are
// lost or reordered by the lookahead. It sends requests without waiting for
// answers, in pieces that end at any byte; the answers must come in the order of
// the requests.
func TestPipelinedAnswersInOrder(t *testing.T) {
	const n = 50
	a := serveCallers(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	var all strings.Builder
	var want []string
	for i := range n {
		_, _ = fmt.Fprintf(&all, requestFormat, i)
		want = append(want, fmt.Sprintf("/%d", i))
	}
	for _, piece := range []int{1, 7, 43, 4096} {
		c, err := net.Dial("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		sent := make(chan error, 1)
		go func() {
			var err error
			for s := all.String(); s != "" && err == nil; {
				k := min(piece, len(s))
				_, err = io.WriteString(c, s[:k])
				s = s[k:]
			}
			sent <- err
		}()
		b := bufio.NewReader(c)
		var got []string
		for range n {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				t.Fatal(err)
			}
			d, err := io.ReadAll(p.Body)
			_ = p.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, string(d))
		}
		if err := <-sent; err != nil {
			t.Error(err)
		}
		_ = c.Close()
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("pieces of %d (-want +got)\n%s", piece, d)
		}
	}
}
