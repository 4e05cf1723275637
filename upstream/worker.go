package upstream

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/site"
)

const (
	dialTime = 500 * time.Millisecond

	// probeTime bounds how long a worker that broke off is probed. It stands on
	// the same machine; the answer to its request waits for that.
	probeTime = 100 * time.Millisecond

	// lateTime is how long a worker that is leaving still gets requests from
	// daemons that have not heard of it yet.
	lateTime = 500 * time.Millisecond

	// queuePerSlot bounds the queue where the configuration leaves it open.
	queuePerSlot = 8

	// idleTime is how long a connection to the worker is kept unused. Workers
	// close idle ones on their own, and a request that meets that moment may
	// not be sent again.
	idleTime = 3 * time.Second
)

// Worker is the way to the worker beside the daemon, the only one there is,
// so that its count of requests in flight is exact. The zero value refuses
// every request.
type Worker struct {
	// Headers are the names that the worker knows; set before use.
	Headers contract.Headers
	// HoldBack keeps answers back until they are whole, see hop.Hop.
	HoldBack bool
	// Unreachable is told that the worker takes no connections; may be nil.
	Unreachable func(a Announcement)

	// Cleared is told of a suspected request that the worker answered; may be
	// nil.
	Cleared func(f poison.Fingerprint)

	gate     Gate
	state    atomic.Pointer[workerState]
	answered link.Moment // of the last answer

	suspects atomic.Pointer[poison.List]

	exchanges atomic.Uint64 // requests that were sent, see exchange

	mu      sync.Mutex
	crashes poison.Watch
	broken  atomic.Bool // whether crashes has any request
}

type workerState struct {
	Announcement
	transport   *http.Transport
	connections int
	slots       int
	queue       int
	leaving     time.Time    // since when, zero if it is not
	echoes      *atomic.Bool // whether its answers name their exchange
}

// Set takes over what the worker announced last and what the configuration
// says of its service, nil if there is none. The control goroutine alone
// calls it.
func (k *Worker) Set(a Announcement, s *site.Service, now time.Time) {
	o := k.state.Load()
	n := &workerState{Announcement: a, leaving: leavingSince(o, a, now)}
	if s != nil {
		n.connections = s.Connections
		n.slots = s.Slots
		n.queue = s.Queue
	}
	switch {
	case n.slots == 0:
		n.slots = a.Slots // the configuration leaves it to the worker
	case a.Slots > 0:
		n.slots = min(n.slots, a.Slots)
	}
	if n.queue == 0 && s != nil && s.Slots == 0 {
		n.queue = queuePerSlot * n.slots
	}
	if o != nil && o.Address == n.Address && o.connections == n.connections {
		n.transport = o.transport
		n.echoes = o.echoes
	} else {
		n.echoes = &atomic.Bool{}
		n.transport = hop.NewTransport(n.connections, dialTime, idleTime)
	}
	k.state.Store(n)
	k.gate.SetLimits(n.slots, n.queue, now)
	if o != nil && o.transport != n.transport {
		o.transport.CloseIdleConnections()
	}
}

// leavingSince returns since when a ready worker has been leaving. One that
// was never ready has nothing to be late for.
func leavingSince(o *workerState, a Announcement, now time.Time) time.Time {
	switch {
	case a.State == readyState || o == nil:
		return time.Time{}
	case o.State == readyState:
		return now
	}
	return o.leaving
}

// takes tells whether the worker gets requests at now.
func (s *workerState) takes(now time.Time) bool {
	return s.State == readyState || s.State == drainingState && now.Sub(s.leaving) < lateTime
}

// SetLink tells how many bytes a second the instance's link carries, 0 if that
// is not known.
func (k *Worker) SetLink(bytes float64) { k.gate.SetLink(bytes) }

// InFlight returns the requests at the worker and waiting for it.
func (k *Worker) InFlight() int { return k.gate.InFlight() }

// Load returns what the worker's daemon tells others of its load, with what
// requests of the kind take.
func (k *Worker) Load(kind string) link.Load { return k.gate.Load(kind) }

// SilentFor returns how long ago the worker last answered a request.
func (k *Worker) SilentFor(now time.Time) time.Duration { return k.answered.Age(now) }

// Request is what the daemon knows of a request beyond what stands in it.
type Request struct {
	Ask
	Service string
	Origin  string // service of the worker beside which the request began
	Body    *hop.Body
	Set     []hop.Field         // further headers for the worker
	Now     func() time.Time    // for the time after the wait
	Before  func(h http.Header) // called before an answer is begun; may be nil

	Crashes int // workers that it was sent to before and that did not answer
}

// Serve passes a request to the worker and its answer to w. The deadline is
// that of the context x.
func (k *Worker) Serve(x context.Context, w http.ResponseWriter, r *http.Request, now time.Time, q Request) hop.Result {
	s := k.state.Load()
	if s == nil || s.Service != q.Service {
		return hop.NotRun(result.WrongService, "the worker here is not of service "+q.Service)
	}
	if !s.takes(now) {
		return hop.NotRun(result.Leaving, "the worker is "+s.State)
	}
	if c := k.takeBody(x, &q, now); c != 0 {
		return hop.NotRun(c, "its body was not taken")
	}
	now = q.Now()
	level, refused := k.level(r, q, now)
	if refused {
		return hop.NotRun(result.CrashesWorkers, "workers crashed when it was sent to them")
	}
	if c := k.gate.Enter(x, now, q.Ask); c != 0 {
		return hop.NotRun(c, "no slot of the worker became free")
	}
	began := q.Now()
	e := Abandoned
	defer func() {
		t := q.Now()
		k.gate.Leave(t, q.Kind, t.Sub(began), e)
	}()
	// The worker may have left, or another one come, while the request waited.
	if s = k.state.Load(); s.Service != q.Service || !s.takes(began) {
		return hop.NotRun(result.Leaving, "the worker is "+s.State)
	}
	h := hop.Hop{Transport: s.transport, Address: s.Address, Headers: k.Headers, HoldBack: k.HoldBack, Before: q.Before, Set: k.fields(x, s, q, began), Exchange: k.exchange(), Echoes: s.echoes}
	f := h.Do(x, w, r, q.Body)
	e = ending(f)
	k.note(x, s, &f, q.Now())
	k.follow(x, s, r, q, level, f, began)
	return f
}

// takeBody reads the body of a request. A large one is read only if the gate
// will let the request in: until then the sender holds its bytes back. Then it
// may wait, because its way was the dearer part.
func (k *Worker) takeBody(x context.Context, q *Request, now time.Time) result.Code {
	n := q.Body.Arriving()
	if n > 0 {
		if c := k.gate.Expect(x, now, q.Ask, n); c != 0 {
			return c
		}
		defer func() { k.gate.Arrived(q.Now(), n) }()
		q.NoWait = false
	}
	if q.Body.Load(x) == nil {
		return 0
	}
	return ended(x)
}

// exchange returns the id of the next request to the worker, empty where
// requests have ids of their own.
func (k *Worker) exchange() string {
	if k.Headers.Exchange == "" {
		return ""
	}
	return strconv.FormatUint(k.exchanges.Add(1), 10)
}

// ending tells what the end of a request says about the worker.
func ending(f hop.Result) Ending {
	switch {
	case f.OK() && f.Status < http.StatusInternalServerError:
		return Answered
	case f.Status >= http.StatusInternalServerError, f.Code == result.AnswerLost, f.Code == result.WrongAnswer:
		return Failed
	}
	return Abandoned
}

// Fingerprint names the request r for workers.
func (q Request) Fingerprint(r *http.Request) poison.Fingerprint {
	return poison.Request{Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), Origin: q.Origin, Body: q.Body.Kept()}.Fingerprint()
}

// SetSuspects replaces the requests that are suspected of crashing workers.
func (k *Worker) SetSuspects(l poison.List) { k.suspects.Store(&l) }

// suspected returns what is known of the request, if anything is of any.
func (k *Worker) suspected(r *http.Request, q Request) (l poison.List, f poison.Fingerprint) {
	if p := k.suspects.Load(); p != nil && !p.Empty() {
		return *p, q.Fingerprint(r)
	}
	return poison.List{}, 0
}

// level returns how many workers the request is known to have crashed, and
// whether it is refused for that.
func (k *Worker) level(r *http.Request, q Request, now time.Time) (level int, refused bool) {
	l, f := k.suspected(r, q)
	return max(q.Crashes, l.Level(f)), q.Crashes >= poison.RefuseLevel || l.Refuses(f, now) > 0
}

// follow notes what the end of a request at the worker, which began at the time
// t, says about what crashes it.
func (k *Worker) follow(x context.Context, s *workerState, r *http.Request, q Request, level int, f hop.Result, t time.Time) {
	switch {
	case f.Code == result.AnswerLost && x.Err() == nil:
		k.mu.Lock()
		k.crashes.Broken(q.Fingerprint(r), level, q.Now())
		k.broken.Store(true)
		k.mu.Unlock()
		k.probe(x, s)
	case f.Status > 0 && k.broken.Load():
		k.mu.Lock()
		k.crashes.Alive(t)
		k.mu.Unlock()
	}
	if !f.OK() || k.Cleared == nil {
		return
	}
	// The current suspicion counts: the request may have been at its worker
	// before others of its kind were beside a crash elsewhere.
	if l, n := k.suspected(r, q); l.Level(n) > 0 {
		k.Cleared(n)
	}
}

// probe finds out whether the worker that broke off is still there: one that
// crashed takes no connections, and must be known before its request comes again.
func (k *Worker) probe(x context.Context, s *workerState) {
	c, err := hop.Dialer(probeTime).DialContext(x, "tcp", s.Address)
	if err == nil {
		_ = c.Close()
		return
	}
	if x.Err() == nil && k.Unreachable != nil {
		k.Unreachable(s.Announcement)
	}
}

// Crashed returns the requests that are suspected after the worker was found at
// now to have crashed.
func (k *Worker) Crashed(now time.Time) []poison.Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken.Store(false)
	return k.crashes.Crashed(now)
}

// fields returns the headers for the worker. The time left is taken anew after
// the wait for a slot.
func (k *Worker) fields(x context.Context, s *workerState, q Request, now time.Time) []hop.Field {
	l := slices.Clip(q.Set)
	if d, ok := x.Deadline(); ok {
		l = append(l, hop.Field{Name: k.Headers.Deadline, Value: contract.Remaining(now, d)})
	}
	if k.Headers.Origin != "" {
		l = append(l, hop.Field{Name: k.Headers.Origin, Value: q.Origin})
	}
	if k.Headers.Target != "" && s.ID != "" {
		l = append(l, hop.Field{Name: k.Headers.Target, Value: s.ID})
	}
	return l
}

// note draws what follows from how a request ended at the worker.
func (k *Worker) note(x context.Context, s *workerState, f *hop.Result, now time.Time) {
	if f.Status > 0 || f.Code == result.WorkerRefused {
		k.answered.Set(now)
	}
	if f.Outcome != contract.NotRun || x.Err() != nil {
		if f.Code == result.DeadlineExceeded && f.Outcome == contract.NotRun {
			f.Code = result.ConnectFailed
		}
		return
	}
	if (f.Code == result.ConnectFailed || f.Code == result.WrongInstance) && k.Unreachable != nil {
		k.Unreachable(s.Announcement)
	}
}
