package link

import (
	"strconv"
	"sync/atomic"
)

// Peer is what this daemon knows of the load of one instance; it is shared by
// all views and safe for concurrent use.
type Peer struct {
	own      atomic.Int64 // sent by this daemon and not answered yet
	reported atomic.Int64 // in flight at the instance, by its last answer
}

// Begin counts a request sent to the instance.
func (p *Peer) Begin() { p.own.Add(1) }

// End counts its answer. The load is what the answer says was in flight, or
// empty when there was no answer.
func (p *Peer) End(load string) {
	p.own.Add(-1)
	if n, err := strconv.ParseInt(load, 10, 64); err == nil && n >= 0 {
		p.reported.Store(n)
	}
}

// Load returns the estimate of requests in flight at the instance.
func (p *Peer) Load() int64 { return max(p.own.Load(), p.reported.Load()) }
