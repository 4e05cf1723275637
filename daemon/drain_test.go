package daemon

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/instance"
	"figwheel/platform/platformtest"
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
	q, err := newPost(d.daemons[stopping].Settings().CallAddress, "/")
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set(contract.DepthHeader, "1") // as the worker forwards it
	if s := send(c, q); s != "" {
		t.Errorf("the call during the drain failed: %s", s)
	}
	close(h.release)
	if s := <-results; s != "" {
		t.Errorf("a request that was at a worker failed: %s", s)
	}
	<-stopped
}

// TestDrainCutsOffNoLateRequestOfAnyLength guards against a stopping daemon that takes a request because others of its kind are short, and cuts it off at its limit.
func TestDrainCutsOffNoLateRequestOfAnyLength(t *testing.T) {
	t.Parallel()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d, h := newHold(t, c)
	defer close(h.release)
	held := make(chan string, 64)
	n := d.occupy(c, held)
	stopped := d.stopAnnounced()
	before := d.runs()
	if s := postTo(c, d.daemons[stopping].Settings().CallAddress, holdPath); !isNotRun(s) {
		t.Errorf("got %q, want 503, not run", s)
	}
	if k := d.runs() - before; k > 0 {
		t.Errorf("%d late requests were sent to a worker", k)
	}
	<-stopped
	for range n {
		<-held
	}
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
