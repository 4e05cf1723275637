package upstream

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
)

const (
	dialTime = 500 * time.Millisecond

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

	gate     Gate
	state    atomic.Pointer[workerState]
	answered link.Moment // of the last answer
}

type workerState struct {
	Announcement
	transport   *http.Transport
	connections int
	slots       int
	queue       int
	leaving     time.Time // since when, zero if it is not
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
	} else {
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

// InFlight returns the requests at the worker and waiting for it.
func (k *Worker) InFlight() int { return k.gate.InFlight() }

// Load returns what the worker's daemon tells others of its load.
func (k *Worker) Load() link.Load {
	n, h := k.gate.Load()
	return link.Load{InFlight: n, Hold: h}
}

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
	if c := k.gate.Enter(x, now, q.Ask); c != 0 {
		return hop.NotRun(c, "no slot of the worker became free")
	}
	began := q.Now()
	defer func() {
		t := q.Now()
		k.gate.Leave(t, q.Kind, t.Sub(began))
	}()
	// The worker may have left, or another one come, while the request waited.
	if s = k.state.Load(); s.Service != q.Service || !s.takes(began) {
		return hop.NotRun(result.Leaving, "the worker is "+s.State)
	}
	h := hop.Hop{Transport: s.transport, Address: s.Address, Headers: k.Headers, HoldBack: k.HoldBack, Before: q.Before, Set: k.fields(x, s, q, began)}
	f := h.Do(x, w, r, q.Body)
	k.note(x, s, &f, q.Now())
	return f
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
