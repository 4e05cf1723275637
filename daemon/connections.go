package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionGrace is how long a connection may go without a request before it counts
// as one that a caller holds in reserve.
const newConnectionGrace = time.Second

// connections follows the state of a server's connections. It is there because
// http.Server.Shutdown drops, without an answer, every request that it reads
// after it was called, also on connections accepted before: it may be called
// only when no caller is about to send one.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]connection
}

type connection struct {
	state http.ConnState
	since time.Time
}

// setState takes the place of http.Server.ConnState.
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
}

// busy tells whether a request is being answered or may be on its way.
func (c *connections) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.states {
		if k.state == http.StateActive || k.state == http.StateNew && now.Sub(k.since) < newConnectionGrace {
			return true
		}
	}
	return false
}
