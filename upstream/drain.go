package upstream

import (
	"cmp"
	"context"
	"time"

	"figwheel/contract"
	"figwheel/result"
)

// SetDrain sets when the daemon stops. Requests that may not begin any more, see
// contract.Drain, are rejected as Leaving from then on, and also those that wait.
func (g *Gate) SetDrain(d contract.Drain, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drain = d
	g.admit(now)
}

// EndWaits rejects all requests that wait as Leaving, and from then on those that
// would have to wait. Answers no longer wait for the link: they would be cut off.
func (g *Gate) EndWaits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitsEnded = true
	for _, w := range g.waiting {
		w.decision <- result.Leaving
	}
	for _, w := range g.waitingBodies {
		w.decision <- result.Leaving
	}
	for _, p := range g.outlet.waiting {
		p.decision <- 0
	}
	g.waiting, g.waitingBodies, g.outlet.waiting = nil, nil, nil
}

// isLate reports whether the drain does not allow the request q to begin after the
// wait.
func (g *Gate) isLate(q AdmissionRequest, wait time.Duration, now time.Time) bool {
	return !g.drain.Allows(now, g.begin(q, wait))
}

// begin describes the request q, which begins after the wait, to the drain.
func (g *Gate) begin(q AdmissionRequest, wait time.Duration) contract.Begin {
	b := contract.Begin{Arrived: q.Arrived, Deadline: q.Deadline, Expected: g.knownServiceTime(q.Kind), Nested: q.Nested}
	if b.Expected > 0 {
		b.Expected += wait
	}
	return b
}

// knownServiceTime is like kindServiceTime, but 0 before the first request.
func (g *Gate) knownServiceTime(kind string) time.Duration {
	return cmp.Or(g.kindServiceTimes[kind], g.serviceTime)
}

// waitText returns the text for a request that was not admitted, for the reason c: the
// text t unless the daemon stops.
func (k *Worker) waitText(c result.Code, q Request, t string) string {
	if c != result.Leaving {
		return t
	}
	k.gate.mu.Lock()
	defer k.gate.mu.Unlock()
	now := q.Now()
	return k.gate.drain.Text(now, k.gate.begin(q.AdmissionRequest, 0))
}

// SetDrain sets when the daemon stops, for the requests of callers and of other
// daemons.
func (k *Worker) SetDrain(d contract.Drain, now time.Time) {
	k.drain.Store(&d)
	k.gate.SetDrain(d, now)
}

// Drain returns what SetDrain has set.
func (k *Worker) Drain() contract.Drain {
	if d := k.drain.Load(); d != nil {
		return *d
	}
	return contract.Drain{}
}

// EndWaits gives up the requests that wait for the worker, and ends the context
// Waits.
func (k *Worker) EndWaits() {
	k.gate.EndWaits()
	k.Waits()
	k.endWaits()
}

// UntilWaitsEnd returns a context that ends with x, or when no request of the daemon
// may wait any more.
func (k *Worker) UntilWaitsEnd(x context.Context) (context.Context, context.CancelFunc) {
	y, cancel := context.WithCancel(x)
	stop := context.AfterFunc(k.Waits(), cancel)
	return y, func() {
		stop()
		cancel()
	}
}

// Waits returns a context that ends when no request of the daemon may wait any more.
func (k *Worker) Waits() context.Context {
	k.waitsOnce.Do(func() { k.waits, k.endWaits = context.WithCancel(context.Background()) })
	return k.waits
}
