package upstream

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"figwheel/link"
	"figwheel/result"
)

const (
	// holdWeight is the weight of the newest request in the mean time that
	// requests hold a slot.
	holdWeight = 0.05
	// holdFirst stands for that mean until the first request has ended.
	holdFirst = 50 * time.Millisecond
	// failCost is the extra cost of a failed request, as a multiple of its work:
	// its caller has to retry, or gets nothing.
	failCost = 4
	// kindsMax bounds the kinds of requests whose means are kept.
	kindsMax = 256
	// minRemainingShare is the share of its mean work that a request must have
	// left before its deadline when it gets a slot; with less it would occupy
	// the slot and fail.
	minRemainingShare = 0.5
	// goalShare is the part of the time to its goal that a request may be
	// expected to take when it starts to wait. Times vary about their means, and
	// a queue that just reaches the goals on average misses half of them, while
	// a shorter one keeps the slots as busy.
	goalShare = 0.7
	// overloadQueueShare is the number of waiting requests for each slot that
	// can still meet their goals, from which those that cannot are rejected.
	overloadQueueShare = 0.5
	overloadQueueMin   = 2 // the least such number
)

// Ask is what a request says when it wants a slot of the worker.
type Ask struct {
	Kind     string    // requests of one kind take about the same time
	Rank     int       // 0 goes first
	Goal     time.Time // until when an answer is worth most; zero for always
	Deadline time.Time // until when it is worth anything; zero for always
	NoWait   bool      // another worker may have a free slot
}

// Gate admits as many requests to the worker as it has slots, and decides which
// wait when there are more. Requests are admitted by rank; within a rank the
// one with the earliest goal goes first, as long as it can still meet it, so
// that short requests with close goals pass long ones that have time. A request
// that cannot meet its goal is rejected on arrival: an overload then costs some
// requests and not the goals of all, and the rejected ones can still be served
// elsewhere or later. The zero value admits nothing.
type Gate struct {
	mu      sync.Mutex
	slots   int
	queue   int
	taken   int
	waiting []*waiter // in the order of arrival
	hold    time.Duration
	kinds   map[string]time.Duration // mean time by kind
	failing float64                  // mean part of requests that the worker fails

	link     float64   // bytes a second that the instance's link carries, 0 if unknown
	coming   int       // requests whose large bodies are on their way
	arriving int64     // bytes of these bodies
	bodies   []*waiter // requests whose large bodies are not sent yet
}

type waiter struct {
	Ask
	work     time.Duration    // that it is expected to take
	bytes    int64            // of a large body, that are still to come
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
func (g *Gate) mean() time.Duration { return cmp.Or(g.hold, holdFirst) }

// work returns the mean time that a request of the kind holds a slot.
func (g *Gate) work(kind string) time.Duration { return cmp.Or(g.kinds[kind], g.mean()) }

// wait returns how long w would wait for a slot: for the first of those that
// are taken, and for the work of those that go first.
func (g *Gate) wait(w *waiter, now time.Time) time.Duration {
	if g.slots <= 0 {
		return 0
	}
	d := g.mean()
	for _, o := range g.waiting {
		if g.compare(o, w, now) <= 0 {
			d += o.work
		}
	}
	return d / time.Duration(g.slots)
}

// reaches tells whether w reaches its goal when it gets a slot at t.
func (w *waiter) reaches(t time.Time) bool {
	return w.Goal.IsZero() || !t.Add(w.work).After(w.Goal)
}

// expired tells whether a slot at t comes too close to the deadline of w.
func (w *waiter) expired(t time.Time) bool {
	return !w.Deadline.IsZero() && t.Add(time.Duration(float64(w.work)*minRemainingShare)).After(w.Deadline)
}

// overloaded tells whether so many requests wait that can meet their goals that
// the others will not get a slot in time.
func (g *Gate) overloaded(now time.Time) bool {
	n := 0
	for _, w := range g.waiting {
		if w.reaches(now) {
			n++
		}
	}
	return float64(n) >= max(overloadQueueMin, overloadQueueShare*float64(g.slots))
}

// admit hands free slots to waiting requests, and rejects those that a slot
// would no longer help or that will not get one.
func (g *Gate) admit(now time.Time) {
	full := g.overloaded(now)
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		if !w.expired(now) && (!full || w.reaches(now)) {
			return false
		}
		w.admitted <- result.Overloaded
		return true
	})
	for g.taken < g.slots && len(g.waiting) > 0 {
		w := slices.MinFunc(g.waiting, func(a, b *waiter) int { return g.compare(a, b, now) })
		g.remove(w)
		g.taken++
		w.admitted <- 0
	}
}

func (g *Gate) remove(w *waiter) {
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
}

// compare orders waiting requests at the time now: by rank, then those that can
// meet their goals, then by goal. The order is stable: of equals the one that
// arrived first comes first.
func (g *Gate) compare(a, b *waiter, now time.Time) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	switch la, lb := a.reaches(now), b.reaches(now); {
	case la && !lb:
		return -1
	case lb && !la:
		return 1
	}
	if a.Goal.IsZero() || b.Goal.IsZero() {
		return 0
	}
	return a.Goal.Compare(b.Goal)
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
	w := &waiter{Ask: q, work: g.work(q.Kind), admitted: make(chan result.Code, 1)}
	if q.NoWait || len(g.waiting) >= g.queue || g.refuses(w, now) {
		g.mu.Unlock()
		return result.Overloaded
	}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	select {
	case c := <-w.admitted:
		return c
	case <-x.Done():
	}
	return g.giveUp(x, w, now)
}

// refuses tells whether w would wait too long: until it misses its goal, or its
// deadline if it could not meet the goal even in an empty queue.
func (g *Gate) refuses(w *waiter, now time.Time) bool {
	wait := g.wait(w, now)
	if w.expired(now.Add(wait)) {
		return true
	}
	if !w.reaches(now) {
		return g.overloaded(now)
	}
	return !w.Goal.IsZero() && float64(wait+w.work) > goalShare*float64(w.Goal.Sub(now)) && wait > 0
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
		g.remove(w)
	}
	return ended(x)
}

// ended returns the number of why x has ended.
func ended(x context.Context) result.Code {
	if errors.Is(x.Err(), context.DeadlineExceeded) {
		return result.DeadlineExceeded
	}
	return result.CallerGone
}

// Ending is how a request at the worker ended.
type Ending int

// The endings.
const (
	Answered  Ending = iota
	Failed           // the worker answered by a failure of its own, or broke off
	Abandoned        // its caller gave up, which says nothing about the worker
)

// Leave returns a slot that a request of the kind held for the time held.
func (g *Gate) Leave(now time.Time, kind string, held time.Duration, e Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A request that fails at once does not show how long the work takes, and
	// would make a failing worker look fast. An abandoned one took at least
	// that long.
	if e == Answered || held > g.work(kind) {
		g.learn(kind, held)
	}
	if e != Abandoned {
		f := 0.0
		if e == Failed {
			f = 1
		}
		g.failing += holdWeight * (f - g.failing)
	}
	g.taken--
	g.admit(now)
}

func (g *Gate) learn(kind string, held time.Duration) {
	g.hold = ewma(g.hold, held)
	if _, ok := g.kinds[kind]; ok || len(g.kinds) < kindsMax {
		if g.kinds == nil {
			g.kinds = make(map[string]time.Duration)
		}
		g.kinds[kind] = ewma(g.kinds[kind], held)
	}
}

// ewma folds the sample v into the exponentially weighted mean m.
func ewma(m, v time.Duration) time.Duration {
	if m == 0 {
		return v
	}
	return m + time.Duration(holdWeight*float64(v-m))
}

// InFlight returns the requests inside and in the queue.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken + len(g.waiting)
}

// Load returns the load report that is attached to each response: the requests
// inside and in the queue, the mean time that a request holds a slot, and that
// of the kind, increased by the share that fails.
func (g *Gate) Load(kind string) link.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return link.Load{
		InFlight: g.taken + len(g.waiting) + g.coming + len(g.bodies),
		Hold:     g.hold,
		Work:     time.Duration((1 + failCost*g.failing) * float64(g.kinds[kind])),
	}
}
