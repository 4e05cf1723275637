package hop_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"figwheel/hop"
	"figwheel/platform"
	"figwheel/result"
)

// TestStreamedRequestPassesRetiredConnection guards against a streamed request that is
// reported as not sent, and its worker as unreachable, because the transport offers it
// a connection that takes no more requests.
func TestStreamedRequestPassesRetiredConnection(t *testing.T) {
	a, stop := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			d, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			id := q.Header.Get("Figwheel-Attempt-Id")
			switch q.URL.Path {
			case "/refused":
				_, _ = io.WriteString(c, refusal(503, true, "")(id))
			case "/wrong":
				_, _ = io.WriteString(c, refusal(503, true, "")("other"))
			default:
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(d), d)
			}
		}
	})
	defer stop()
	for _, c := range []struct {
		name, path string
		requests   int
		lastID     string
	}{
		{"after the last refusal that a connection may carry", "/refused", 256, "last"},
		{"after an answer to another request", "/wrong", 1, "last"},
		{"offered again after its refusal", "/refused", 1, "id-0"},
	} {
		for _, size := range []int{10, 5000, 100_000, 600_000} {
			tr := hop.NewTransport(0, time.Second, time.Minute)
			h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
			for i := range c.requests {
				if f, _ := sendTo(t, h, http.MethodGet, fmt.Sprintf("id-%d", i), c.path, "", false); f.Code != result.WorkerRefused && f.Code != result.WrongAnswer {
					t.Fatalf("%s: %+v", c.name, f)
				}
			}
			body := fmt.Sprintf("%0*d", size, 0)
			f, w := sendTo(t, h, http.MethodPost, c.lastID, "/", body, size < 600_000)
			if !f.OK() || w.Body.String() != body {
				t.Errorf("%s, %d bytes: %+v", c.name, size, f)
			}
			tr.CloseIdleConnections()
		}
	}
}

// TestRequestPassesManyRetiredConnections guards against a worker that is reported as
// unreachable because all idle connections to it take no more requests.
func TestRequestPassesManyRetiredConnections(t *testing.T) {
	const connections = 32
	var arrived sync.WaitGroup
	arrived.Add(connections)
	a, stop := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			if q.URL.Path == "/wrong" {
				arrived.Done()
				arrived.Wait()
				_, _ = io.WriteString(c, refusal(503, true, "")("other"))
				continue
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", q.Header.Get("Figwheel-Attempt-Id"))
		}
	})
	defer stop()
	tr := hop.NewTransport(0, time.Second, time.Minute)
	defer tr.CloseIdleConnections()
	h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
	var g sync.WaitGroup
	for i := range connections {
		g.Go(func() {
			if f, _ := sendTo(t, h, http.MethodGet, fmt.Sprint(i), "/wrong", "", false); f.Code != result.WrongAnswer {
				t.Errorf("request %d: %+v", i, f)
			}
		})
	}
	g.Wait()
	if f, _ := sendTo(t, h, http.MethodPost, "last", "/", "body", false); !f.OK() {
		t.Errorf("the next request: %+v", f)
	}
}
