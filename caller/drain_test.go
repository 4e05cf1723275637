package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

// drainDeadline is the deadline of the requests, which none of them reaches.
const drainDeadline = 30 * time.Second

// patientSnapshot is like snapshot, with drainDeadline.
func patientSnapshot(t *testing.T) *site.Snapshot {
	t.Helper()
	b := strings.Replace(base, "Deadline: 500ms", "Deadline: "+drainDeadline.String(), 1)
	f, p := site.Check(site.Bundle{Base: site.File{Name: "base.yaml", Text: b}}, time.Time{})
	if len(p) > 0 {
		t.Fatal(p)
	}
	s, err := f.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// heldMax is the number of requests that the worker of startHolding holds at a time.
const heldMax = 4

// startHolding starts a worker that says on began that it has a request and answers it
// once release is closed.
func startHolding(t *testing.T) (w *httptest.Server, began <-chan struct{}, release chan struct{}) {
	t.Helper()
	b, release := make(chan struct{}, heldMax), make(chan struct{})
	w = start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b <- struct{}{}
		<-release
		w.Header().Set(contract.ExchangeHeader, r.Header.Get(contract.ExchangeHeader))
	}))
	return w, b, release
}

// localNode returns a daemon whose only instance of s is the worker at the address
// a beside it, of one slot.
func localNode(t *testing.T, a string) *node {
	t.Helper()
	n := newNode(t)
	s := patientSnapshot(t)
	v, _ := s.Service("s")
	n.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 1}, v, time.Now())
	l := []link.Candidate{{Name: "self", Slots: 1, Local: true, SameSite: true, Peer: &link.Peer{}}}
	n.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)}))
	return n
}

// drain makes the daemon n drain, which ends after left.
func drain(n *node, left time.Duration) {
	now := time.Now()
	n.draining.Store(true)
	n.worker.SetDrain(contract.Drain{End: now.Add(left), AnnouncedAt: now}, now)
}

// leaving is the answer to a request that a stopping daemon does not serve.
func leaving() received {
	return received{Status: http.StatusServiceUnavailable, Outcome: contract.NotRun.String(), Code: result.Leaving.String()}
}

// TestLateRequestIsServedOnlyIfItEndsInTime guards against a stopping daemon that takes requests and cuts them off, and against one that rejects requests for which there is time.
func TestLateRequestIsServedOnlyIfItEndsInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		local bool          // whether the worker is beside the daemon
		known bool          // whether requests of the kind have been answered
		left  time.Duration // until the end of the drain
		limit string        // of the caller, in milliseconds
		depth string        // of a call of the worker
		want  bool
	}{
		{"its deadline is before the end", true, true, drainDeadline, "20000", "", true},
		{"its deadline is before the end, at another daemon", false, true, drainDeadline, "20000", "", true},
		{"unknown, its deadline is before the end", true, false, drainDeadline, "20000", "", true},
		{"unknown at another daemon, its deadline is before the end", false, false, drainDeadline, "20000", "", true},
		{"its deadline is after the end", true, true, drainDeadline, "", "", false},
		{"its deadline is after the end, at another daemon", false, true, drainDeadline, "", "", false},
		{"it is not expected to fit", true, true, contract.AnswerTime, "", "", false},
		{"it is not expected to fit at another daemon", false, true, contract.AnswerTime, "", "", false},
		{"unknown at another daemon", false, false, drainDeadline, "", "", false},
		{"unknown", true, false, drainDeadline, "", "", false},
		{"a call of the worker is expected to fit", true, true, drainDeadline, "", "1", true},
		{"a call of the worker is expected to fit at another daemon", false, true, drainDeadline, "", "1", true},
		{"a call of the worker is not expected to fit", true, true, contract.AnswerTime, "", "1", false},
		{"a call of the worker is unknown", true, false, drainDeadline, "", "1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(contract.ExchangeHeader, r.Header.Get(contract.ExchangeHeader))
			}))
			n := localNode(t, address(w))
			if !c.local {
				n, _ = mesh(t, address(w))
				n.view.Store(caller.NewView(patientSnapshot(t), n.View().Candidates))
			}
			for range 2 { // an answer of another daemon bears the service time of those before it
				if !c.known {
					break
				}
				if g := send(t, request(t, n, "GET", "/", nil)); g.Status != http.StatusOK {
					t.Fatalf("%+v", g)
				}
			}
			drain(n, c.left)
			q := request(t, n, "POST", "/once", nil)
			if c.limit != "" {
				q.Header.Set(contract.DeadlineHeader, c.limit)
			}
			if c.depth != "" {
				q.Header.Set(contract.DepthHeader, c.depth)
			}
			p, err := http.DefaultTransport.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = p.Body.Close() }()
			if got := p.StatusCode == http.StatusOK; got != c.want {
				t.Errorf("served: got %t, want %t (%s)", got, c.want, p.Status)
			}
			if !p.Close {
				t.Error("the answer does not close the connection")
			}
			if !c.want && (p.StatusCode != http.StatusServiceUnavailable || p.Header.Get("Retry-After") == "" || p.Header.Get(contract.OutcomeHeader) != contract.NotRun.String()) {
				t.Errorf("got %s with %v, want 503, not run, with Retry-After", p.Status, p.Header)
			}
		})
	}
}

// TestLateRequestFromAnotherDaemonIsRejected guards against a stopping daemon that takes a request of another daemon and cuts it off.
func TestLateRequestFromAnotherDaemonIsRejected(t *testing.T) {
	w := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(contract.ExchangeHeader, r.Header.Get(contract.ExchangeHeader))
	}))
	n, o := mesh(t, address(w))
	n.view.Store(caller.NewView(patientSnapshot(t), n.View().Candidates))
	if g := send(t, request(t, n, "POST", "/once", nil)); g.Status != http.StatusOK {
		t.Fatalf("%+v", g)
	}
	sent := o[0].worker.Sent()
	drain(o[0], contract.AnswerTime)
	if d := cmp.Diff(leaving(), send(t, request(t, n, "POST", "/once", nil))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	if k := o[0].worker.Sent(); k != sent {
		t.Errorf("%d requests were sent to the worker", k-sent)
	}
}

// TestRequestThatDrainLetsNotWaitIsAnsweredAsLeaving guards against a caller that is told to wait out an overload because its daemon stops.
func TestRequestThatDrainLetsNotWaitIsAnsweredAsLeaving(t *testing.T) {
	n := newNode(t)
	a := listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		drain(n, drainDeadline)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: %s\r\n%s: 2 0 0\r\nContent-Length: 0\r\n\r\n",
			contract.CodeHeader, result.Overloaded, contract.OutcomeHeader, contract.NotRun, contract.LoadHeader)
	})
	l := []link.Candidate{{Name: "other", Address: a, Slots: 2, SameSite: true, Peer: &link.Peer{}}}
	n.view.Store(caller.NewView(patientSnapshot(t), map[string]link.Candidates{"s": link.NewCandidates(l)}))
	if d := cmp.Diff(leaving(), send(t, request(t, n, "POST", "/once", nil))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestWaitingRequestIsAnsweredBeforeDrainEnds guards against requests that have not run and that a stopping daemon cuts off, and against an answer of its own in place of that of a worker at work.
func TestWaitingRequestIsAnsweredBeforeDrainEnds(t *testing.T) {
	w, began, release := startHolding(t)
	n := localNode(t, address(w))
	running, waiting := make(chan received, 1), make(chan received, 1)
	go func() { running <- send(t, request(t, n, "POST", "/once", nil)) }()
	<-began
	go func() { waiting <- send(t, request(t, n, "POST", "/once", nil)) }()
	for n.worker.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	n.worker.EndWaits()
	if d := cmp.Diff(leaving(), <-waiting); d != "" {
		t.Errorf("the request that waited (-want +got)\n%s", d)
	}
	select {
	case g := <-running:
		t.Errorf("the request at the worker was answered: %+v", g)
	default:
	}
	close(release)
	if g := <-running; g.Status != http.StatusOK {
		t.Errorf("the request at the worker: %+v", g)
	}
}

// TestUploadOfferedElsewhereIsAnsweredBeforeDrainEnds guards against an upload that another daemon has not asked for and that a stopping daemon cuts off.
func TestUploadOfferedElsewhereIsAnsweredBeforeDrainEnds(t *testing.T) {
	const size = 60 << 10
	for _, wanted := range []bool{false, true} {
		t.Run(fmt.Sprintf("the body is asked for: %t", wanted), func(t *testing.T) {
			offered, release := make(chan struct{}), make(chan struct{})
			a := listen(t, func(c net.Conn) {
				b := bufio.NewReader(c)
				if _, err := http.ReadRequest(b); err != nil {
					return
				}
				if wanted {
					_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
					_, _ = io.CopyN(io.Discard, b, size)
				}
				close(offered)
				<-release
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFigwheel-Load: 0 0 0\r\nContent-Length: 0\r\n\r\n")
			})
			n := newNode(t)
			s := patientSnapshot(t)
			l := []link.Candidate{{Name: "other", Address: a, Slots: 2, SameSite: true, Peer: &link.Peer{}}}
			n.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)}))
			got := make(chan received, 1)
			go func() { got <- send(t, request(t, n, "POST", "/once", strings.NewReader(strings.Repeat("x", size)))) }()
			<-offered
			n.worker.EndWaits()
			want := leaving()
			if wanted {
				want = received{Status: http.StatusOK, Outcome: contract.Run.String()}
				close(release)
			} else {
				defer close(release)
			}
			if d := cmp.Diff(want, <-got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestRequestWaitsElsewhereOnlyUntilDrainEnds guards against requests that a stopping daemon offers to another one and that wait there until it cuts them off.
func TestRequestWaitsElsewhereOnlyUntilDrainEnds(t *testing.T) {
	w, began, release := startHolding(t)
	n, o := mesh(t, address(w))
	s := patientSnapshot(t)
	n.view.Store(caller.NewView(s, n.View().Candidates))
	running := make(chan received, 2)
	for range 2 {
		go func() { running <- send(t, request(t, n, "POST", "/once", nil)) }()
		<-began
	}
	const wait = 200 * time.Millisecond
	now := time.Now()
	n.worker.SetDrain(contract.Drain{End: now.Add(contract.AnswerTime + wait)}, now)
	g := send(t, request(t, n, "POST", "/once", nil))
	if g.Status != http.StatusServiceUnavailable || g.Outcome != contract.NotRun.String() {
		t.Errorf("%+v, want 503, not run", g)
	}
	if d := time.Since(now); d < wait/2 {
		t.Errorf("it waited only %s", d)
	}
	if k := o[0].worker.InFlight(); k != 2 {
		t.Errorf("%d requests at the other daemon, want 2", k)
	}
	close(release)
	for range 2 {
		if g := <-running; g.Status != http.StatusOK {
			t.Errorf("%+v", g)
		}
	}
}

// answerTimeout is how long these tests wait for an answer that is due much earlier.
const answerTimeout = 5 * time.Second

// TestRequestSentBeforeDrainLeavesOtherQueueInTime guards against requests that wait at another daemon when this one begins to stop, and that are cut off without an answer although they have not run.
func TestRequestSentBeforeDrainLeavesOtherQueueInTime(t *testing.T) {
	w, began, release := startHolding(t)
	n, o := mesh(t, address(w))
	n.view.Store(caller.NewView(patientSnapshot(t), n.View().Candidates))
	running := make(chan received, 2)
	for range 2 {
		go func() { running <- send(t, request(t, n, "POST", "/once", nil)) }()
		<-began
	}
	const wait = 200 * time.Millisecond
	n.call.Config.Handler.(*caller.Handler).ForwardedWaitMax = wait
	for _, c := range []struct {
		name  string
		bytes int
		chunk bool
	}{{"no body", 0, false}, {"short", 10, false}, {"large", 60 << 10, false}, {"very large", 600 << 10, false}, {"chunks", 60 << 10, true}} {
		var b io.Reader = strings.NewReader(strings.Repeat("x", c.bytes))
		if c.chunk {
			b = struct{ io.Reader }{b}
		}
		x, stop := context.WithTimeout(t.Context(), answerTimeout)
		g := send(t, request(t, n, "POST", "/once", b).WithContext(x))
		stop()
		if g.Status != http.StatusServiceUnavailable || g.Outcome != contract.NotRun.String() {
			t.Errorf("%s: %+v, want 503, not run", c.name, g)
		}
	}
	if k := o[0].worker.InFlight(); k != 2 {
		t.Errorf("%d requests at the other daemon, want 2", k)
	}
	close(release)
	for range 2 {
		if g := <-running; g.Status != http.StatusOK {
			t.Errorf("%+v", g)
		}
	}
}

// TestUploadThatArrivedWaitsNoLongerThanItsSenderLets guards against an upload that was sent to a daemon with a free slot, finds none when its body has arrived, and waits beyond the end of a drain of its sender.
func TestUploadThatArrivedWaitsNoLongerThanItsSenderLets(t *testing.T) {
	w, began, release := startHolding(t)
	n, o := mesh(t, address(w))
	n.view.Store(caller.NewView(patientSnapshot(t), n.View().Candidates))
	running := make(chan received, 2)
	for range 2 {
		defer func() { <-running }()
	}
	defer close(release)
	occupy := func() {
		go func() { running <- send(t, request(t, n, "POST", "/once", nil)) }()
		<-began
	}
	occupy()
	const size = 60 << 10
	c := dialRaw(t, o[0].link)
	_, _ = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\nExpect: 100-continue\r\n%s: s\r\n%s: no 200\r\n\r\n", size, contract.ServiceHeader, contract.QueueHeader)
	b := bufio.NewReader(c)
	if s, err := b.ReadString('\n'); err != nil || !strings.Contains(s, "100 Continue") {
		t.Fatal(s, err)
	}
	_, _ = b.ReadString('\n')
	occupy()
	_, _ = io.WriteString(c, strings.Repeat("x", size))
	expectNotRun(t, b)
}

// TestUploadStillArrivingIsAnsweredBeforeDrainEnds guards against requests that are cut off at the end of a drain while their bodies arrive, and of which nobody can say that they have not run.
func TestUploadStillArrivingIsAnsweredBeforeDrainEnds(t *testing.T) {
	for _, size := range []int{100, 60 << 10} {
		for _, over := range []string{"caller", "another daemon"} {
			t.Run(fmt.Sprintf("%d bytes from %s", size, over), func(t *testing.T) {
				w := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("it was sent to the worker") }))
				n, o := mesh(t, address(w))
				n.view.Store(caller.NewView(patientSnapshot(t), n.View().Candidates))
				a, k := n.call, &n.worker
				if over != "caller" {
					a, k = o[0].link, &o[0].worker
				}
				c := dialRaw(t, a)
				_, _ = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\nExpect: 100-continue\r\n%s: s\r\n\r\n", size, contract.ServiceHeader)
				b := bufio.NewReader(c)
				if s, err := b.ReadString('\n'); err != nil || !strings.Contains(s, "100 Continue") {
					t.Fatal(s, err)
				}
				_, _ = b.ReadString('\n')
				_, _ = io.WriteString(c, strings.Repeat("x", size/2))
				k.EndWaits()
				expectNotRun(t, b)
			})
		}
	}
}

// dialRaw returns a connection to s that fails after answerTimeout.
func dialRaw(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// expectNotRun reads an answer from b, which must be 503, not run.
func expectNotRun(t *testing.T, b *bufio.Reader) {
	t.Helper()
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal("got no answer: ", err)
	}
	defer func() { _ = p.Body.Close() }()
	if o := p.Header.Get(contract.OutcomeHeader); p.StatusCode != http.StatusServiceUnavailable || o != contract.NotRun.String() {
		t.Errorf("got %s, outcome %q, want 503, not run", p.Status, o)
	}
}
