package hop_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/contract"
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

// TestStreamedBodyIsReadOnlyWhenAsked guards against a streamed request that is not sent
// again after a refusal, because net/http read of its body whether there is one, as it
// does for methods whose requests rarely have one.
func TestStreamedBodyIsReadOnlyWhenAsked(t *testing.T) {
	bodies := make(chan string, 1)
	a, stop := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			id := q.Header.Get("Figwheel-Attempt-Id")
			switch q.URL.Path {
			case "/rejected":
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nFigwheel-Code: FW3004\r\nFigwheel-Outcome: not-run\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				return
			case "/wrong":
				_, _ = io.WriteString(c, refusal(503, true, "")("other"))
			default:
				d, err := io.ReadAll(q.Body)
				if err != nil {
					return
				}
				bodies <- string(d)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", id)
			}
		}
	})
	defer stop()
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions} {
		for _, body := range []string{"a body", ""} {
			tr := hop.NewTransport(0, time.Second, time.Minute)
			worker := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
			daemon := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), Daemon: true}
			if f, _ := sendTo(t, worker, http.MethodGet, "first", "/wrong", "", false); f.Code != result.WrongAnswer {
				t.Fatalf("the first request: %+v", f)
			}
			if f, _ := sendTo(t, worker, method, "next", "/", body, true); !f.OK() {
				t.Errorf("%s %q after a retired connection: %+v", method, body, f)
			} else if d := <-bodies; d != body {
				t.Errorf("%s: the worker got the body %q, want %q", method, d, body)
			}
			r := httptest.NewRequest(method, "http://h.example/rejected", strings.NewReader(body))
			r.ContentLength = -1
			w := httptest.NewRecorder()
			b := hop.NewBody(w, r)
			if f := daemon.Do(t.Context(), w, r, b); f.Outcome != contract.NotRun || !b.Replayable() {
				t.Errorf("%s %q rejected by a daemon: it can be sent again: %t; %+v", method, body, b.Replayable(), f)
			}
			tr.CloseIdleConnections()
		}
	}
}
