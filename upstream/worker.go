package upstream

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/site"
)

const (
	dialTimeout = 500 * time.Millisecond

	// probeTimeout bounds the probe of a worker whose connection broke. The
	// worker runs on the same machine, and the answer to the caller waits for
	// the probe.
	probeTimeout = 100 * time.Millisecond

	// leavingGraceTime is how long a draining worker still accepts requests:
	// daemons that do not know yet that it is draining go on sending them.
	leavingGraceTime = 500 * time.Millisecond

	// queuePerSlot is the length of the queue per slot where the configuration
	// sets neither the queue nor the slots.
	queuePerSlot = 8

	// idleConnTimeout is how long an unused connection to the worker is kept.
	// Workers close idle connections on their own, and a request that is sent at
	// that moment may not be safe to send again.
	idleConnTimeout = 3 * time.Second
)

// Worker forwards requests to the worker of this daemon. All requests to that
// worker go through it, so its count of requests in flight is exact. The zero
// value rejects every request.
type Worker struct {
	// Headers are the names of the headers that the worker understands; set
	// before use.
	Headers contract.Headers
	// HoldBack delays answers until they are complete, see hop.Hop.
	HoldBack bool
	// Unreachable is called when the worker that announced a accepts no
	// connections or another one has taken over its address; may be nil.
	Unreachable func(a Announcement)

	// Cleared is called when the worker gave a complete answer to a suspected
	// request; may be nil.
	Cleared func(f poison.Fingerprint)

	// Faulty is called when the worker did not answer a request, or not whole, or with bytes
	// that are no answer to it; may be nil.
	Faulty func(a FaultyAnswer)

	// Noticed is called when what the worker states about itself in its answers
	// has changed, see Notice; may be nil.
	Noticed func()

	gate       Gate
	state      atomic.Pointer[workerState]
	lastAnswer link.Moment

	suspects atomic.Pointer[poison.List]

	notice    atomic.Pointer[Notice] // last one, nil before the first answer of this start
	sentCount atomic.Int64

	exchangeCount atomic.Uint64 // requests that were numbered by nextExchange

	drain     atomic.Pointer[contract.Drain] // nil before SetDrain
	waitsOnce sync.Once                      // for waits and endWaits
	waits     context.Context
	endWaits  context.CancelFunc

	mu          sync.Mutex
	crashWatch  poison.Watch
	hasFailures atomic.Bool // whether crashWatch may hold a request
}

type workerState struct {
	Announcement
	transport      *http.Transport
	connections    int
	slots          int
	queue          int
	leavingSince   time.Time    // when it stopped being ready, see func leavingSince
	echoesExchange *atomic.Bool // whether its answers echo the exchange id, see hop.Hop
}

// Set applies the last announcement of the worker and the configuration of its
// service, nil if there is none. Only the control goroutine calls it.
func (k *Worker) Set(a Announcement, s *site.Service, now time.Time) {
	o := k.state.Load()
	n := &workerState{Announcement: a, leavingSince: leavingSince(o, a, now)}
	if s != nil {
		n.connections = s.Connections
		n.slots = s.Slots
		n.queue = s.Queue
	}
	switch {
	case n.slots == 0:
		n.slots = a.Slots // the configuration lets the worker decide
	case a.Slots > 0:
		n.slots = min(n.slots, a.Slots)
	}
	if n.queue == 0 && s != nil && s.Slots == 0 {
		n.queue = queuePerSlot * n.slots
	}
	if o != nil && o.Address == n.Address && o.connections == n.connections {
		n.transport = o.transport
		n.echoesExchange = o.echoesExchange
	} else {
		n.echoesExchange = &atomic.Bool{}
		n.transport = hop.NewTransport(n.connections, dialTimeout, idleConnTimeout)
	}
	k.state.Store(n)
	k.forgetOtherNotice(a, now)
	k.gate.SetLimits(n.slots, n.queue, now)
	if o != nil && o.transport != n.transport {
		o.transport.CloseIdleConnections()
	}
}

// leavingSince returns the time at which a ready worker began to leave. It is
// zero for a worker that is ready, and for one that never was: no daemon can
// still be sending requests to that one.
func leavingSince(o *workerState, a Announcement, now time.Time) time.Time {
	switch {
	case a.State == readyState || o == nil:
		return time.Time{}
	case o.State == readyState:
		return now
	}
	return o.leavingSince
}

// acceptsRequests reports whether requests are sent to the worker at the time
// now.
func (s *workerState) acceptsRequests(now time.Time) bool {
	return s.State == readyState || s.State == drainingState && now.Sub(s.leavingSince) < leavingGraceTime
}

// SetLink sets the capacity of the instance's link in bytes per second, 0 if it
// is unknown.
func (k *Worker) SetLink(bytesPerSecond float64) { k.gate.SetLink(bytesPerSecond) }

// InFlight returns the number of requests at the worker and waiting for a slot.
func (k *Worker) InFlight() int { return k.gate.InFlight() }

// Load returns the worker's load report for other daemons, with the service time
// of requests of the kind.
func (k *Worker) Load(now time.Time, kind string) link.Load { return k.gate.Load(now, kind) }

// RateLimit returns the number of requests per second that the worker takes, 0 if it
// states no limit.
func (k *Worker) RateLimit() float64 { return k.gate.RateLimit() }

// SilentFor returns the time since the worker last answered a request.
func (k *Worker) SilentFor(now time.Time) time.Duration { return k.lastAnswer.Age(now) }

// Request is what the daemon knows about a request besides the HTTP request
// itself.
type Request struct {
	AdmissionRequest
	Service string
	Origin  string // service of the worker whose daemon received the request from its caller
	Body    *hop.Body
	Set     []hop.Field         // further headers for the worker
	Now     func() time.Time    // present time, read again after each wait
	Before  func(h http.Header) // called before the answer begins; may be nil

	// CancelIfLeft cancels the context of the request if its sender has disconnected.
	// It is called before the request is sent to the worker; may be nil.
	CancelIfLeft func()

	Crashes int // number of workers that were sent the request before and did not answer
}

// Serve forwards a request to the worker and the worker's answer to w. The
// deadline is that of the context x.
func (k *Worker) Serve(x context.Context, w http.ResponseWriter, r *http.Request, now time.Time, q Request) hop.Result {
	s := k.state.Load()
	if s == nil || s.Service == "" {
		return hop.NotRun(result.Leaving, "no worker is ready here")
	}
	if s.Service != q.Service {
		return hop.NotRun(result.WrongService, "the worker here is not of service "+q.Service)
	}
	if !s.acceptsRequests(now) {
		return hop.NotRun(result.Leaving, "the worker is "+s.State)
	}
	y, stop := q.waitContext(x)
	defer stop()
	if c := k.readBody(x, y, &q, now); c != 0 {
		return hop.NotRun(c, k.waitText(c, q, "its body was not taken")).At(hop.StageBody, q.Now().Sub(now))
	}
	now = q.Now()
	level, refused := k.crashLevel(r, q, now)
	if refused {
		return hop.NotRun(result.CrashesWorkers, "workers crashed when it was sent to them")
	}
	t := transfer{Request: q, gate: &k.gate}
	defer t.end()
	if c := k.gate.Enter(y, now, q.AdmissionRequest); c != 0 {
		return hop.NotRun(waitCode(x, c), k.waitText(c, q, "no slot of the worker became free, or its rate limit admitted no more")).At(hop.StageQueue, q.Now().Sub(now))
	}
	began := q.Now()
	e := Abandoned
	defer func() {
		now := q.Now()
		k.gate.Leave(now, q.Kind, now.Sub(began)-t.waited, e)
	}()
	// The worker may have left or been replaced while the request waited.
	if s = k.state.Load(); s.Service != q.Service || !s.acceptsRequests(began) {
		return hop.NotRun(result.Leaving, "the worker is "+s.State)
	}
	if q.CancelIfLeft != nil {
		q.CancelIfLeft()
	}
	if errors.Is(x.Err(), context.Canceled) {
		return hop.NotRun(result.CallerGone, "its sender left before it was sent to the worker").At(hop.StageQueue, began.Sub(now))
	}
	h := hop.Hop{Transport: s.transport, Address: s.Address, Headers: k.Headers, HoldBack: k.HoldBack, Before: q.Before, BeforePart: t.beforePart(x), Set: k.headerFields(x, s, q, began), Exchange: k.nextExchange(), Echoes: s.echoesExchange}
	k.sentCount.Add(1)
	f := h.Do(x, w, r, q.Body)
	e = endingOf(f)
	t.complete = f.OK()
	now = q.Now()
	k.recordResult(x, s, &f, now)
	k.reportFaulty(x, r, f)
	k.trackCrashes(x, s, r, q, level, f, began)
	if t.isWaiting {
		return f.At(hop.StageAnswer, t.waited)
	}
	return f.At(hop.StageWorker, now.Sub(began))
}

// readBody reads the body of a request and returns 0, or the code of why it was
// not read. A large body is read only once the gate admits it; until then the
// sender withholds it. After that the request may wait for a slot even if NoWait
// was set, because the transfer was its more expensive part. The gate and the body
// are waited for until y ends.
func (k *Worker) readBody(x, y context.Context, q *Request, now time.Time) result.Code {
	n := q.Body.UnreadBytes()
	if n > 0 {
		if c := k.gate.EnterBody(y, now, q.AdmissionRequest, n); c != 0 {
			return waitCode(x, c)
		}
		defer func() { k.gate.LeaveBody(q.Now(), n) }()
		q.NoWait = false
	}
	if q.Body.IsLoaded() {
		return 0
	}
	z, stop := k.UntilWaitsEnd(y)
	defer stop()
	switch {
	case q.Body.Load(z) == nil:
		return 0
	case y.Err() == nil && z.Err() != nil:
		return result.Leaving
	}
	return waitCode(x, contextCode(y))
}

// waitContext returns the context in which a request with the context x may wait.
func (q Request) waitContext(x context.Context) (context.Context, context.CancelFunc) {
	if q.WaitEnd.IsZero() {
		return x, func() {}
	}
	return context.WithDeadline(x, q.WaitEnd)
}

// waitCode returns the code for a request with the context x whose wait ended with
// the code c: Overloaded if only its wait was limited.
func waitCode(x context.Context, c result.Code) result.Code {
	if c == result.DeadlineExceeded && x.Err() == nil {
		return result.Overloaded
	}
	return c
}

// nextExchange returns the exchange id of the next request to the worker, empty
// if requests have ids of their own.
func (k *Worker) nextExchange() string {
	if k.Headers.Exchange == "" {
		return ""
	}
	return strconv.FormatUint(k.exchangeCount.Add(1), 10)
}

// endingOf returns the Ending of a request that has the result f.
func endingOf(f hop.Result) Ending {
	switch {
	case f.OK() && f.Status < http.StatusInternalServerError:
		return Answered
	case f.Status >= http.StatusInternalServerError, f.Code == result.AnswerLost, f.Code == result.WrongAnswer:
		return Failed
	}
	return Abandoned
}

// Fingerprint returns the fingerprint of the request r with its origin and body.
func (q Request) Fingerprint(r *http.Request) poison.Fingerprint {
	return poison.Request{Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), Origin: q.Origin, Body: q.Body.Buffered()}.Fingerprint()
}

// SetSuspects replaces the list of requests that are suspected of crashing
// workers.
func (k *Worker) SetSuspects(l poison.List) { k.suspects.Store(&l) }

// suspectsFor returns the list of suspects and the fingerprint of the request,
// which it computes only if the list is not empty.
func (k *Worker) suspectsFor(r *http.Request, q Request) (l poison.List, f poison.Fingerprint) {
	if p := k.suspects.Load(); p != nil && !p.Empty() {
		return *p, q.Fingerprint(r)
	}
	return poison.List{}, 0
}

// crashLevel returns the number of workers that the request is known to have
// crashed, and whether the request is refused for that reason.
func (k *Worker) crashLevel(r *http.Request, q Request, now time.Time) (level int, refused bool) {
	l, f := k.suspectsFor(r, q)
	return max(q.Crashes, l.Level(f)), q.Crashes >= poison.RefuseLevel || l.RefusedFor(f, now) > 0
}

// trackCrashes records what the result f of a request that was sent to the worker
// at the time t shows about requests that crash it.
func (k *Worker) trackCrashes(x context.Context, s *workerState, r *http.Request, q Request, level int, f hop.Result, t time.Time) {
	switch {
	case f.Code == result.AnswerLost && x.Err() == nil:
		k.mu.Lock()
		k.crashWatch.RecordFailure(q.Fingerprint(r), level, q.Now())
		k.hasFailures.Store(true)
		k.mu.Unlock()
		k.probe(x, s)
	case f.Status > 0 && k.hasFailures.Load():
		k.mu.Lock()
		k.crashWatch.RecordAnswer(t)
		k.mu.Unlock()
	}
	if !f.OK() || k.Cleared == nil {
		return
	}
	// The list is consulted again: the same request may have come under suspicion
	// by a crash elsewhere while it was at this worker.
	if l, n := k.suspectsFor(r, q); l.Level(n) > 0 {
		k.Cleared(n)
	}
}

// probe checks whether a worker whose connection broke or failed still listens. One that
// crashed does not, and this must be known before the request is sent again. Only a
// refused connection shows it: a worker that is full resets connections, and a daemon that
// was suspended finds its time-outs expired.
func (k *Worker) probe(x context.Context, s *workerState) {
	c, err := hop.Dialer(probeTimeout).DialContext(x, "tcp", s.Address)
	if err == nil {
		_ = c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) && k.Unreachable != nil {
		k.Unreachable(s.Announcement)
	}
}

// Crashed returns the requests to suspect after a crash of the worker that was detected at
// the time now, when it last announced itself at announcedAt.
func (k *Worker) Crashed(now, announcedAt time.Time) []poison.Suspect {
	aliveAt := now.Add(-min(now.Sub(announcedAt), k.SilentFor(now)))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hasFailures.Store(false)
	return k.crashWatch.Crashed(now, aliveAt)
}

// headerFields returns the headers to add to the request to the worker. The time
// left until the deadline is that at now, after the wait for a slot.
func (k *Worker) headerFields(x context.Context, s *workerState, q Request, now time.Time) []hop.Field {
	l := slices.Clip(q.Set)
	if d, ok := x.Deadline(); ok {
		l = append(l, hop.Field{Name: k.Headers.Deadline, Value: contract.RemainingMs(now, d)})
	}
	if k.Headers.Origin != "" {
		l = append(l, hop.Field{Name: k.Headers.Origin, Value: q.Origin})
	}
	if k.Headers.Target != "" && s.ID != "" {
		l = append(l, hop.Field{Name: k.Headers.Target, Value: s.ID})
	}
	return l
}

// recordResult records the time of an answer of the worker, and reports a worker
// that is unreachable. If the deadline passed before the request was sent, it
// changes the code of f to ConnectFailed.
func (k *Worker) recordResult(x context.Context, s *workerState, f *hop.Result, now time.Time) {
	if f.Status > 0 || f.Code == result.WorkerRefused {
		k.lastAnswer.Set(now)
		k.recordNotice(s.Announcement, f.Notice, now)
	}
	if f.Outcome != contract.NotRun || x.Err() != nil {
		if f.Code == result.DeadlineExceeded && f.Outcome == contract.NotRun {
			f.Code = result.ConnectFailed
		}
		return
	}
	switch {
	case f.Code == result.ConnectFailed:
		k.probe(x, s)
	case f.Code == result.WrongInstance && k.Unreachable != nil:
		k.Unreachable(s.Announcement)
	}
}
