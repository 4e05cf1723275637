package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/zeebo/xxh3"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/platform"
)

// upload posts the body to the node and returns the answer to the caller.
func upload(t *testing.T, n *node, body []byte, chunked bool) received {
	t.Helper()
	q := request(t, n, "POST", "/once/", bytes.NewReader(body))
	q.Header.Set("Figwheel-Attempt-Id", "a1")
	if chunked {
		q.ContentLength = -1
	}
	return send(t, q)
}

// TestUploadReachesWorkerUnchanged guards against bodies that are truncated or
// changed between caller and worker. It sends bodies of several sizes through two
// daemons, with and without a length.
func TestUploadReachesWorkerUnchanged(t *testing.T) {
	var sum atomic.Uint64
	w := listen(t, func(c net.Conn) {
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
			sum.Store(xxh3.Hash(d))
			if e := q.Header.Get("Expect"); e != "" {
				t.Errorf("the worker was sent Expect: %s", e)
			}
			reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", "")
		}
	})
	e := platformMeshWithBodyLimit(t, 4<<20, w)
	for _, n := range []int{0, 1, 8 << 10, 60 << 10, 360 << 10, 512 << 10, 600 << 10, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("figwheel"), n/8+1)[:n]
			if g := upload(t, e, body, chunked); g.Status != http.StatusOK || sum.Load() != xxh3.Hash(body) {
				t.Errorf("%d bytes, chunked %t: %+v, intact %t", n, chunked, g, sum.Load() == xxh3.Hash(body))
			}
		}
	}
}

// TestLargeBodySentOnlyAfterContinue guards against sending a large body to a
// daemon that rejects the request. The body must be sent only after 100 Continue;
// until then the request must count as not run, so that it can be retried.
func TestLargeBodySentOnlyAfterContinue(t *testing.T) {
	const size = 60 << 10
	refusal := "HTTP/1.1 503 Busy\r\nFigwheel-Code: FW3004\r\nFigwheel-Outcome: not-run\r\nFigwheel-Load: 9 0 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	ok := "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\nFigwheel-Load: 0 0 0\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name      string
		answer    string // sent before the body is read
		readsBody bool   // whether the body is then read
		after     string // sent after the body
		sent      int64
		outcome   contract.Outcome
	}{
		{"refused", refusal, false, "", 0, contract.NotRun},
		{"closed without an answer", "", false, "", 0, contract.NotRun},
		{"wanted", "HTTP/1.1 100 Continue\r\n\r\n", true, ok, size, contract.Run},
		{"wanted, then closed", "HTTP/1.1 100 Continue\r\n\r\n", true, "", size, contract.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int64, 1)
			a := listen(t, func(n net.Conn) {
				b := bufio.NewReader(n)
				if _, err := http.ReadRequest(b); err != nil {
					return
				}
				var k int64
				_, _ = io.WriteString(n, c.answer)
				if c.readsBody {
					k, _ = io.CopyN(io.Discard, b, size)
					_, _ = io.WriteString(n, c.after)
				} else {
					_ = n.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
					k, _ = io.Copy(io.Discard, b)
				}
				sent <- k
			})
			tr := hop.NewTransport(0, time.Second, time.Second)
			defer tr.CloseIdleConnections()
			x, stop := context.WithTimeout(t.Context(), 5*time.Second)
			defer stop()
			r, err := http.NewRequestWithContext(x, "POST", "http://h.example/once/", strings.NewReader(strings.Repeat("x", size)))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Figwheel-Attempt-Id", "a1")
			w := &plainWriter{header: http.Header{}}
			b := hop.NewBody(w, r)
			if err := b.Load(x); err != nil {
				t.Fatal(err)
			}
			h := hop.Hop{Transport: tr, Address: a, Daemon: true, Headers: platform.Headers()}
			f := h.Do(x, w, r, b)
			if f.Outcome != c.outcome || f.Outcome == contract.NotRun && !b.Replayable() {
				t.Errorf("%+v, replayable %t", f, b.Replayable())
			}
			if n := <-sent; n != c.sent {
				t.Errorf("%d bytes of the body were sent, want %d", n, c.sent)
			}
		})
	}
}

// plainWriter is an http.ResponseWriter that discards the answer.
type plainWriter struct{ header http.Header }

func (w *plainWriter) Header() http.Header         { return w.header }
func (w *plainWriter) WriteHeader(int)             {}
func (w *plainWriter) Write(b []byte) (int, error) { return len(b), nil }

// TestStalledUploadNotRunAtDeadline guards against a slot that is occupied by a
// caller that stops sending. It sends half of a body to the caller's daemon: the
// worker must receive nothing, and at the deadline the answer must state that the
// request was not run.
func TestStalledUploadNotRunAtDeadline(t *testing.T) {
	var runs atomic.Int64
	e := platformMeshWithBodyLimit(t, 4<<20, platformWorker(t, &runs, func(net.Conn, *http.Request) {}))
	c, err := net.Dial("tcp", address(e.call))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("x", 30000))
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	if d := cmp.Diff([]string{"503", "not-run", "0"}, []string{fmt.Sprint(p.StatusCode), p.Header.Get(contract.OutcomeHeader), fmt.Sprint(runs.Load())}); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestLinkClosesConnectionWhenUploadRejected guards against a daemon that sends
// the body of a rejected upload. With the slots of the only instance occupied,
// the link handler must reject an upload before its body and announce that it
// closes the connection, so that the sender does not send the body.
func TestLinkClosesConnectionWhenUploadRejected(t *testing.T) {
	var runs atomic.Int64
	busy := make(chan struct{})
	defer close(busy)
	e := platformMeshWithBodyLimit(t, 4<<20, platformWorker(t, &runs, func(net.Conn, *http.Request) { <-busy }))
	k := e.View().Candidates["s"].Choose(time.Now(), "once", rand.New(rand.NewPCG(1, 1)), nil, 0)
	const head = "POST /once/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Service: s\r\nFigwheel-Deadline-Ms: 60000\r\nFigwheel-Queue: no\r\n"
	open := func(rest string) net.Conn {
		c, err := net.Dial("tcp", k.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, head+rest)
		return c
	}
	open("Content-Length: 0\r\n\r\n")
	open("Content-Length: 0\r\n\r\n")
	for runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	c := open("Content-Length: 60000\r\nExpect: 100-continue\r\n\r\n")
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	if d := cmp.Diff([]any{503, "FW3004", true}, []any{p.StatusCode, p.Header.Get(contract.CodeHeader), p.Close}); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestConnectionServesRequestsAfterEarlyAnswer guards against a connection that
// is unusable after an answer that began before the whole body was read. The
// worker answers long bodies before it reads them; the caller sends the whole
// body and then further requests on the connection, which must be answered.
func TestConnectionServesRequestsAfterEarlyAnswer(t *testing.T) {
	const size = 600 << 10
	w := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			reply(c, "200 OK", "Figwheel-Attempt-Id: "+q.Header.Get("Figwheel-Attempt-Id")+"\r\nFigwheel-Server-Seal: s\r\n", "early")
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	})
	e := platformMeshWithBodyLimit(t, 4<<20, w)
	body := bytes.Repeat([]byte("x"), size)
	for i := range 40 {
		c, err := net.Dial("tcp", address(e.call))
		if err != nil {
			t.Fatal(err)
		}
		b := bufio.NewReader(c)
		for k := range 3 {
			for _, n := range []int{size, 10 << 10} {
				sent := make(chan error, 1)
				go func() {
					_, err := fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a%d-%d\r\nContent-Length: %d\r\n\r\n%s", k, n, n, body[:n])
					sent <- err
				}()
				p, err := http.ReadResponse(b, nil)
				if err != nil {
					t.Fatalf("connection %d, body %d of %d bytes: %v", i, k, n, err)
				}
				d, err := io.ReadAll(p.Body)
				_ = p.Body.Close()
				if err != nil || p.StatusCode != http.StatusOK || string(d) != "early" {
					t.Fatalf("connection %d, body %d of %d bytes: %d %q %v", i, k, n, p.StatusCode, d, err)
				}
				if err := <-sent; err != nil {
					t.Fatal(err)
				}
			}
		}
		_ = c.Close()
	}
}

// TestConnectionServesOrClosesAfterRejectedUpload guards against a connection
// that stays open but does not serve the next request, because the body of a
// rejected upload was not read. The connection must either serve the next request
// or announce that it closes.
func TestConnectionServesOrClosesAfterRejectedUpload(t *testing.T) {
	const size = 600 << 10
	e := platformMeshWithBodyLimit(t, 4<<20, refusingAddress(t))
	body := bytes.Repeat([]byte("x"), size)
	for i := range 200 {
		c, err := net.Dial("tcp", address(e.call))
		if err != nil {
			t.Fatal(err)
		}
		b := bufio.NewReader(c)
		go func() {
			for _, n := range []int{size, 100 << 10, size} {
				_, _ = fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a%d\r\nContent-Length: %d\r\n\r\n%s", n, n, body[:n])
			}
		}()
		for k := range 3 {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				t.Fatalf("connection %d, request %d: %v", i, k, err)
			}
			_, err = io.Copy(io.Discard, p.Body)
			_ = p.Body.Close()
			if err != nil || p.StatusCode != http.StatusServiceUnavailable {
				t.Fatalf("connection %d, request %d: %d %v", i, k, p.StatusCode, err)
			}
			if p.Close {
				break
			}
		}
		_ = c.Close()
	}
}
