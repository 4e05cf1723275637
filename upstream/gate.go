package upstream

import (
	"container/list"
	"context"
	"errors"
	"sync"

	"figwheel/result"
)

// Gate lets as many requests to the worker as it has slots; a short queue
// waits in the order of arrival. The zero value lets nothing in.
type Gate struct {
	mu      sync.Mutex
	slots   int
	queue   int
	taken   int
	waiting list.List // of chan struct{}
}

// SetLimits changes slots and queue; requests inside stay.
func (g *Gate) SetLimits(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.queue = queue
	g.admit()
}

// admit wakes the first in the queue while there are slots.
func (g *Gate) admit() {
	for g.taken < g.slots && g.waiting.Len() > 0 {
		g.taken++
		close(g.waiting.Remove(g.waiting.Front()).(chan struct{}))
	}
}

// Enter takes a slot, waiting for one until the context ends. The error is
// the number of why not.
func (g *Gate) Enter(x context.Context) result.Code {
	g.mu.Lock()
	if g.taken < g.slots && g.waiting.Len() == 0 {
		g.taken++
		g.mu.Unlock()
		return 0
	}
	if g.waiting.Len() >= g.queue {
		g.mu.Unlock()
		return result.Overloaded
	}
	c := make(chan struct{})
	e := g.waiting.PushBack(c)
	g.mu.Unlock()
	select {
	case <-c:
		return 0
	case <-x.Done():
	}
	return g.giveUp(x, e, c)
}

// giveUp leaves the queue, or the slot if it was granted at the same moment.
func (g *Gate) giveUp(x context.Context, e *list.Element, c chan struct{}) result.Code {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-c:
		g.taken--
		g.admit()
	default:
		g.waiting.Remove(e)
	}
	if errors.Is(x.Err(), context.DeadlineExceeded) {
		return result.DeadlineExceeded
	}
	return result.CallerGone
}

// Leave gives a slot back.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken--
	g.admit()
}

// InFlight returns the requests inside and in the queue.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken + g.waiting.Len()
}
