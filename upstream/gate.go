package upstream

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"figwheel/contract"
	"figwheel/link"
	"figwheel/result"
)

const (
	// ewmaWeight is the weight of the newest request in the moving averages of
	// the service time and of the failure rate.
	ewmaWeight = 0.05
	// serviceTimeDefault is the assumed mean service time until the service time
	// of a request has been recorded.
	serviceTimeDefault = 50 * time.Millisecond
	// failureCost is the extra cost of a failed request, as a multiple of its
	// service time: its caller has to retry, or gets no answer.
	failureCost = 4
	// kindsMax bounds the kinds of requests whose mean service times are kept.
	kindsMax = 256
	// serviceTimeDoubtAge is the time without an admission after which the service time
	// of a kind may be wrong. It is long beside the goals of most requests, so that a
	// kind that does take too long costs few slots.
	serviceTimeDoubtAge = 2 * time.Second
	// remainingShareMin is the share of its expected service time that must
	// remain before the deadline of a request when it gets a slot. With less
	// time left it would occupy the slot and fail.
	remainingShareMin = 0.5
	// goalShare is the share of the time left to its goal that the expected wait
	// and service time of a request may take up when it joins the queue. Times
	// vary about their means: a queue whose requests meet their goals only on
	// average misses half of the goals, and a shorter one keeps the slots just
	// as busy.
	goalShare = 0.7
	// overloadWaitersPerSlot is the number of waiting requests per slot that can
	// still meet their goals, from which the gate counts as overloaded and
	// rejects requests that cannot meet theirs.
	overloadWaitersPerSlot = 0.5
	overloadWaitersMin     = 2 // lower bound of that number, for all slots together
)

// AdmissionRequest describes a request that needs a slot of the worker.
type AdmissionRequest struct {
	Kind     string    // requests of one kind have about the same service time
	Rank     int       // lower ranks are admitted first, starting with 0
	Goal     time.Time // latency target, after which an answer is worth less; zero for none
	Deadline time.Time // after which an answer is worth nothing; zero for none
	Arrived  time.Time // at the daemon, zero for the time at which it enters the gate
	Nested   bool      // a call of the worker of this daemon, see contract.Begin
	NoWait   bool      // reject instead of queueing, as another worker may have a free slot
	WaitEnd  time.Time // until which the request may wait; zero if only its context limits that
	Answer   *Answer   // nil if the answer is not sent over the instance's link
}

// withArrival returns q with the time now for its arrival if it has none.
func (q AdmissionRequest) withArrival(now time.Time) AdmissionRequest {
	if q.Arrived.IsZero() {
		q.Arrived = now
	}
	return q
}

// Gate is the admission control of a worker: it admits as many requests as the
// worker has slots and decides which of the others wait and which are rejected.
// It also keeps to the worker's rate limit, which requests wait for as for a slot.
// Requests are admitted by rank. Within a rank the request with the earliest
// goal that it can still meet is admitted first, so that short requests with
// close goals overtake long ones that have time. Those also leave some slots free for
// much shorter and more important ones, see reserve. A request that would miss its
// goal because of the wait is rejected on arrival: an overload then sheds some
// requests instead of delaying all of them past their goals, and the rejected
// requests can still be served elsewhere or later. The zero value admits nothing.
type Gate struct {
	mu               sync.Mutex
	slots            int
	queue            int
	slotsInUse       int
	waiting          []*waiter // in the order of arrival
	limit            rateLimit
	wake             *time.Timer              // runs while waiting requests lack only the rate limit, else nil
	serviceTime      time.Duration            // mean of all requests, 0 before the first
	kindServiceTimes map[string]time.Duration // mean by kind
	failureRate      float64                  // moving average, 0 to 1
	drain            contract.Drain           // of the daemon
	waitsEnded       bool                     // whether no request may wait any more

	linkBytesPerSecond float64   // of the instance's link, 0 if unknown
	bodiesInFlight     int       // requests whose large bodies are being transferred
	bodyBytesInFlight  int64     // total size of these bodies
	waitingBodies      []*waiter // requests that wait until their large bodies may be sent, in order of arrival

	outlet     outlet                // answers on the link
	admissions map[string]admissions // by kind
}

type waiter struct {
	AdmissionRequest
	serviceTime time.Duration    // expected
	bodyBytes   int64            // size of a large body that has not been sent yet
	decision    chan result.Code // receives 0 on admission, else the code of the rejection; buffered for one
}

// SetLimits sets the number of slots and the length of the queue, both in
// requests. Requests that hold a slot or wait keep their places under lower
// limits.
func (g *Gate) SetLimits(slots, queue int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.queue = queue
	g.admit(now)
}

// SetRateLimit sets the number of requests per second that the worker takes.
func (g *Gate) SetRateLimit(perSecond float64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.set(perSecond, now)
	g.limitChanged(now)
}

// ClearRateLimit removes the limit that SetRateLimit has set.
func (g *Gate) ClearRateLimit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.clear()
	g.limitChanged(now)
}

// RateLimit returns the limit that SetRateLimit has set, 0 if there is none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit.perSecond()
}

// limitChanged admits the requests that the new rate limit allows.
func (g *Gate) limitChanged(now time.Time) {
	if g.wake != nil {
		g.wake.Stop()
		g.wake = nil
	}
	g.admit(now)
}

// meanServiceTime returns the mean time that a request holds a slot.
func (g *Gate) meanServiceTime() time.Duration { return cmp.Or(g.serviceTime, serviceTimeDefault) }

// kindServiceTime returns the mean time that a request of the kind holds a
// slot, or the mean of all requests if the kind has none of its own.
func (g *Gate) kindServiceTime(kind string) time.Duration {
	return cmp.Or(g.kindServiceTimes[kind], g.meanServiceTime())
}

// expectedWait returns how long w is expected to wait for a slot and for the rate
// limit, whichever takes longer. The wait for a slot is one mean service time for
// the slots in use, and the service times of the waiting requests that are admitted
// before w, divided among the slots that more important requests leave: those that arrive
// while w waits overtake it.
func (g *Gate) expectedWait(w *waiter, now time.Time) time.Duration {
	if g.slots <= 0 {
		return 0
	}
	d := g.meanServiceTime()
	ahead := 0
	for _, o := range g.waiting {
		if g.compare(o, w, now) <= 0 {
			d += o.serviceTime
			ahead++
		}
	}
	n := g.slotsFor(w.AdmissionRequest, now)
	d = time.Duration(float64(d) / float64(n) / g.shareLeft(w.Rank, now))
	if g.slotsInUse+ahead < n {
		d = 0
	}
	return max(d, g.limit.delay(ahead+1, now))
}

// usableSlots returns the number of slots that can be in use at the same time,
// which a rate limit lowers to the product of the limit and the service time.
func (g *Gate) usableSlots() float64 {
	n := float64(g.slots)
	if l := g.limit.perSecond(); l > 0 {
		n = min(n, l*g.meanServiceTime().Seconds())
	}
	return n
}

// meetsGoal reports whether w is expected to meet its goal if it gets a slot
// at t.
func (w *waiter) meetsGoal(t time.Time) bool {
	return w.Goal.IsZero() || !t.Add(w.serviceTime).After(w.Goal)
}

// missesDeadline reports whether w has too little time left before its
// deadline if it gets a slot at t, see remainingShareMin.
func (w *waiter) missesDeadline(t time.Time) bool {
	return !w.Deadline.IsZero() && t.Add(time.Duration(float64(w.serviceTime)*remainingShareMin)).After(w.Deadline)
}

// overloaded reports whether so many waiting requests can still meet their
// goals that the others will not get a slot in time.
func (g *Gate) overloaded(now time.Time) bool {
	n := 0
	for _, w := range g.waiting {
		if w.meetsGoal(now) {
			n++
		}
	}
	return float64(n) >= max(overloadWaitersMin, overloadWaitersPerSlot*g.usableSlots())
}

// admit rejects waiting requests that would miss their deadlines, be cut off at the
// end of a drain or, under overload, miss their goals, and grants free slots to the
// others.
func (g *Gate) admit(now time.Time) {
	overloaded := g.overloaded(now)
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		switch {
		case g.isLate(w.AdmissionRequest, 0, now):
			w.decision <- result.Leaving
		case w.missesDeadline(now), overloaded && !w.meetsGoal(now):
			w.decision <- result.Overloaded
		default:
			return false
		}
		return true
	})
	for g.slotsInUse < g.slots && len(g.waiting) > 0 {
		w := g.first(now)
		if g.slotsInUse >= g.slotsFor(w.AdmissionRequest, now) || !g.limit.take(now) {
			break
		}
		g.remove(w)
		g.slotsInUse++
		g.countAdmission(w.AdmissionRequest, now)
		w.decision <- 0
	}
	g.scheduleWake(now)
}

// scheduleWake calls admit once the rate limit admits the next request, if that lacks
// nothing else. One that lacks a slot, or waits because of a reserve, is admitted when
// another request ends.
func (g *Gate) scheduleWake(now time.Time) {
	if g.wake != nil || len(g.waiting) == 0 || g.limit.limiter == nil || g.slotsInUse >= g.slotsFor(g.first(now).AdmissionRequest, now) {
		return
	}
	began := time.Now()
	var t *time.Timer
	t = time.AfterFunc(g.limit.delay(1, now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.wake == t {
			g.wake = nil
			g.admit(now.Add(time.Since(began)))
		}
	})
	g.wake = t
}

// first returns the waiting request that is admitted next; there must be one.
func (g *Gate) first(now time.Time) *waiter {
	return slices.MinFunc(g.waiting, func(a, b *waiter) int { return g.compare(a, b, now) })
}

// remove deletes w from the queue.
func (g *Gate) remove(w *waiter) {
	g.waiting = slices.DeleteFunc(g.waiting, func(o *waiter) bool { return o == w })
}

// compare orders waiting requests at the time now: by rank, then those that can
// meet their goals before the others, then by goal. It returns 0 if neither comes
// first by these rules; the one that arrived first is then admitted first.
func (g *Gate) compare(a, b *waiter, now time.Time) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	switch la, lb := a.meetsGoal(now), b.meetsGoal(now); {
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

// Enter acquires a slot, waiting for one until x ends. It returns 0 once it has
// a slot, and otherwise the code of the reason: Overloaded, Leaving, DeadlineExceeded
// or CallerGone. Leave releases the slot, and LeaveLink ends what is expected of the
// answer, in either case.
func (g *Gate) Enter(x context.Context, now time.Time, q AdmissionRequest) result.Code {
	g.mu.Lock()
	q = q.withArrival(now)
	if g.isLate(q, 0, now) {
		g.mu.Unlock()
		return result.Leaving
	}
	if g.rejectsAnswer(q, 0, g.kindServiceTime(q.Kind), now) {
		g.outlet.rejected++
		g.mu.Unlock()
		return result.Overloaded
	}
	if g.slotsInUse < g.slotsFor(q, now) && g.isFirst(q.Rank) && g.limit.take(now) {
		g.slotsInUse++
		g.countAdmission(q, now)
		g.expectAnswer(q)
		g.mu.Unlock()
		return 0
	}
	w := &waiter{AdmissionRequest: q, serviceTime: g.kindServiceTime(q.Kind), decision: make(chan result.Code, 1)}
	if q.NoWait || g.rejects(w, now) {
		g.doubtServiceTime(w, now)
		g.mu.Unlock()
		return result.Overloaded
	}
	if g.waitsEnded || g.isLate(q, g.expectedWait(w, now), now) {
		g.mu.Unlock()
		return result.Leaving
	}
	if len(g.waiting) >= g.queue && !g.evict(q.Rank, now) {
		g.mu.Unlock()
		return result.Overloaded
	}
	g.waiting = append(g.waiting, w)
	g.expectAnswer(q)
	g.scheduleWake(now)
	g.mu.Unlock()
	select {
	case c := <-w.decision:
		return c
	case <-x.Done():
	}
	return g.cancel(x, w, now)
}

// rejects reports whether w is rejected on arrival because its expected wait is
// too long: it would miss its deadline or its goal, or may not wait so long. A request that could not
// meet its goal even without a wait is rejected for that only under overload.
func (g *Gate) rejects(w *waiter, now time.Time) bool {
	wait := g.expectedWait(w, now)
	t := now.Add(wait)
	if w.missesDeadline(t) || !w.WaitEnd.IsZero() && t.After(w.WaitEnd) {
		return true
	}
	if !w.meetsGoal(now) {
		return g.overloaded(now)
	}
	return !w.Goal.IsZero() && float64(wait+w.serviceTime) > goalShare*float64(w.Goal.Sub(now)) && wait > 0
}

// evict rejects the waiting request that would be admitted last, if it is less important
// than the rank, and reports whether it did. A full queue would otherwise reject the
// requests that do not have to wait in it.
func (g *Gate) evict(rank int, now time.Time) bool {
	if len(g.waiting) == 0 {
		return false
	}
	w := slices.MaxFunc(g.waiting, func(a, b *waiter) int { return g.compare(a, b, now) })
	if w.Rank <= rank {
		return false
	}
	g.remove(w)
	w.decision <- result.Overloaded
	return true
}

// cancel takes w out of the queue after x has ended, or releases its slot if one
// was granted at the same moment. It returns the code of why x ended.
func (g *Gate) cancel(x context.Context, w *waiter, now time.Time) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case c := <-w.decision:
		if c == 0 {
			g.slotsInUse--
			g.admit(now)
		}
	default:
		g.remove(w)
	}
	return contextCode(x)
}

// contextCode returns the code of why x ended: DeadlineExceeded or CallerGone.
func contextCode(x context.Context) result.Code {
	if errors.Is(x.Err(), context.DeadlineExceeded) {
		return result.DeadlineExceeded
	}
	return result.CallerGone
}

// Ending is how a request at the worker ended.
type Ending int

// The ways in which a request at the worker ends.
const (
	Answered  Ending = iota
	Failed           // the worker answered with a server error or a wrong answer, or broke off
	Abandoned        // the request was given up or not run, which is no failure of the worker
)

// Leave releases the slot that a request of the kind occupied for the time held,
// and records by e how the request ended.
func (g *Gate) Leave(now time.Time, kind string, held time.Duration, e Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A request that fails at once does not show how long its service takes, and
	// would make a failing worker look fast. A failed or abandoned request counts
	// only if it held the slot for longer than the mean: its service time is at
	// least that long.
	if e == Answered || held > g.kindServiceTime(kind) {
		g.recordServiceTime(kind, held)
	}
	if e != Abandoned {
		f := 0.0
		if e == Failed {
			f = 1
		}
		g.failureRate += ewmaWeight * (f - g.failureRate)
	}
	g.slotsInUse--
	g.admit(now)
}

// recordServiceTime adds the time that a request held its slot to the means.
func (g *Gate) recordServiceTime(kind string, held time.Duration) {
	g.serviceTime = ewma(g.serviceTime, held)
	if _, ok := g.kindServiceTimes[kind]; ok || len(g.kindServiceTimes) < kindsMax {
		if g.kindServiceTimes == nil {
			g.kindServiceTimes = make(map[string]time.Duration)
		}
		g.kindServiceTimes[kind] = ewma(g.kindServiceTimes[kind], held)
	}
}

// doubtServiceTime forgets the service time of the kind of w, which is rejected, if that time
// alone rules it out and none of its kind was admitted for serviceTimeDoubtAge. It answers a
// load that keeps all slots in use: a kind whose first request was slow would be rejected for
// as long as the load lasts, and its service time never be corrected.
func (g *Gate) doubtServiceTime(w *waiter, now time.Time) {
	if a, ok := g.admissions[w.Kind]; ok && now.Sub(a.lastAt) > serviceTimeDoubtAge && (!w.meetsGoal(now) || w.missesDeadline(now)) {
		delete(g.kindServiceTimes, w.Kind)
	}
}

// ewma returns the exponentially weighted moving average m with the sample v
// added; m is 0 before the first sample.
func ewma(m, v time.Duration) time.Duration {
	if m == 0 {
		return v
	}
	return m + time.Duration(ewmaWeight*float64(v-m))
}

// InFlight returns the number of requests that hold a slot or wait for one.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slotsInUse + len(g.waiting)
}

// Load returns the load report that is attached to each response: the number of
// requests that hold a slot, wait for one or have a large body in flight or
// waiting, the mean service time of all requests, that of the kind, increased by
// the cost of the requests that fail and by the mean wait of their answers for the
// link, and the rate limit with the time until it admits one more request.
func (g *Gate) Load(now time.Time, kind string) link.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return link.Load{
		InFlight: g.slotsInUse + len(g.waiting) + g.bodiesInFlight + len(g.waitingBodies),
		Hold:     g.serviceTime,
		Work:     time.Duration((1+failureCost*g.failureRate)*float64(g.kindServiceTimes[kind])) + g.outlet.kinds[kind].waited,

		RateLimit: g.limit.perSecond(),
		Wait:      g.limit.delay(len(g.waiting)+1, now),
	}
}
