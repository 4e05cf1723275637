package upstream

import (
	"context"
	"slices"
	"time"

	"figwheel/result"
)

const (
	// bodyBytesInFlightMax bounds the total size of the large bodies that are in
	// flight at the same time. A single body may be larger.
	bodyBytesInFlightMax = 16 << 20
	// linkBusyTimeMax is how long the bodies in flight may keep the link busy.
	// Small requests wait behind them on the link, and some of those have only
	// 150 ms.
	linkBusyTimeMax = 100 * time.Millisecond
)

// SetLink sets the capacity of the instance's link in bytes per second, 0 if it
// is unknown.
func (g *Gate) SetLink(bytesPerSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.linkBytesPerSecond = bytesPerSecond
	g.outlet.bytesPerSecond = answerLinkShare * bytesPerSecond
}

// EnterBody waits until the request body of n bytes may be sent. It returns 0 if
// the body may be sent, and otherwise the code of the reason: Overloaded, Leaving,
// DeadlineExceeded or CallerGone. After 0, LeaveBody must be called once the body
// has been received or given up. The slots do not limit the load on the link, where
// bodies in flight at the same time delay each other and every small request behind
// them. EnterBody therefore admits only a few bodies at a time, by rank and goal as
// in Enter, and rejects a body that would arrive too late before it is sent.
func (g *Gate) EnterBody(x context.Context, now time.Time, q AdmissionRequest, n int64) result.Code {
	g.mu.Lock()
	q = q.withArrival(now)
	w := &waiter{AdmissionRequest: q, serviceTime: g.kindServiceTime(q.Kind), bodyBytes: n, decision: make(chan result.Code, 1)}
	if g.isLate(q, g.transferTime(n), now) {
		g.mu.Unlock()
		return result.Leaving
	}
	if g.rejectsBody(w, now) {
		g.doubtServiceTime(w, now)
		g.mu.Unlock()
		return result.Overloaded
	}
	if len(g.waitingBodies) == 0 && g.linkHasRoom(n) {
		g.startTransfer(n)
		g.mu.Unlock()
		return 0
	}
	if g.waitsEnded {
		g.mu.Unlock()
		return result.Leaving
	}
	g.waitingBodies = append(g.waitingBodies, w)
	g.mu.Unlock()
	select {
	case c := <-w.decision:
		return c
	case <-x.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case c := <-w.decision:
		if c == 0 {
			g.endTransfer(now, n)
		}
	default:
		g.waitingBodies = slices.DeleteFunc(g.waitingBodies, func(o *waiter) bool { return o == w })
	}
	return contextCode(x)
}

// rejectsBody reports whether w is rejected before its body is sent: because it
// must not wait and there is no room now, because the gate would reject it after
// the transfer, or because the body would arrive too late. A request that finds
// the gate empty is not rejected for a late body.
func (g *Gate) rejectsBody(w *waiter, now time.Time) bool {
	inFlight := g.slotsInUse + len(g.waiting) + g.bodiesInFlight + len(g.waitingBodies)
	full := inFlight >= g.slots || g.limit.delay(len(g.waiting)+g.bodiesInFlight+len(g.waitingBodies)+1, now) > 0
	if w.NoWait && (full || len(g.waitingBodies) > 0 || !g.linkHasRoom(w.bodyBytes)) {
		return true
	}
	if full && (inFlight >= g.slots+g.queue || g.rejects(w, now)) {
		return true
	}
	t := now.Add(g.transferTime(w.bodyBytes))
	return inFlight > 0 && (!w.meetsGoal(t) || w.missesDeadline(t))
}

// linkHasRoom reports whether a body of n bytes may be in flight in addition to
// those that already are. If there are none, it always may.
func (g *Gate) linkHasRoom(n int64) bool {
	if g.bodiesInFlight == 0 {
		return true
	}
	limit := int64(bodyBytesInFlightMax)
	if g.linkBytesPerSecond > 0 {
		limit = min(limit, int64(g.linkBytesPerSecond*linkBusyTimeMax.Seconds()))
	}
	return g.bodyBytesInFlight+n <= limit
}

// transferTime returns how long it takes until n more bytes have been received,
// after the bodies in flight and those waiting; 0 if the link's capacity is
// unknown.
func (g *Gate) transferTime(n int64) time.Duration {
	if g.linkBytesPerSecond <= 0 {
		return 0
	}
	n += g.bodyBytesInFlight
	for _, o := range g.waitingBodies {
		n += o.bodyBytes
	}
	return time.Duration(float64(n) / g.linkBytesPerSecond * float64(time.Second))
}

// startTransfer counts a body of n bytes as in flight.
func (g *Gate) startTransfer(n int64) {
	g.bodiesInFlight++
	g.bodyBytesInFlight += n
}

// LeaveBody records that a body of n bytes that EnterBody admitted has been
// received or given up.
func (g *Gate) LeaveBody(now time.Time, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endTransfer(now, n)
}

// endTransfer no longer counts a body of n bytes as in flight. It then takes the
// waiting bodies in order, as long as the link has room: it rejects those whose
// requests would miss their deadlines or be cut off at the end of a drain, and admits
// the others.
func (g *Gate) endTransfer(now time.Time, n int64) {
	g.bodiesInFlight--
	g.bodyBytesInFlight -= n
	for len(g.waitingBodies) > 0 {
		w := slices.MinFunc(g.waitingBodies, func(a, b *waiter) int { return g.compare(a, b, now) })
		var c result.Code
		switch {
		case g.isLate(w.AdmissionRequest, 0, now):
			c = result.Leaving
		case w.missesDeadline(now):
			c = result.Overloaded
		case !g.linkHasRoom(w.bodyBytes):
			return
		}
		g.waitingBodies = slices.DeleteFunc(g.waitingBodies, func(o *waiter) bool { return o == w })
		if c != 0 {
			w.decision <- c
			continue
		}
		g.startTransfer(w.bodyBytes)
		w.decision <- 0
	}
}
