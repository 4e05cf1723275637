package daemon

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionGrace is how long a new connection is expected to bring a request.
// After that it counts as idle: callers open connections in advance.
const newConnectionGrace = time.Second

// idleSettleTime is how long a connection must be idle before it is closed: net/http
// may have read the next request together with the last one, and begins to serve it
// only then.
const idleSettleTime = drainPollInterval

// idleChecksMax bounds the connections that closeLongestIdle checks in one call. A
// daemon that is behind has many whose next request has arrived.
const idleChecksMax = 64

const (
	// idleCheckInterval is the interval between two looks for connections that have
	// been idle for too long.
	idleCheckInterval = time.Second
	// stalledTime is how long after the idle time-out a connection is closed on which
	// the next request has begun and its headers are incomplete. net/http bounds that
	// time by headerTimeout, but only from the fourth byte on.
	stalledTime = headerTimeout + 2*idleCheckInterval
)

// connections tracks the state of a server's connections, to close the server
// only when no request is in flight or about to arrive. http.Server.Shutdown does
// not replace it: it drops, without an answer, every request that the server reads
// after the call, also on connections that were accepted before.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]*connection
	// idle has the connections between two requests as net.Conn, the longest idle
	// first, and among them some on which a request is being answered: to remove and
	// add a connection for each request would cost an allocation.
	idle list.List
}

type connection struct {
	state http.ConnState
	since time.Time
	place *list.Element // in connections.idle, nil if it is not there
}

// setState records a state. It is the ConnState function of the server.
func (c *connections) setState(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		c.remove(n)
		return
	}
	if c.states == nil {
		c.states = make(map[net.Conn]*connection)
	}
	v := c.states[n]
	if v == nil {
		v = &connection{}
		c.states[n] = v
	}
	v.state, v.since = s, time.Now()
	switch {
	case s == http.StateActive:
	case v.place == nil:
		v.place = c.idle.PushBack(n)
	default:
		c.idle.MoveToBack(v.place)
	}
	if k, ok := n.(*keptConn); ok {
		k.setState(s)
	}
}

// remove forgets the connection n. c.mu is held.
func (c *connections) remove(n net.Conn) {
	if v := c.states[n]; v != nil && v.place != nil {
		c.idle.Remove(v.place)
	}
	delete(c.states, n)
}

// count returns the number of open connections.
func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// closeIdle closes the connections that are between two requests. It closes none
// while a request is in flight or about to arrive on a new connection: a caller
// whose next request comes until then gets an answer. It reports whether all
// connections have been closed.
func (c *connections) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.states {
		if k.isBusy(now) {
			return false
		}
	}
	for n, v := range c.states {
		if now.Sub(v.since) >= idleSettleTime {
			c.closeUnread(n)
		}
	}
	return len(c.states) == 0
}

// closeLongestIdle closes up to n connections that have been between two requests for
// the time least or longer, the longest first, and returns how many it has closed.
func (c *connections) closeLongestIdle(now time.Time, least time.Duration, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed, checks := 0, 0
	for e := c.idle.Front(); e != nil && closed < n && checks < idleChecksMax; {
		k := e.Value.(net.Conn)
		e = e.Next()
		v := c.states[k]
		if v.state == http.StateActive {
			c.idle.Remove(v.place)
			v.place = nil
			continue
		}
		if now.Sub(v.since) < max(least, idleSettleTime) {
			break
		}
		checks++
		if !v.isBusy(now) && c.closeUnread(k) {
			closed++
		}
	}
	return closed
}

// closeExpired closes the connections that have been between two requests for the time
// timeout, and those whose next request has begun and stalled.
func (c *connections) closeExpired(now time.Time, timeout time.Duration) {
	for c.closeLongestIdle(now, timeout, idleChecksMax) == idleChecksMax {
		continue
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; {
		n := e.Value.(net.Conn)
		e = e.Next()
		v := c.states[n]
		if now.Sub(v.since) < timeout+stalledTime {
			break
		}
		if k, ok := n.(*keptConn); ok && v.state == http.StateIdle && k.isReading() {
			c.remove(n)
			_ = n.Close()
		}
	}
}

// closeUnread closes the connection n and reports true if nothing of a next request
// has arrived on it. c.mu is held.
func (c *connections) closeUnread(n net.Conn) bool {
	k, ok := n.(*keptConn)
	if !ok || !k.closeUnread() {
		return false
	}
	c.remove(n)
	return true
}

// isBusy reports whether a request is being answered on the connection or may be
// about to arrive on a new one.
func (k *connection) isBusy(now time.Time) bool {
	return k.state == http.StateActive || k.state == http.StateNew && now.Sub(k.since) < newConnectionGrace
}
