package upstream

import (
	"cmp"
	"context"
	"slices"
	"time"

	"figwheel/result"
)

const (
	// largeAnswerBytesMin is the size, in bytes, from which an answer waits for its
	// turn on the link. The transfer of a smaller one delays others by less than
	// the wait for a turn would delay it.
	largeAnswerBytesMin = 8 << 10
	// answerBacklogMax is how long the answers sent so far may keep the link busy
	// when a part of a large one is added. Small answers and the calls of the worker
	// wait behind them on the link, and some of those have 300 ms. A daemon that is
	// short of processor time must still come back before the link is idle.
	answerBacklogMax = 40 * time.Millisecond
	// answerLinkShare is the share of the link's capacity that answers get. The rest
	// is for the requests that this daemon sends and for the framing of packets.
	answerLinkShare = 0.9
	// answerBacklogLimit bounds the estimate of how long the answers sent so far keep the
	// link busy. Small answers do not wait, so that the errors of answerLinkShare and
	// answerHeadBytes would add up without it, and large answers wait for an idle link.
	answerBacklogLimit = 500 * time.Millisecond
	// answerPauseMax is the longest time in which no part of a large answer is sent while
	// some wait. A few of them a second use a small share of most links, and a late answer
	// is worth more than none.
	answerPauseMax = 250 * time.Millisecond
	// answerHeadBytes is what the head of an answer adds to its size, about.
	answerHeadBytes = 300
)

// Answer is the state of an answer that is sent to another daemon. The zero value
// is that of a request that has not entered a gate. Its gate guards the fields.
type Answer struct {
	rank     int
	expected int64 // bytes that are still expected to be sent
	sent     int64 // bytes that were sent, without the head
}

// answerPart is a part of a large answer that waits for its turn on the link.
type answerPart struct {
	waiter
	answer *Answer
	bytes  int64
	since  time.Time // when it began to wait
}

// outlet is the part of a Gate that controls the answers on the instance's link. The
// zero value is that of a link of unknown capacity, on which no answer waits.
type outlet struct {
	bytesPerSecond float64       // of the link for answers, 0 if unknown
	busyUntil      time.Time     // when the link has carried the answers that were sent
	waiting        []*answerPart // in the order of arrival
	lastPart       time.Time     // when the last part that had waited was sent
	wake           *time.Timer   // runs while parts wait, else nil
	expected       map[int]int64 // bytes of the answers to admitted and queued requests, by rank
	kinds          map[string]answerMeans
	rejected       int64 // requests that were rejected for want of room on the link
}

// answerMeans are moving averages over the answers to requests of one kind.
type answerMeans struct {
	bytes  float64       // size
	waited time.Duration // for turns on the link
}

// transferTime returns how long the link takes for n bytes.
func (o *outlet) transferTime(n int64) time.Duration {
	return time.Duration(float64(n) / o.bytesPerSecond * float64(time.Second))
}

// backlog returns how long the link is busy with the answers that were sent.
func (o *outlet) backlog(now time.Time) time.Duration { return max(0, o.busyUntil.Sub(now)) }

// send counts n bytes of the answer a that are sent at now.
func (o *outlet) send(a *Answer, n int64, now time.Time) {
	d := o.transferTime(n)
	if a.sent == 0 {
		d += o.transferTime(answerHeadBytes)
	}
	a.sent += n
	o.expect(a, a.expected-n)
	o.busyUntil = now.Add(max(d, min(o.backlog(now)+d, answerBacklogLimit)))
}

// untilRoom returns the time until the link takes n more bytes of large answers. An
// idle link takes any number.
func (o *outlet) untilRoom(n int64, now time.Time) time.Duration {
	b := o.backlog(now)
	return max(0, min(b, b+o.transferTime(n)-answerBacklogMax))
}

// pauseLeft returns the time until a waiting part is sent although the link is busy, see
// answerPauseMax. It answers a load of small answers that keeps the link busy for good.
func (o *outlet) pauseLeft(now time.Time) time.Duration {
	from := o.waiting[0].since
	if from.Before(o.lastPart) {
		from = o.lastPart
	}
	return max(0, answerPauseMax-now.Sub(from))
}

// expect changes the bytes that are still expected to be sent for a to n.
func (o *outlet) expect(a *Answer, n int64) {
	if o.expected == nil {
		o.expected = make(map[int]int64)
	}
	if o.expected[a.rank] += n - a.expected; o.expected[a.rank] == 0 {
		delete(o.expected, a.rank)
	}
	a.expected = n
}

// wait returns how long the link is busy with the answers that were sent, and with
// those expected for other requests of the rank and of more important ones.
func (o *outlet) wait(rank int, now time.Time) time.Duration {
	var n int64
	for r, b := range o.expected {
		if r <= rank {
			n += b
		}
	}
	return o.backlog(now) + o.transferTime(n)
}

// record adds a complete answer to the means of its kind.
func (o *outlet) record(kind string, bytes int64, waited time.Duration) {
	m, ok := o.kinds[kind]
	switch {
	case !ok && len(o.kinds) >= kindsMax:
		return
	case !ok:
		m.bytes = float64(bytes)
	}
	m.bytes += ewmaWeight * (float64(bytes) - m.bytes)
	m.waited += time.Duration(ewmaWeight * float64(waited-m.waited))
	if o.kinds == nil {
		o.kinds = make(map[string]answerMeans)
	}
	o.kinds[kind] = m
}

// rejectsAnswer reports whether q, which is expected to get a slot after the time wait
// and to hold it for the time service, is rejected on arrival for want of room on the
// link: its answer would be sent too late, by the same reasoning as for slots, see
// rejects. It answers a load that fills the link while slots are free: as many large
// answers as the link carries then arrive in time, and not all of them late. NoWait does
// not count: the rejection itself waits behind the answers on the link, so that it costs
// the caller more time than it can gain elsewhere.
func (g *Gate) rejectsAnswer(q AdmissionRequest, wait, service time.Duration, now time.Time) bool {
	o := &g.outlet
	if q.Answer == nil || o.bytesPerSecond <= 0 {
		return false
	}
	n := int64(o.kinds[q.Kind].bytes)
	ready, free := wait+service, o.wait(q.Rank, now)
	if n < largeAnswerBytesMin || free <= ready {
		return false // the link carries the other answers meanwhile
	}
	t := free + o.transferTime(n)
	if !q.Deadline.IsZero() && now.Add(t).After(q.Deadline) {
		return true
	}
	return !q.Goal.IsZero() && float64(t) > goalShare*float64(q.Goal.Sub(now))
}

// expectAnswer adds the answer to the admitted or queued request q to those that the
// link has to carry.
func (g *Gate) expectAnswer(q AdmissionRequest) {
	if a := q.Answer; a != nil && g.outlet.bytesPerSecond > 0 {
		a.rank = q.Rank
		g.outlet.expect(a, int64(g.outlet.kinds[q.Kind].bytes))
	}
}

// EnterLink waits until the next n bytes of the answer to q may be sent to another
// daemon; rest is the number of bytes still to be sent, these included, or less if it is
// not known. It returns 0, or if x ends before, DeadlineExceeded or CallerGone. The parts
// of large answers are sent in order of rank and goal, and those of answers that have
// begun before others: large answers then end one after the other. Small ones pass them.
func (g *Gate) EnterLink(x context.Context, now time.Time, q AdmissionRequest, n, rest int64) result.Code {
	g.mu.Lock()
	a, o := q.Answer, &g.outlet
	if a == nil || o.bytesPerSecond <= 0 {
		g.mu.Unlock()
		return 0
	}
	rest = max(rest, n)
	o.expect(a, rest)
	if g.waitsEnded || a.sent+rest < largeAnswerBytesMin || len(o.waiting) == 0 && o.untilRoom(n, now) == 0 {
		o.send(a, n, now)
		g.mu.Unlock()
		return 0
	}
	p := &answerPart{
		waiter: waiter{AdmissionRequest: q, serviceTime: o.transferTime(rest), decision: make(chan result.Code, 1)},
		answer: a,
		bytes:  n,
		since:  now,
	}
	o.waiting = append(o.waiting, p)
	g.sendAnswers(now)
	g.mu.Unlock()
	select {
	case c := <-p.decision:
		return c
	case <-x.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	o.waiting = slices.DeleteFunc(o.waiting, func(v *answerPart) bool { return v == p })
	return contextCode(x)
}

// sendAnswers lets the waiting parts pass in order, as long as the link has room, and
// calls itself again once it has room for the next one.
func (g *Gate) sendAnswers(now time.Time) {
	o := &g.outlet
	for len(o.waiting) > 0 {
		p := slices.MinFunc(o.waiting, func(a, b *answerPart) int { return g.comparePart(a, b, now) })
		if d := min(o.untilRoom(p.bytes, now), o.pauseLeft(now)); d > 0 {
			g.wakeOutlet(now, d)
			return
		}
		o.waiting = slices.DeleteFunc(o.waiting, func(v *answerPart) bool { return v == p })
		o.send(p.answer, p.bytes, now)
		o.lastPart = now
		p.decision <- 0
	}
}

// wakeOutlet calls sendAnswers after the time d, in place of a call that is due.
func (g *Gate) wakeOutlet(now time.Time, d time.Duration) {
	o := &g.outlet
	if o.wake != nil {
		o.wake.Stop()
	}
	began := time.Now()
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if o.wake == t {
			o.wake = nil
			g.sendAnswers(now.Add(time.Since(began)))
		}
	})
	o.wake = t
}

// comparePart orders the parts of answers that wait at now: by rank, then those of
// answers that have begun, then like requests that wait for a slot.
func (g *Gate) comparePart(a, b *answerPart, now time.Time) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	switch begunA, begunB := a.answer.sent > 0, b.answer.sent > 0; {
	case begunA && !begunB:
		return -1
	case begunB && !begunA:
		return 1
	}
	return g.compare(&a.waiter, &b.waiter, now)
}

// LeaveLink records that no more of the answer to q is sent, for whose parts it has
// waited for the time waited. Only a complete answer counts in the means of its kind.
func (g *Gate) LeaveLink(q AdmissionRequest, waited time.Duration, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := q.Answer
	if a == nil || g.outlet.bytesPerSecond <= 0 {
		return
	}
	if complete {
		g.outlet.record(q.Kind, a.sent, waited)
	}
	g.outlet.expect(a, 0)
}

// LinkLoad is the load of answers on an instance's link.
type LinkLoad struct {
	Backlog  time.Duration // for which the answers that were sent keep the link busy
	Waiting  int           // parts of large answers that wait for their turns
	Rejected int64         // requests rejected for want of room on the link, since the start
}

// LinkLoad returns the load of answers on the link.
func (g *Gate) LinkLoad(now time.Time) LinkLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return LinkLoad{Backlog: g.outlet.backlog(now), Waiting: len(g.outlet.waiting), Rejected: g.outlet.rejected}
}
