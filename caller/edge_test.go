package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/platform"
	"figwheel/site"
	"figwheel/upstream"
)

// platformNode returns a node that uses the headers of the platform.
func platformNode(t testing.TB) *node {
	n := &node{}
	h := platform.Headers()
	n.worker.Headers = h
	n.worker.HoldBack = true
	n.view.Store(caller.NewView(nil, nil))
	tr := hop.NewTransport(0, time.Second, time.Minute)
	t.Cleanup(tr.CloseIdleConnections)
	n.call = start(t, &caller.Handler{Daemon: n, Worker: &n.worker, Transport: tr, Headers: h, Now: time.Now, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}})
	n.link = start(t, &caller.LinkHandler{Daemon: n, Worker: &n.worker, Headers: h, Now: time.Now})
	return n
}

// platformMesh returns an entry node whose candidates are one node for each
// worker. It accepts bodies of at most 100 bytes.
func platformMesh(t testing.TB, workers ...string) *node {
	t.Helper()
	return platformMeshWithBodyLimit(t, 100, workers...)
}

// platformMeshWithBodyLimit is platformMesh for bodies of at most bodyBytes.
func platformMeshWithBodyLimit(t testing.TB, bodyBytes int64, workers ...string) *node {
	t.Helper()
	e := platformNode(t)
	c := site.Table{
		Number:   7,
		Limits:   site.Limits{BodyBytes: bodyBytes},
		Services: []site.Service{{Name: "s", Connections: 10}},
		Routes: []site.Route{
			{Name: "twice", Host: "h.example", PathPrefix: "/twice/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatAllowed, Timeout: 300 * time.Millisecond, Attempts: 2},
			{Name: "once", Host: "h.example", PathPrefix: "/once/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatForbidden, Timeout: 300 * time.Millisecond, Attempts: 2},
			{Name: "alone", Host: "h.example", PathPrefix: "/alone/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatForbidden, Timeout: 30 * time.Second, Attempts: 2},
			{Name: "patient", Host: "h.example", PathPrefix: "/patient/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatAllowed, Timeout: 30 * time.Second, Attempts: 2},
		},
	}
	s, err := c.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	v, _ := s.Service("s")
	var l []link.Candidate
	for i, a := range workers {
		n := platformNode(t)
		n.view.Store(caller.NewView(s, nil))
		n.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 2, ID: fmt.Sprintf("i-%d", i)}, v, time.Now())
		l = append(l, link.Candidate{Name: fmt.Sprint(i), Address: address(n.link), Slots: 2, SameSite: i == 0, Peer: &link.Peer{}})
	}
	w := caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)})
	w.Origin = "origin"
	w.Retries = contract.RetryLimits{Percent: 100, Burst: 10}
	e.view.Store(w)
	return e
}

// platformWorker returns the address of a worker that calls f with each request,
// to write any answer, and counts the requests in runs.
func platformWorker(t testing.TB, runs *atomic.Int64, f func(c net.Conn, q *http.Request)) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			runs.Add(1)
			f(c, q)
		}
	})
}

// reply writes an answer of a worker. Each of the headers ends with a line break.
func reply(c net.Conn, status, headers, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// TestPlatformAnswers guards against answers that the caller must not get and
// against requests that run too often. Each request passes through two daemons to
// one of two workers that behave in the same way; it checks the caller's answer
// and the number of runs.
func TestPlatformAnswers(t *testing.T) {
	id := func(q *http.Request) string {
		return "Figwheel-Attempt-Id: " + q.Header.Get("Figwheel-Attempt-Id") + "\r\n"
	}
	const seal = "Figwheel-Server-Seal: 3e1b\r\n"
	type observed struct {
		Status int
		Seal   string
		Body   string
		Runs   int64
	}
	cases := []struct {
		name   string
		path   string
		worker func(c net.Conn, q *http.Request)
		want   observed
	}{
		{"a whole answer", "/once/", func(c net.Conn, q *http.Request) { reply(c, "200 OK", id(q)+seal, "whole") }, observed{200, "3e1b", "whole", 1}},
		{"an error of the worker", "/twice/", func(c net.Conn, q *http.Request) { reply(c, "500 Failed", id(q)+seal, "no") }, observed{500, "3e1b", "no", 1}},
		{"the worker sheds the request", "/once/", func(c net.Conn, q *http.Request) {
			reply(c, "503 Busy", id(q)+"Figwheel-Not-Executed: 1\r\n", "")
		}, observed{Status: 503, Runs: 2}},
		{"another worker uses the address", "/once/", func(c net.Conn, _ *http.Request) { reply(c, "421 Misdirected", "", "") }, observed{Status: 503, Runs: 2}},
		{"no proof, once", "/once/", func(c net.Conn, q *http.Request) { reply(c, "200 OK", id(q), "whose?") }, observed{Status: 502, Runs: 1}},
		{"no proof, may repeat", "/twice/", func(c net.Conn, q *http.Request) { reply(c, "200 OK", id(q), "whose?") }, observed{Status: 502, Runs: 2}},
		{"the answer to another request", "/once/", func(c net.Conn, _ *http.Request) {
			reply(c, "200 OK", "Figwheel-Attempt-Id: other\r\n"+seal, "theirs")
		}, observed{Status: 502, Runs: 1}},
		{"not run, of another request", "/once/", func(c net.Conn, _ *http.Request) {
			reply(c, "503 Busy", "Figwheel-Attempt-Id: other\r\nFigwheel-Not-Executed: 1\r\n", "")
		}, observed{Status: 502, Runs: 1}},
		{"an encoded answer", "/once/", func(c net.Conn, q *http.Request) {
			reply(c, "200 OK", id(q)+seal+"Content-Encoding: gzip\r\n", "zip")
		}, observed{Status: 502, Runs: 1}},
		{"cut short", "/once/", func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id(q)+seal+"Content-Length: 10\r\n\r\nhalf")
			_ = c.Close()
		}, observed{Status: 502, Runs: 1}},
		{"cut within its chunks", "/twice/", func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+id(q)+seal+"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			_ = c.Close()
		}, observed{Status: 502, Runs: 2}},
		{"without a length, whole", "/once/", func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+id(q)+seal+"\r\nto the end")
			_ = c.Close()
		}, observed{200, "3e1b", "to the end", 1}},
		{"the worker does not answer", "/once/", func(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }, observed{Status: 504, Runs: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			e := platformMesh(t, platformWorker(t, &runs, c.worker), platformWorker(t, &runs, c.worker))
			q := request(t, e, "POST", c.path, nil)
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			q.Header.Set("Figwheel-Request-Deadline", "1000")
			p, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = p.Body.Close() }()
			b, err := io.ReadAll(p.Body)
			if err != nil {
				t.Fatal(err)
			}
			g := observed{Status: p.StatusCode, Seal: p.Header.Get("Figwheel-Server-Seal"), Runs: runs.Load()}
			if p.Header.Get(contract.CodeHeader) == "" {
				g.Body = string(b)
			}
			if d := cmp.Diff(c.want, g); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if a := p.Header.Get("Retry-After"); (a != "") != (p.StatusCode == http.StatusServiceUnavailable) {
				t.Errorf("status %d with Retry-After %q", p.StatusCode, a)
			}
		})
	}
}

// TestWorkerReceivesHeadersOfDaemonsNotOfCaller guards against headers that are
// lost or forged. The worker must receive everything that the caller sent except
// the headers of one connection, and the headers that daemons set even if the
// caller sent the same ones.
func TestWorkerReceivesHeadersOfDaemonsNotOfCaller(t *testing.T) {
	type observed struct {
		Line, Body, ID, Origin, Target, Own string
		InTime                              bool
	}
	got := make(chan observed, 1)
	var runs atomic.Int64
	w := platformWorker(t, &runs, func(c net.Conn, q *http.Request) {
		h := q.Header
		ms := 0
		_, _ = fmt.Sscan(h.Get("Figwheel-Request-Deadline"), &ms)
		var own []string
		for k := range h {
			if strings.HasPrefix(k, contract.HeaderPrefix) {
				own = append(own, k)
			}
		}
		got <- observed{
			Line: q.Method + " " + q.Host + q.RequestURI, ID: h.Get("Figwheel-Attempt-Id"), Origin: h.Get("Figwheel-Caller-Service"),
			Target: h.Get("Figwheel-Target-Instance"), Own: fmt.Sprint(len(own)), Body: h.Get("X-Kept") + h.Get("X-Hop"),
			InTime: ms > 0 && ms <= 300,
		}
		reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", "")
	})
	e := platformMesh(t, w)
	q := request(t, e, "DELETE", "/once/a%2Fb?c=d", nil)
	for k, v := range map[string]string{
		"Figwheel-Attempt-Id": "a1", "Figwheel-Request-Deadline": "5000", "Figwheel-Caller-Service": "forged",
		"Figwheel-Target-Instance": "forged", "Figwheel-Rank": "0", "X-Kept": "kept", "X-Hop": "hop", "Connection": "X-Hop",
	} {
		q.Header.Set(k, v)
	}
	if g := send(t, q); g.Status != http.StatusOK {
		t.Fatalf("%+v", g)
	}
	want := observed{Line: "DELETE h.example/once/a%2Fb?c=d", ID: "a1", Origin: "origin", Target: "i-0", Own: "4", Body: "kept", InTime: true}
	if d := cmp.Diff(want, <-got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestPlatformCallRejectedBeforeAnyWorker guards against requests that are
// rejected with the wrong status or outcome, although no worker received them.
func TestPlatformCallRejectedBeforeAnyWorker(t *testing.T) {
	e := platformMesh(t, refusingAddress(t))
	for _, c := range []struct {
		name, path, body string
		want             received
	}{
		{"no route", "/none/", "", received{Status: 404, Outcome: "not-run", Code: "FW3001"}},
		{"too large", "/once/", strings.Repeat("x", 101), received{Status: 413, Outcome: "not-run", Code: "FW3018"}},
		{"no worker accepts connections", "/once/", "x", received{Status: 503, Outcome: "not-run", Code: "FW3006"}},
	} {
		if d := cmp.Diff(c.want, send(t, request(t, e, "POST", c.path, strings.NewReader(c.body)))); d != "" {
			t.Errorf("%s: (-want +got)\n%s", c.name, d)
		}
	}
}
