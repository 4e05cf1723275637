package upstream

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"figwheel/result"
)

const (
	// holdWeight is the weight of the newest request in the mean time that
	// requests hold a slot.
	holdWeight = 0.05
	// holdFirst is taken for that mean until the first request has ended.
	holdFirst = 50 * time.Millisecond
	// enough is the part of the mean that a request needs to have left when it
	// gets a slot; with less it would take a slot and fail.
	enough = 0.4
)

// Ask is what a request says when it wants a slot of the worker.
type Ask struct {
	Rank     int       // 0 goes first
	Goal     time.Time // until when an answer is worth most; zero for always
	Deadline time.Time // until when it is worth anything; zero for always
	NoWait   bool      // another worker may have a free slot
}

// Gate lets as many requests to the worker as it has slots. It answers loads
// above that: who waits is let in by rank; within a rank those go first that
// can still reach their goal, in the order of arrival, so that an overload
// costs the goals of some and not of all; and who would wait too long to be
// served is refused at once, while it can still be served elsewhere. The zero
// value lets nothing in.
type Gate struct {
	mu      sync.Mutex
	slots   int
	queue   int
	taken   int
	waiting []*waiter // in the order of arrival
	hold    time.Duration
}

type waiter struct {
	Ask
	admitted chan result.Code // 0 for a slot; has room for one
}

// SetLimits changes slots and queue; requests inside stay.
func (g *Gate) SetLimits(slots, queue int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.queue = queue
	g.admit(now)
}

// mean returns the mean time that a request holds a slot.
func (g *Gate) mean() time.Duration {
	if g.hold == 0 {
		return holdFirst
	}
	return g.hold
}

// wait returns how long a request of the rank would wait for a slot.
func (g *Gate) wait(rank int) time.Duration {
	if g.slots <= 0 || g.taken < g.slots && len(g.waiting) == 0 {
		return 0
	}
	n := g.taken - g.slots + 1
	for _, w := range g.waiting {
		if w.Rank <= rank {
			n++
		}
	}
	return g.mean() * time.Duration(max(0, n)) / time.Duration(g.slots)
}

// late tells whether a request that gets a slot at t misses the time d.
func (g *Gate) late(t, d time.Time, share float64) bool {
	return !d.IsZero() && t.Add(time.Duration(float64(g.mean())*share)).After(d)
}

// admit gives free slots to the waiting, and ends the wait of those that a
// slot would no longer help.
func (g *Gate) admit(now time.Time) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		if !g.late(now, w.Deadline, enough) {
			return false
		}
		w.admitted <- result.Overloaded
		return true
	})
	for g.taken < g.slots && len(g.waiting) > 0 {
		w := slices.MinFunc(g.waiting, func(a, b *waiter) int { return g.compare(a, b, now) })
		g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
		g.taken++
		w.admitted <- 0
	}
}

// compare orders the waiting at the time now. The sort is stable in effect:
// the first of equals is the one that came first.
func (g *Gate) compare(a, b *waiter, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(lateness(g, a, now), lateness(g, b, now)),
	)
}

func lateness(g *Gate, w *waiter, now time.Time) int {
	if g.late(now, w.Goal, 1) {
		return 1
	}
	return 0
}

// Enter takes a slot, waiting for one until the context ends. The error is
// the number of why not.
func (g *Gate) Enter(x context.Context, now time.Time, q Ask) result.Code {
	g.mu.Lock()
	if g.taken < g.slots && len(g.waiting) == 0 {
		g.taken++
		g.mu.Unlock()
		return 0
	}
	if q.NoWait || len(g.waiting) >= g.queue || g.late(now.Add(g.wait(q.Rank)), q.Deadline, enough) {
		g.mu.Unlock()
		return result.Overloaded
	}
	w := &waiter{Ask: q, admitted: make(chan result.Code, 1)}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	select {
	case c := <-w.admitted:
		return c
	case <-x.Done():
	}
	return g.giveUp(x, w, now)
}

// giveUp leaves the queue, or the slot if it was granted at the same moment.
func (g *Gate) giveUp(x context.Context, w *waiter, now time.Time) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case c := <-w.admitted:
		if c == 0 {
			g.taken--
			g.admit(now)
		}
	default:
		g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
	}
	if errors.Is(x.Err(), context.DeadlineExceeded) {
		return result.DeadlineExceeded
	}
	return result.CallerGone
}

// Leave gives a slot back that was held for the time held.
func (g *Gate) Leave(now time.Time, held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.hold == 0 {
		g.hold = held
	}
	g.hold += time.Duration(holdWeight * float64(held-g.hold))
	g.taken--
	g.admit(now)
}

// InFlight returns the requests inside and in the queue.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken + len(g.waiting)
}

// Load returns the requests inside and in the queue, and the mean time that
// one holds a slot.
func (g *Gate) Load() (inFlight int, hold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken + len(g.waiting), g.hold
}
