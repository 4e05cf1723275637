package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/instance"
	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/upstream/upstreamtest"
)

const drainBase = `
Organisation: o
Sites: [site-0]
Services:
  s: {Deadline: 5s, Slots: 9, Connections: 20, Queue: 50, RetryPercent: 100}
Routes:
  r: {Host: h.example, PathPrefix: /, Service: s}
`

// drainFleet is a fleet of three instances with real workers under load.
type drainFleet struct {
	*fleet
	workers []*upstreamtest.Worker
	ends    []context.CancelFunc
	ended   chan error
	failed  atomic.Pointer[string]
	calls   atomic.Int64

	mu       sync.Mutex
	ids      atomic.Int64
	attempts map[string]attempt // by request id
	refused  int                // attempts that were answered as not run
	unread   int                // attempts without an answer
}

func newDrainFleet(t *testing.T, with func(k *upstreamtest.Worker)) *drainFleet {
	return startDrainFleet(t, 0, with)
}

// startDrainFleet is newDrainFleet with a drain limit.
func startDrainFleet(t *testing.T, limit settings.Duration, with func(k *upstreamtest.Worker)) *drainFleet {
	d := &drainFleet{fleet: &fleet{t: t, store: &platformtest.Store{}, drainLimit: limit}, ended: make(chan error, 3)}
	d.startAll(1, 3)
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		k := &upstreamtest.Worker{Service: "s", Slots: 9, Work: 5 * time.Millisecond}
		if with != nil {
			with(k)
		}
		x, stop := context.WithCancel(context.Background())
		d.workers = append(d.workers, k)
		d.ends = append(d.ends, stop)
		go func() { d.ended <- k.Run(x, l, d.daemons[i].Settings().UpstreamAddress) }()
	}
	t.Cleanup(func() {
		for i := range d.ends {
			d.ends[i]()
		}
		for range d.ends {
			if err := <-d.ended; err != nil {
				t.Error(err)
			}
		}
	})
	b := site.Bundle{Base: site.File{Name: "base.yaml", Text: drainBase}}
	if p := last(d.submit(0, "c1", b)); p.step != stepInForce {
		t.Fatal(p.step, p.err)
	}
	d.wait("three workers are ready everywhere", func() bool {
		return d.all(func(c *control) bool { return len(c.readyInstances()) == 3 })
	})
	return d
}

const drainCallers = 24

// load sends requests that must not run twice to all daemons until x ends. A call
// that does not end with a complete 200 is a failure. Callers of a daemon that takes
// no connection go to the next one.
func (d *drainFleet) load(x context.Context) chan struct{} {
	done := make(chan struct{})
	for i := range drainCallers {
		a := d.daemons[(i+2)%3].Settings().CallAddress
		next := d.daemons[i%2].Settings().CallAddress
		go func() {
			defer func() { done <- struct{}{} }()
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for x.Err() == nil {
				if s := d.call(c, &a, next); s != "" {
					d.failed.Store(&s)
				}
				d.calls.Add(1)
			}
		}()
	}
	all := make(chan struct{})
	go func() {
		for range drainCallers {
			<-done
		}
		close(all)
	}()
	return all
}

const (
	callTimeout   = 5 * time.Second        // the deadline of the service
	retryAfterMax = 100 * time.Millisecond // of an answer of a daemon that stops
)

// attempt is what came of one request of a call.
type attempt struct {
	answered   bool          // whether it got a complete 200
	away       bool          // whether no connection was opened
	notRun     bool          // whether the answer was that it was not run
	refused    bool          // whether a daemon that stops gave that answer
	closed     bool          // whether the connection ended without an answer
	endedAt    time.Time     // when it ended so
	retryAfter time.Duration // of a refusal
	text       string
}

// call makes a call to the daemon at the address a, which it sets to next if that
// takes no connection. It returns the empty string once an attempt has got a complete
// 200, and otherwise what went wrong. Only a daemon that stops may make it try again: by
// saying that the request was not run, or by closing the connection without having
// read it. What it says is checked by checkAttempts.
func (d *drainFleet) call(c *http.Client, a *string, next string) string {
	for end := time.Now().Add(callTimeout); ; {
		id := strconv.FormatInt(d.ids.Add(1), 10)
		v := try(c, *a, id)
		if v.away {
			*a = next
			continue
		}
		stops := *a == d.daemons[stopping].Settings().CallAddress && d.daemons[stopping].IsDraining()
		d.record(id, v)
		switch {
		case v.answered:
			return ""
		case !stops, !v.refused && !v.closed, time.Now().After(end):
			return v.text
		}
		time.Sleep(v.retryAfter)
	}
}

func (d *drainFleet) record(id string, v attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts == nil {
		d.attempts = make(map[string]attempt)
	}
	d.attempts[id] = v
	if v.refused {
		d.refused++
	}
	if v.closed {
		d.unread++
	}
}

// checkAttempts checks that each request that was answered has run once and no other
// has, and that no daemon has read a request and closed its connection without an
// answer. Only a request at which a worker was still at work at the drain limit may
// be closed: its daemon cannot answer for the worker. It returns the number of those.
func (d *drainFleet) checkAttempts() int {
	d.t.Helper()
	limit := d.daemons[stopping].worker.Drain().End
	atLimit := 0
	runs := make(map[string]int)
	for _, k := range d.workers {
		for id, n := range k.Runs() {
			runs[id] += n
		}
	}
	for id, v := range d.attempts {
		want := 0
		if v.answered {
			want = 1
		}
		if v.closed && runs[id] == 1 && !limit.IsZero() && !v.endedAt.Before(limit) {
			atLimit++
			continue
		}
		if runs[id] != want {
			d.t.Errorf("request %s has run %d times, want %d: %s", id, runs[id], want, v.text)
		}
	}
	for i, b := range d.daemons {
		allowed := 0
		if i == stopping {
			allowed = atLimit
		}
		if n := b.cuts.Load(); n > int64(allowed) {
			d.t.Errorf("daemon %d closed %d connections under a request that it had read, want at most %d", i, n, allowed)
		}
	}
	return atLimit
}

// try sends the request with the id.
func try(c *http.Client, address, id string) attempt {
	q, err := newPost(address, "/")
	if err != nil {
		return attempt{text: err.Error()}
	}
	q.Header.Set(upstreamtest.RequestHeader, id)
	p, err := c.Do(q)
	if isDialFailure(err) {
		return attempt{away: true}
	}
	if err != nil {
		return attempt{closed: true, endedAt: time.Now(), text: err.Error()}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	v := attempt{answered: err == nil && p.StatusCode == http.StatusOK, text: p.Status + " " + string(b)}
	v.notRun = err == nil && p.StatusCode == http.StatusServiceUnavailable && p.Header.Get(contract.OutcomeHeader) == contract.NotRun.String()
	if !v.notRun {
		return v
	}
	s, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
	v.retryAfter = time.Duration(s * float64(time.Second))
	v.refused = err == nil && v.retryAfter > 0 && v.retryAfter <= retryAfterMax && p.Close && p.Header.Get(contract.CodeHeader) == result.Leaving.String()
	return v
}

// dialFailed is the result of post if no connection was opened.
const dialFailed = "away"

// post sends one request and returns the empty string for a complete answer, and
// otherwise what went wrong.
func post(c *http.Client, address string) string { return postTo(c, address, "/") }

// postTo is post for a path.
func postTo(c *http.Client, address, path string) string {
	q, err := newPost(address, path)
	if err != nil {
		return err.Error()
	}
	return send(c, q)
}

// forwardTo is postTo for the link address of a daemon, as another daemon forwards a
// request to its worker.
func forwardTo(c *http.Client, address, path string) string {
	q, err := newPost(address, path)
	if err != nil {
		return err.Error()
	}
	q.Header.Set(contract.ServiceHeader, "s")
	q.Header.Set(contract.KindHeader, "r")
	return send(c, q)
}

// send sends the request q, see post.
func send(c *http.Client, q *http.Request) string {
	p, err := c.Do(q)
	if isDialFailure(err) {
		return dialFailed // without a connection the request cannot have run
	}
	if err != nil {
		return err.Error()
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK {
		return p.Status + " " + string(b)
	}
	return ""
}

// newPost returns a request with a body of one byte.
func newPost(address, path string) (*http.Request, error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return nil, err
	}
	q.ContentLength = 1
	q.Host = "h.example"
	return q, nil
}

// isDialFailure reports whether err says that no connection was opened.
func isDialFailure(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// TestDrain guards against calls that fail while a worker drains, its daemon
// stops, or both. Under load, no answer may be lost or fail, no request may run that
// was said not to have, and new requests must stop reaching the worker within 3 s.
func TestDrain(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		leave func(d *drainFleet)
	}{
		{"the worker announces that it drains", func(d *drainFleet) { d.workers[2].SetState("Draining") }},
		{"the daemon stops", func(d *drainFleet) { d.stop(2) }},
		{"both at the same time", func(d *drainFleet) {
			d.workers[2].SetState("Draining")
			d.stop(2)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			drainUnderLoad(t, c.leave)
		})
	}
}

// drainUnderLoad calls leave under load, and checks what TestDrain requires.
func drainUnderLoad(t *testing.T, leave func(d *drainFleet)) {
	t.Helper()
	d := newDrainFleet(t, nil)
	x, stop := context.WithCancel(context.Background())
	done := d.load(x)
	d.wait("the worker runs requests", func() bool { return d.workers[2].Peak() > 0 })
	began := time.Now()
	leave(d)
	const within = 3 * time.Second // the required bound
	last, at := d.workers[2].Total(), began
	for time.Since(began) < within+500*time.Millisecond {
		if n := d.workers[2].Total(); n != last {
			last, at = n, time.Now()
		}
		time.Sleep(5 * time.Millisecond)
	}
	stop()
	<-done
	if at.Sub(began) > within {
		t.Errorf("the worker got a new request %s after the drain began", at.Sub(began))
	}
	if s := d.failed.Load(); s != nil {
		t.Errorf("a call failed: %s", *s)
	}
	n := d.checkAttempts()
	t.Logf("%d calls; the worker got its last request %s after the drain began; %d requests were refused, %d were at a worker at the limit, %d not read", d.calls.Load(), at.Sub(began).Round(time.Millisecond), d.refused, n, d.unread-n)
}

// TestDrainAfterWorkerHasEnded guards against calls that fail at a daemon that stops after its worker has ended, and that has to forward them.
func TestDrainAfterWorkerHasEnded(t *testing.T) {
	t.Parallel()
	drainUnderLoad(t, func(d *drainFleet) {
		d.workers[stopping].SetState(instance.Draining.String())
		d.wait("no request is sent to the worker", func() bool {
			return d.all(func(c *control) bool { return len(c.readyInstances()) == 2 }) && d.daemons[stopping].worker.InFlight() == 0
		})
		d.ends[stopping]()
		d.stop(stopping)
	})
}

// TestStopDuringStartAnswersCallers guards against a daemon that is stopped while it starts and drops what its callers have sent.
func TestStopDuringStartAnswersCallers(t *testing.T) {
	t.Parallel()
	f := &fleet{t: t, store: &platformtest.Store{}}
	t.Cleanup(f.close)
	f.add(settings.Settings{Instance: "i", Site: "site-0"})
	const callers = 4
	results := make(chan attempt, callers)
	for range callers {
		go func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for {
				v := try(c, f.daemons[0].Settings().CallAddress, "")
				if !v.notRun {
					results <- v
					return
				}
			}
		}()
	}
	f.stop(0)
	for range callers {
		if v := <-results; !v.away && !v.closed {
			t.Errorf("got %q, want 503, not run, until the daemon has ended", v.text)
		}
	}
	if n := f.daemons[0].cuts.Load(); n > 0 {
		t.Errorf("the daemon closed %d connections under a request that it had read", n)
	}
}

// TestDrainCutsOffNoLateCaller guards against a daemon that takes new callers until its worker's last request has ended, and cuts them off at its drain limit.
func TestDrainCutsOffNoLateCaller(t *testing.T) {
	t.Parallel()
	const work, later = 1200 * time.Millisecond, 900 * time.Millisecond // the drain limit is 2 s
	d := newDrainFleet(t, func(k *upstreamtest.Worker) { k.Work = work })
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	results := make(chan string, 64)
	calls := 0
	send := func(i int) {
		calls++
		go func() { results <- post(c, d.daemons[i].Settings().CallAddress) }()
	}
	for d.workers[2].Total() == 0 {
		send(calls % 2)
		time.Sleep(50 * time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.stop(2)
	}()
	time.Sleep(later)
	send(2)
	for range calls {
		if s := <-results; s != "" && s != dialFailed && !strings.HasPrefix(s, "503 ") { // 503 says that it was not run
			t.Errorf("a call failed: %s", s)
		}
	}
	<-stopped
}

// holdPath is the path of requests that the workers of a hold hold.
const holdPath = "/hold"

const (
	holdSlots      = 2                                  // of each worker of a hold
	holdDrainLimit = settings.Duration(4 * time.Second) // requests that wait elsewhere are given up before it while a hold is set up, too
)

// hold makes workers hold requests until release is closed.
type hold struct{ release chan struct{} }

// newHold returns a fleet with a hold. Its daemons know how long other requests take.
func newHold(t *testing.T, c *http.Client) (*drainFleet, hold) {
	h := hold{release: make(chan struct{})}
	d := startDrainFleet(t, holdDrainLimit, func(k *upstreamtest.Worker) {
		k.Slots = holdSlots
		k.Hold = func(r *http.Request) {
			if r.URL.Path == holdPath {
				<-h.release
			}
		}
	})
	for i := range d.daemons {
		for range 3 {
			if s := post(c, d.daemons[i].Settings().CallAddress); s != "" {
				t.Fatal(s)
			}
		}
	}
	return d, h
}

// stopping is the number of the daemon that stops.
const stopping = 2

// occupy sends requests to the daemon that stops until its worker runs one more. It
// returns their number; their results are sent to results.
func (d *drainFleet) occupy(c *http.Client, results chan<- string) int {
	i := stopping
	runs, all := d.workers[i].Total(), d.inFlight()
	n := 0
	for before := d.daemons[i].worker.InFlight(); d.daemons[i].worker.InFlight() == before; {
		n++
		go func() { results <- postTo(c, d.daemons[i].Settings().CallAddress, holdPath) }()
		d.wait("the request is at a worker or waits", func() bool { return d.inFlight() == all+n })
	}
	d.wait("the worker runs it", func() bool { return d.workers[i].Total() > runs })
	return n
}

// runs returns the number of requests that the workers began to run.
func (d *drainFleet) runs() int {
	n := 0
	for _, k := range d.workers {
		n += k.Total()
	}
	return n
}

// inFlight returns the number of requests at all workers and waiting for them.
func (d *drainFleet) inFlight() int {
	n := 0
	for _, b := range d.daemons {
		n += b.worker.InFlight()
	}
	return n
}

// stopAnnounced begins to stop a daemon and returns when the others know. The channel
// is closed when it has ended.
func (d *drainFleet) stopAnnounced() <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.stop(stopping)
	}()
	d.wait("the drain is announced", func() bool { return d.daemons[stopping].worker.Drain().Announced })
	return stopped
}

// TestDrainServesLateRequestThatEndsInTime guards against a stopping daemon that turns away the calls of its own worker, which is still at work.
func TestDrainServesLateRequestThatEndsInTime(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	results := make(chan string, 64)
	runs := d.workers[stopping].Total()
	go func() { results <- forwardTo(c, d.daemons[stopping].Settings().LinkAddress, holdPath) }()
	d.wait("the worker runs it", func() bool { return d.workers[stopping].Total() > runs })
	stopped := d.stopAnnounced()
	if s := post(c, d.daemons[2].Settings().CallAddress); s != "" {
		t.Errorf("the call during the drain failed: %s", s)
	}
	close(h.release)
	if s := <-results; s != "" {
		t.Errorf("a request that was at a worker failed: %s", s)
	}
	<-stopped
}

// TestDrainGivesNoAnswerForWorkerAtWork guards against a stopping daemon that answers in place of a worker that is at work.
func TestDrainGivesNoAnswerForWorkerAtWork(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	defer close(h.release)
	before := d.runs()
	results := make(chan string, 64)
	n := d.occupy(c, results)
	began := time.Now()
	<-d.stopAnnounced()
	if took := time.Since(began); took < time.Duration(d.daemons[2].Settings().DrainLimit) {
		t.Errorf("the daemon ended after %s, before its limit", took)
	}
	closed, run := 0, d.runs()-before
	for range n {
		s := <-results
		switch {
		case strings.HasSuffix(s, "EOF"), strings.Contains(s, "reset"):
			closed++
		case !isNotRun(s): // one that waits elsewhere, while the workers there are full
			t.Errorf("got the answer %q, want a closed connection", s)
		}
	}
	if closed != run {
		t.Errorf("%d of %d connections were closed, and %d requests were at a worker", closed, n, run)
	}
}

// isNotRun reports whether the result s of postTo is an answer that the request was not run.
func isNotRun(s string) bool {
	return strings.HasPrefix(s, "503 ") && strings.Contains(s, contract.NotRun.String())
}

// TestDrainAnnouncesItsEndAtItsLimit guards against a daemon that drains until its limit and then ends without a word, so that the others find out by probes.
func TestDrainAnnouncesItsEndAtItsLimit(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	defer close(h.release)
	results := make(chan string, 64)
	n := d.occupy(c, results)
	<-d.stopAnnounced()
	name := d.daemons[stopping].Settings().Instance
	for i := range d.daemons {
		var state instance.State
		if i != stopping && d.ask(i, func(c *control) bool {
			r, _, ok := c.table.Get(name)
			state = r.State
			return ok && state != instance.Left
		}) {
			t.Errorf("daemon %d takes it for %s, want %s", i, state, instance.Left)
		}
	}
	for range n {
		<-results
	}
}

// TestDrainAnswersCallersUntilItStopsListening guards against a daemon that takes connections until its limit and closes them with requests on them that it has read.
func TestDrainAnswersCallersUntilItStopsListening(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	defer close(h.release)
	held := make(chan string, 64)
	n := d.occupy(c, held)
	stopped := d.stopAnnounced()
	b := d.daemons[stopping]
	<-b.worker.Waits().Done()
	const callers = 8
	results := make(chan attempt, callers)
	for range callers {
		go func() {
			for {
				v := try(c, b.Settings().CallAddress, "")
				if !v.notRun {
					results <- v
					return
				}
			}
		}()
	}
	for range callers {
		if v := <-results; !v.away && !v.closed {
			t.Errorf("got %q, want 503, not run, until the daemon stops listening", v.text)
		}
	}
	<-stopped
	for range n {
		<-held
	}
	if k := b.cuts.Load(); k > int64(n) {
		t.Errorf("the daemon closed %d connections under a request, want at most the %d at a worker", k, n)
	}
}

// TestDrainAnswersWhatWaitsBeforeItsLimit guards against a stopping daemon that cuts off a request that waits for a worker, its own or another one.
func TestDrainAnswersWhatWaitsBeforeItsLimit(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	defer close(h.release)
	before := d.runs()
	results := make(chan string, 64)
	n := d.occupy(c, results) + d.occupy(c, results)
	for waitHere := false; !waitHere || d.inFlight() < len(d.daemons)*holdSlots+len(d.daemons); {
		go func() { results <- postTo(c, d.daemons[stopping].Settings().CallAddress, holdPath) }()
		n++
		d.wait("the request is at a worker or waits", func() bool { return d.inFlight() == n })
		waitHere = d.daemons[stopping].worker.InFlight() > holdSlots
	}
	<-d.stopAnnounced()
	answered, run := 0, d.runs()-before
	for range n {
		if isNotRun(<-results) {
			answered++
		}
	}
	if answered != n-run {
		t.Errorf("%d of %d requests were answered as not run, and %d were at a worker", answered, n, run)
	}
}
