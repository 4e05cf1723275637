package daemon

import (
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

// connections tracks the state of a server's connections, to close the server
// only when no request is in flight or about to arrive. http.Server.Shutdown does
// not replace it: it drops, without an answer, every request that the server reads
// after the call, also on connections that were accepted before.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]connection
}

type connection struct {
	state http.ConnState
	since time.Time
}

// setState records a state. It is the ConnState function of the server.
func (c *connections) setState(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.states, n)
		return
	}
	if c.states == nil {
		c.states = make(map[net.Conn]connection)
	}
	c.states[n] = connection{s, time.Now()}
	if k, ok := n.(*keptConn); ok {
		k.setState(s)
	}
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
		if now.Sub(v.since) < idleSettleTime {
			continue
		}
		if k, ok := n.(*keptConn); ok && k.closeUnread() {
			delete(c.states, n)
		}
	}
	return len(c.states) == 0
}

// isBusy reports whether a request is being answered on the connection or may be
// about to arrive on a new one.
func (k connection) isBusy(now time.Time) bool {
	return k.state == http.StateActive || k.state == http.StateNew && now.Sub(k.since) < newConnectionGrace
}
