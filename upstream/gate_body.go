package upstream

import (
	"context"
	"slices"
	"time"

	"figwheel/result"
)

const (
	// arrivingBytesMax bounds the bodies that are taken at a time, in bytes.
	arrivingBytesMax = 16 << 20
	// linkQueueTime is how long the bodies that come at a time may keep the link
	// busy. Small requests wait behind them, some of which have 150 ms.
	linkQueueTime = 100 * time.Millisecond
)

// SetLink sets the bytes a second that the instance's link carries, 0 if that
// is not known.
func (g *Gate) SetLink(bytes float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link = bytes
}

// Expect waits until the body of a request, of n bytes, may be sent; the error
// is the number of why it may not. Arrived has to follow once the body is here
// or given up. It answers a load that the link bounds and not the slots: bodies
// that come at the same time delay each other and, behind them, every small
// request on the link. So few of them come at a time, those with the next goal
// first, and one that would come too late does not come at all.
func (g *Gate) Expect(x context.Context, now time.Time, q Ask, n int64) result.Code {
	g.mu.Lock()
	w := &waiter{Ask: q, work: g.work(q.Kind), bytes: n, admitted: make(chan result.Code, 1)}
	if g.refusesBody(w, now) {
		g.mu.Unlock()
		return result.Overloaded
	}
	if len(g.bodies) == 0 && g.carries(n) {
		g.expect(n)
		g.mu.Unlock()
		return 0
	}
	g.bodies = append(g.bodies, w)
	g.mu.Unlock()
	select {
	case c := <-w.admitted:
		return c
	case <-x.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case c := <-w.admitted:
		if c == 0 {
			g.arrived(now, n)
		}
	default:
		g.bodies = slices.DeleteFunc(g.bodies, func(o *waiter) bool { return o == w })
	}
	return ended(x)
}

// refusesBody tells whether w is rejected before its body is sent: where others
// may have room, and where it would come too late.
func (g *Gate) refusesBody(w *waiter, now time.Time) bool {
	inside := g.taken + len(g.waiting) + g.coming + len(g.bodies)
	if w.NoWait && (inside >= g.slots || len(g.bodies) > 0 || !g.carries(w.bytes)) {
		return true
	}
	if inside >= g.slots && (inside >= g.slots+g.queue || g.refuses(w, now)) {
		return true
	}
	t := now.Add(g.transfer(w.bytes))
	return inside > 0 && (!w.reaches(t) || w.expired(t))
}

// carries tells whether the link has room for n more bytes now.
func (g *Gate) carries(n int64) bool {
	if g.coming == 0 {
		return true
	}
	limit := int64(arrivingBytesMax)
	if g.link > 0 {
		limit = min(limit, int64(g.link*linkQueueTime.Seconds()))
	}
	return g.arriving+n <= limit
}

// transfer returns how long it takes until n more bytes are here, after those
// that come before.
func (g *Gate) transfer(n int64) time.Duration {
	if g.link <= 0 {
		return 0
	}
	n += g.arriving
	for _, o := range g.bodies {
		n += o.bytes
	}
	return time.Duration(float64(n) / g.link * float64(time.Second))
}

func (g *Gate) expect(n int64) {
	g.coming++
	g.arriving += n
}

// Arrived notes that a body of n bytes, which was expected, is here or given up.
func (g *Gate) Arrived(now time.Time, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived(now, n)
}

func (g *Gate) arrived(now time.Time, n int64) {
	g.coming--
	g.arriving -= n
	for len(g.bodies) > 0 {
		w := slices.MinFunc(g.bodies, func(a, b *waiter) int { return g.compare(a, b, now) })
		expired := w.expired(now)
		if !expired && !g.carries(w.bytes) {
			return
		}
		g.bodies = slices.DeleteFunc(g.bodies, func(o *waiter) bool { return o == w })
		if expired {
			w.admitted <- result.Overloaded
			continue
		}
		g.expect(w.bytes)
		w.admitted <- 0
	}
}
