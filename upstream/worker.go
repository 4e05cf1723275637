package upstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/result"
	"figwheel/site"
)

const dialTime = time.Second

// lateTime is how long a worker that is leaving still gets requests from
// daemons that have not heard of it yet.
const lateTime = 500 * time.Millisecond

// Worker is the way to the worker beside the daemon, the only one there is,
// so that its count of requests in flight is exact. The zero value refuses
// every request.
type Worker struct {
	gate  Gate
	state atomic.Pointer[workerState]
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
	if a.Slots > 0 {
		n.slots = min(n.slots, a.Slots)
	}
	if o != nil && o.Address == n.Address && o.connections == n.connections {
		n.transport = o.transport
	} else {
		n.transport = hop.NewTransport(n.connections, dialTime)
	}
	k.state.Store(n)
	k.gate.SetLimits(n.slots, n.queue)
	if o != nil && o.transport != n.transport {
		o.transport.CloseIdleConnections()
	}
}

// leavingSince returns since when a ready worker has been leaving. One that
// was never ready has nothing to be late for.
func leavingSince(o *workerState, a Announcement, now time.Time) time.Time {
	switch {
	case a.State == "Ready" || o == nil:
		return time.Time{}
	case o.State == "Ready":
		return now
	}
	return o.leaving
}

// takes tells whether the worker gets requests at now.
func (s *workerState) takes(now time.Time) bool {
	return s.State == "Ready" || s.State == "Draining" && now.Sub(s.leaving) < lateTime
}

// InFlight returns the requests at the worker and waiting for it.
func (k *Worker) InFlight() int { return k.gate.InFlight() }

// Request is what the daemon knows of a request beyond what stands in it.
type Request struct {
	Service string
	Body    *hop.Body
	Once    bool        // it must not run twice
	Set     []hop.Field // headers for the worker
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
	if c := k.gate.Enter(x); c != 0 {
		return hop.NotRun(c, "no slot of the worker became free")
	}
	defer k.gate.Leave()
	h := hop.Hop{Transport: s.transport, Address: s.Address, Once: q.Once, Set: q.Set}
	f := h.Do(x, w, r, q.Body)
	if f.Code == result.DeadlineExceeded && f.Outcome == contract.NotRun {
		f.Code = result.ConnectFailed
	}
	return f
}
