package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

const base = `
Organisation: o
Sites: [a]
Services:
  s:
    Deadline: 500ms
    Slots: 2
    Connections: 4
    Queue: 1
    RetryPercent: 100
    NotIdempotent: [{Methods: [POST, GET], Path: /once}]
Routes:
  r: {Host: h.example, PathPrefix: /, Service: s}
`

// node is the part of a daemon that serves calls: the two handlers and the
// connection to the worker, without the control goroutine.
type node struct {
	view            atomic.Pointer[caller.View]
	worker          upstream.Worker
	reportedRelease atomic.Pointer[string]
	call            *httptest.Server
	link            *httptest.Server
	draining        atomic.Bool
}

func (n *node) View() *caller.View                           { return n.view.Load() }
func (n *node) ObserveRelease(r string)                      { n.reportedRelease.Store(&r) }
func (n *node) ConfirmationAgeMs(time.Time) string           { return "" }
func (n *node) ObserveConfirmation(_, _ string, _ time.Time) {}
func (n *node) IsDraining() bool                             { return n.draining.Load() }

func start(t testing.TB, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(h)
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s.Config.Protocols = p
	s.Listener = caller.Listener{Listener: s.Listener}
	s.Config.ConnContext = caller.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func newNode(t testing.TB) *node {
	n := &node{}
	n.worker.Headers = contract.OwnHeaders()
	n.view.Store(caller.NewView(nil, nil))
	tr := hop.NewTransport(0, time.Second, time.Minute)
	t.Cleanup(tr.CloseIdleConnections)
	n.call = start(t, &caller.Handler{Daemon: n, Worker: &n.worker, Transport: tr, Headers: contract.OwnHeaders(), Now: time.Now, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}})
	n.link = start(t, &caller.LinkHandler{Daemon: n, Worker: &n.worker, Headers: contract.OwnHeaders(), Now: time.Now})
	return n
}

func snapshot(t testing.TB, number uint64) *site.Snapshot {
	t.Helper()
	f, p := site.Check(site.Bundle{Base: site.File{Name: "base.yaml", Text: base}}, time.Time{})
	if len(p) > 0 {
		t.Fatal(p)
	}
	s, err := f.Snapshot("a", number, "c")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// mesh returns an entry node and one node for each worker address, which are the
// candidates of the entry node.
func mesh(t testing.TB, workers ...string) (*node, []*node) {
	e := newNode(t)
	s := snapshot(t, 7)
	v, _ := s.Service("s")
	var l []link.Candidate
	var r []*node
	for i, a := range workers {
		n := newNode(t)
		n.view.Store(caller.NewView(s, nil))
		n.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready"}, v, time.Now())
		l = append(l, link.Candidate{Name: fmt.Sprint(i), Address: address(n.link), Slots: 2, SameSite: true, Peer: &link.Peer{}})
		r = append(r, n)
	}
	e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)}))
	return e, r
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func request(t testing.TB, n *node, method, path string, body io.Reader) *http.Request {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), method, n.call.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	return q
}

// received is the answer to a caller.
type received struct {
	Status  int
	Outcome string
	Code    string
	Body    string
	Cut     bool // whether the connection ended before the answer was complete
}

func send(t testing.TB, q *http.Request) received {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Do(q)
	if err != nil {
		return received{Cut: true}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	g := received{Status: p.StatusCode, Outcome: p.Header.Get(contract.OutcomeHeader), Code: p.Header.Get(contract.CodeHeader), Cut: err != nil}
	if g.Code == "" {
		g.Body = string(b)
	}
	return g
}

// listen calls f with each connection to the returned address until the test
// ends.
func listen(t testing.TB, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c)
			}()
		}
	}()
	return l.Addr().String()
}

// rawWorker returns the address of a worker that reads one request from each
// connection, counts it in runs and calls f with the connection.
func rawWorker(t testing.TB, runs *atomic.Int64, f func(c net.Conn)) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		runs.Add(1)
		f(c)
	})
}

// refusingAddress returns an address that refuses connections until the test
// ends: it is bound, so that no other process uses it, but not listened on.
func refusingAddress(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	a, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", a.(*syscall.SockaddrInet4).Port)
}

// TestFailures guards against a wrong outcome, and a forbidden second run, for each
// way in which a worker can fail a call. Two workers behind two daemons fail alike.
func TestFailures(t *testing.T) {
	hang := func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }
	crash := func(net.Conn) {}
	short := func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	}
	chunk := func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	}
	junk := func(c net.Conn) { _, _ = io.WriteString(c, "what?\r\n\r\n") }
	shed := func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nFigwheel-Code: FW3004\r\nFigwheel-Outcome: not-run\r\nContent-Length: 4\r\n\r\nshed")
	}
	cases := []struct {
		name   string
		worker func(net.Conn)
		method string
		path   string
		want   received
		runs   int64
	}{
		{"crashes, once", crash, "POST", "/once", received{Status: 502, Outcome: "unknown", Code: "FW3011"}, 1},
		{"crashes, once by GET", crash, "GET", "/once", received{Status: 502, Outcome: "unknown", Code: "FW3011"}, 1},
		{"crashes, idempotent", crash, "GET", "/", received{Status: 502, Outcome: "unknown", Code: "FW3011"}, 2},
		{"hangs, once", hang, "POST", "/once", received{Status: 504, Outcome: "unknown", Code: "FW3005"}, 1},
		{"hangs, idempotent", hang, "GET", "/", received{Status: 504, Outcome: "unknown", Code: "FW3005"}, 1},
		{"answer cut short", short, "POST", "/once", received{Status: 502, Outcome: "unknown", Code: "FW3011"}, 1},
		{"answer cut short within its chunks", chunk, "GET", "/", received{Status: 200, Outcome: "run", Body: "half", Cut: true}, 1},
		{"answers junk, once", junk, "POST", "/once", received{Status: 502, Outcome: "unknown", Code: "FW3011"}, 1},
		{"sheds, with headers that only daemons may send", shed, "POST", "/once", received{Status: 503, Outcome: "run", Body: "shed"}, 1},
		{"refuses connections", nil, "POST", "/once", received{Status: 503, Outcome: "not-run", Code: "FW3006"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			a, b := refusingAddress(t), refusingAddress(t)
			if c.worker != nil {
				a, b = rawWorker(t, &runs, c.worker), rawWorker(t, &runs, c.worker)
			}
			e, _ := mesh(t, a, b)
			q := request(t, e, c.method, c.path, nil)
			q.Header.Set("Idempotency-Key", "k") // net/http would send it again by itself
			if d := cmp.Diff(c.want, send(t, q)); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if n := runs.Load(); n != c.runs {
				t.Errorf("run %d times, want %d", n, c.runs)
			}
		})
	}
}

// TestCallRejectedBeforeAnyWorker guards against calls that are rejected with the
// wrong status or outcome, or that reach a worker nevertheless.
func TestCallRejectedBeforeAnyWorker(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *node, q *http.Request)
		want   received
	}{
		{"no configuration", func(e *node, _ *http.Request) { e.view.Store(caller.NewView(nil, nil)) }, received{Status: 503, Outcome: "not-run", Code: "FW3002"}},
		{"no route", func(_ *node, q *http.Request) { q.Host = "other.example" }, received{Status: 404, Outcome: "not-run", Code: "FW3001"}},
		{"no instance", func(e *node, _ *http.Request) { e.view.Store(caller.NewView(e.View().Snapshot, nil)) }, received{Status: 503, Outcome: "not-run", Code: "FW3003"}},
		{"a deadline that is not a number", func(_ *node, q *http.Request) { q.Header.Set(contract.DeadlineHeader, "soon") }, received{Status: 400, Outcome: "not-run", Code: "FW3014"}},
		{"too deep", func(_ *node, q *http.Request) { q.Header.Set(contract.DepthHeader, "16") }, received{Status: 508, Outcome: "not-run", Code: "FW3009"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the worker was called") }))
			t.Cleanup(w.Close)
			e, _ := mesh(t, address(w))
			q := request(t, e, "POST", "/once", nil)
			c.change(e, q)
			if d := cmp.Diff(c.want, send(t, q)); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestCallRetriedOnceWhenFirstInstanceCannotRunIt guards against calls that fail
// although another instance can run them. One of two daemons rejects the request or
// is down, so it provably did not run there; it must run once at the other one.
func TestCallRetriedOnceWhenFirstInstanceCannotRunIt(t *testing.T) {
	cases := []struct {
		name string
		fail func(n *node)
	}{
		{"the worker is leaving", func(n *node) {
			n.worker.Set(upstream.Announcement{Service: "s", Address: "127.0.0.1:1", State: "Left"}, nil, time.Now())
		}},
		{"the worker belongs to another service", func(n *node) {
			n.worker.Set(upstream.Announcement{Service: "t", Address: "127.0.0.1:1", State: "Ready"}, nil, time.Now())
		}},
		{"the daemon is down", func(n *node) { n.link.Close() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(w, r.Body)
			}))
			t.Cleanup(w.Close)
			e, n := mesh(t, address(w), address(w))
			c.fail(n[0])
			for range 20 {
				g := send(t, request(t, e, "POST", "/once", strings.NewReader("body")))
				if d := cmp.Diff(received{Status: 200, Outcome: "run", Body: "body"}, g); d != "" {
					t.Fatalf("(-want +got)\n%s", d)
				}
			}
			if runs.Load() != 20 {
				t.Errorf("%d runs of 20", runs.Load())
			}
		})
	}
}

// TestCallPreservesHeadersBodyAndTrailers guards against parts of a call that are
// lost or delayed between caller and worker: headers, the target, bodies that are
// streamed in both directions at once, and trailers, over HTTP/1.1 and HTTP/2.
func TestCallPreservesHeadersBodyAndTrailers(t *testing.T) {
	w := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		w.Header().Set("Trailer", "Sum")
		w.Header().Set("X-Got", r.Header.Get("X-Sent")+" "+r.Header.Get("X-Hop")+" "+r.Host+" "+r.URL.RequestURI()+" "+r.Header.Get(contract.DepthHeader))
		b := make([]byte, 8)
		for {
			n, err := r.Body.Read(b)
			_, _ = w.Write(bytes.ToUpper(b[:n]))
			_ = c.Flush()
			if err != nil {
				break
			}
		}
		w.Header().Set("Sum", "of "+r.Trailer.Get("Count"))
	}))
	for _, v := range []int{1, 2} {
		t.Run(fmt.Sprintf("HTTP/%d", v), func(t *testing.T) {
			e, _ := mesh(t, address(w))
			tr := &http.Transport{Protocols: new(http.Protocols)}
			tr.Protocols.SetHTTP1(v == 1)
			tr.Protocols.SetUnencryptedHTTP2(v == 2)
			t.Cleanup(tr.CloseIdleConnections)
			pr, pw := io.Pipe()
			q := request(t, e, "POST", "/a%2Fb?c=d%20e", pr)
			q.Header.Set("X-Sent", "x")
			q.Trailer = http.Header{"Count": {"2"}}
			if v == 1 {
				q.Header.Set("X-Hop", "y")
				q.Header.Set("Connection", "X-Hop")
			}
			go func() { _, _ = pw.Write([]byte("one")) }()
			p, err := tr.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = p.Body.Close() }()
			b := make([]byte, 3)
			if _, err := io.ReadFull(p.Body, b); err != nil || string(b) != "ONE" {
				t.Fatalf("%q %v: want the answer while the request is still being sent", b, err)
			}
			go func() {
				_, _ = pw.Write([]byte("two"))
				_ = pw.Close()
			}()
			rest, err := io.ReadAll(p.Body)
			if err != nil || string(rest) != "TWO" {
				t.Errorf("%q %v", rest, err)
			}
			want := []string{"x  h.example /a%2Fb?c=d%20e 1", "of 2", "7"}
			have := []string{p.Header.Get("X-Got"), p.Trailer.Get("Sum"), p.Header.Get(contract.VersionHeader)}
			if d := cmp.Diff(want, have); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestSlotFreedWhenCallerDisconnects guards against a request that goes on at the
// worker, or still occupies a slot, after its caller has disconnected.
func TestSlotFreedWhenCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	began := make(chan struct{})
	w := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		ended <- r.Context().Err()
	}))
	t.Cleanup(w.Close)
	e, n := mesh(t, address(w))
	x, stop := context.WithCancel(context.Background())
	q := request(t, e, "GET", "/", nil).WithContext(x)
	failed := make(chan error, 1)
	go func() {
		p, err := http.DefaultClient.Do(q)
		if err == nil {
			_ = p.Body.Close()
		}
		failed <- err
	}()
	<-began
	stop()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if err := <-ended; err == nil {
		t.Error("the request to the worker was not cancelled")
	}
	for end := time.Now().Add(5 * time.Second); n[0].worker.InFlight() > 0; {
		if time.Now().After(end) {
			t.Fatal("the slot is still occupied 5 s after the caller disconnected")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCallRejectedWhenSlotsAndQueueFull guards against more requests at a worker
// than it has slots. With the two slots and the queue of the only worker full, a
// further call must be rejected at once, and the others must be answered.
func TestCallRejectedWhenSlotsAndQueueFull(t *testing.T) {
	release := make(chan struct{})
	var inFlight, peak atomic.Int64
	w := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		peak.Store(max(peak.Load(), inFlight.Add(1)))
		<-release
		inFlight.Add(-1)
	}))
	t.Cleanup(w.Close)
	e, n := mesh(t, address(w))
	c := make(chan received)
	const fit = 3
	for range fit {
		go func() { c <- send(t, request(t, e, "POST", "/once", nil)) }()
	}
	for end := time.Now().Add(5 * time.Second); n[0].worker.InFlight() < fit; {
		if time.Now().After(end) {
			t.Fatal("the slots and the queue were not full after 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	if d := cmp.Diff(received{Status: 503, Outcome: "not-run", Code: "FW3004"}, send(t, request(t, e, "POST", "/once", nil))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	close(release)
	for range fit {
		if g := <-c; g.Outcome != "run" {
			t.Errorf("%+v", g)
		}
	}
	if peak.Load() > 2 {
		t.Errorf("%d requests at the worker at the same time, want at most 2", peak.Load())
	}
}

// TestDaemonsExchangeReleasesOnForwardedCall guards against daemons that miss a
// newer release: on a forwarded call, each must receive the other's release.
func TestDaemonsExchangeReleasesOnForwardedCall(t *testing.T) {
	w := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(w.Close)
	e, n := mesh(t, address(w))
	n[0].view.Store(caller.NewView(snapshot(t, 8), nil))
	send(t, request(t, e, "GET", "/", nil))
	if a, b := e.reportedRelease.Load(), n[0].reportedRelease.Load(); a == nil || *a != "8-c" || b == nil || *b != "7-c" {
		t.Errorf("the entry daemon received %v, the daemon of the worker %v", a, b)
	}
}

// TestCodesOfCallsHaveErrorStatus guards against a code of a call whose HTTP
// status is not an error.
func TestCodesOfCallsHaveErrorStatus(t *testing.T) {
	for _, e := range result.Table() {
		if s := contract.Status(e.Code, contract.NotRun); e.Code/1000 == 3 && (s < 400 || s > 599) {
			t.Errorf("%s has the status %d, want 400 to 599", e.Code, s)
		}
	}
}

// TestNotSentAgainOnAReusedConnection guards against a forbidden second run: when a
// reused connection breaks, net/http sends some requests again on another one.
func TestNotSentAgainOnAReusedConnection(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			var runs atomic.Int64
			w := rawWorker(t, &runs, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFigwheel-Exchange: 1\r\nContent-Length: 2\r\n\r\nok")
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					runs.Add(1) // the request runs and its answer is lost
				}
			})
			e, _ := mesh(t, w)
			var have []string
			for range 2 {
				q := request(t, e, method, "/once", nil)
				q.Header.Set("Idempotency-Key", "k")
				have = append(have, send(t, q).Outcome)
			}
			if d := cmp.Diff([]string{"run", "unknown"}, have); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if n := runs.Load(); n != 2 {
				t.Errorf("%d runs of 2 requests", n)
			}
		})
	}
}

// TestLinkRejectionIsSmall guards against large rejections between daemons: under
// overload there are more of them than answers.
func TestLinkRejectionIsSmall(t *testing.T) {
	const bytesMax = 260
	e, n := mesh(t, refusingAddress(t))
	n[0].worker.Set(upstream.Announcement{Service: "s", Address: "127.0.0.1:1", State: "Left"}, nil, time.Now())
	c, err := net.Dial("tcp", address(n[0].link))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n%s: s\r\n%s: %s\r\n\r\n", contract.ServiceHeader, contract.ReleaseHeader, e.View().Release())
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	got := []string{p.Header.Get(contract.CodeHeader), p.Header.Get(contract.OutcomeHeader), p.Header.Get(contract.LoadHeader)}
	if d := cmp.Diff([]string{"FW3008", "not-run", "0 0 0"}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	if len(b) > bytesMax {
		t.Errorf("%d bytes, want at most %d:\n%s", len(b), bytesMax, b)
	}
}

// TestLateSecondAnswer guards against a caller that gets the answer to another
// request. The worker sends its answer a second time when the next request arrives
// on the connection, with or without the header that identifies the request.
func TestLateSecondAnswer(t *testing.T) {
	for name, echoes := range map[string]bool{"answers identify the request": true, "answers do not identify the request": false} {
		t.Run(name, func(t *testing.T) {
			a := listen(t, func(c net.Conn) {
				b := bufio.NewReader(c)
				var before string
				for {
					q, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					id := ""
					if echoes {
						id = "Figwheel-Exchange: " + q.Header.Get("Figwheel-Exchange") + "\r\n"
					}
					now := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(q.URL.Path), q.URL.Path)
					_, _ = io.WriteString(c, before+now)
					before = now
				}
			})
			e, _ := mesh(t, a)
			for i := range 20 {
				path := fmt.Sprintf("/%d", i)
				g := send(t, request(t, e, http.MethodPost, path, nil))
				if g.Status == http.StatusOK && g.Body != path {
					t.Fatalf("the request %s got the answer to %s", path, g.Body)
				}
				if !echoes && g.Status != http.StatusOK {
					t.Errorf("the request %s: %+v", path, g)
				}
				if g.Status != http.StatusOK && g.Outcome != "unknown" {
					t.Errorf("the request %s may have run: %+v", path, g)
				}
			}
		})
	}
}
