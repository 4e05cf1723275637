package hop_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"figwheel/hop"
	"figwheel/hop/hoptest"
)

// TestPaceEndsStalledReadsAlone guards against a limit of the whole time, which a large response on a slow link cannot keep, and against a response that keeps its reader for good.
func TestPaceEndsStalledReadsAlone(t *testing.T) {
	t.Parallel()
	const (
		idle  = 300 * time.Millisecond
		whole = 400 << 10 // bytes of a response
	)
	write := func(part int, every time.Duration, most int) func(c net.Conn) {
		return func(c net.Conn) {
			b := make([]byte, part)
			for n := 0; n < most; n += part {
				if _, err := c.Write(b[:min(part, most-n)]); err != nil {
					return
				}
				time.Sleep(every)
			}
			if most < whole {
				_, _ = io.Copy(io.Discard, c) // until the reader has left
			}
		}
	}
	for _, c := range []struct {
		name   string
		header string
		send   func(c net.Conn)
		sound  bool
		within time.Duration
	}{
		{"at once", "Content-Length: 409600\r\n\r\n", write(whole, 0, whole), true, 2 * time.Second},
		{"slowly", "Content-Length: 409600\r\n\r\n", write(8<<10, 30*time.Millisecond, whole), true, 5 * time.Second},
		{"no head", "", write(1, 0, 0), false, 2 * idle},
		{"half a head", "Content-Length: 409600\r\n", write(1, 0, 0), false, 2 * idle},
		{"no body", "Content-Length: 409600\r\n\r\n", write(1, 0, 0), false, 3 * idle},
		{"half a body", "Content-Length: 409600\r\n\r\n", write(whole/2, 0, whole/2), false, 3 * idle},
		{"drop by drop", "Content-Length: 409600\r\n\r\n", write(64, 50*time.Millisecond, whole), false, 3 * idle},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := hoptest.Serve(t, func(k *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\n"+c.header)
				c.send(k)
			})
			for _, nested := range []bool{false, true} {
				x, stop := hop.WithPace(t.Context(), idle)
				defer stop()
				if nested { // the inner one would wait for longer
					var stop context.CancelFunc
					x, stop = hop.WithPace(x, 10*idle)
					defer stop()
				}
				began := time.Now()
				b, err := read(x, "http://"+a, whole)
				took := time.Since(began)
				switch {
				case c.sound && (err != nil || len(b) != whole):
					t.Errorf("nested %t: %d bytes after %s: %v, want all", nested, len(b), took, err)
				case !c.sound && !errors.Is(err, context.DeadlineExceeded):
					t.Errorf("nested %t: %d bytes after %s: %v, want %v", nested, len(b), took, err, context.DeadlineExceeded)
				case took > c.within:
					t.Errorf("nested %t: ended after %s, want %s", nested, took, c.within)
				}
			}
		})
	}
}

// read returns the body of the response at the URL u.
func read(x context.Context, u string, bytesMax int64) ([]byte, error) {
	q, err := http.NewRequestWithContext(x, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Body.Close() }()
	return hop.ReadBody(p, bytesMax)
}
