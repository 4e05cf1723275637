package peer

import (
	"context"
	"time"

	"figwheel/change"
	"figwheel/peer/peerpb"
)

// Fanout is the maximum number of daemons to which one daemon forwards a
// delivery.
const Fanout = 8

// Split divides targets into at most n runs of about the same length. It keeps
// their order: if the targets are ordered by site, few edges of the delivery tree
// connect two sites.
func Split(targets []*peerpb.Target, n int) [][]*peerpb.Target {
	var r [][]*peerpb.Target
	for i := range n {
		f, t := i*len(targets)/n, (i+1)*len(targets)/n
		if f < t {
			r = append(r, targets[f:t])
		}
	}
	return r
}

// childTimeoutShare is the fraction of the remaining time of a delivery that the
// next level of the tree gets, so that a parent whose child hangs can still report
// that before its own deadline.
const childTimeoutShare = 0.7

// DeliverTree sends q to its targets along a delivery tree: it splits the targets
// into runs, forwards the request to the subtree of each run and returns the sum
// of their reports. If a target cannot be called, it is reported as unreached,
// and the next target of its run becomes the root of the subtree.
func (c *Client) DeliverTree(x context.Context, q *peerpb.DeliverRequest) change.Report {
	if d, ok := x.Deadline(); ok {
		// time.Until uses the clock of contexts. The clock that daemons are given
		// may show another time.
		var stop context.CancelFunc
		x, stop = context.WithTimeout(x, time.Duration(childTimeoutShare*float64(time.Until(d))))
		defer stop()
	}
	l := Split(q.GetTargets(), Fanout)
	done := make(chan change.Report, len(l))
	for _, t := range l {
		go func() { done <- c.deliverSubtree(x, q, t) }()
	}
	var r change.Report
	for range l {
		r = r.Add(<-done)
	}
	return r
}

// deliverSubtree sends the request to the first target of run that can be called,
// which forwards it to the rest, and returns the report.
func (c *Client) deliverSubtree(x context.Context, q *peerpb.DeliverRequest, run []*peerpb.Target) change.Report {
	var r change.Report
	for i, t := range run {
		n := &peerpb.DeliverRequest{
			Head:         q.GetHead(),
			From:         q.GetFrom(),
			Delta:        q.GetDelta(),
			DeltaBase:    q.GetDeltaBase(),
			DeltaContent: q.GetDeltaContent(),
			Targets:      run[i+1:],
		}
		p, err := c.Deliver(x, t.GetPeerAddress(), n)
		if err == nil {
			return r.Add(ToReport(p))
		}
		r.Unreached = append(r.Unreached, t.GetName())
		if x.Err() != nil {
			return r.Add(unreachedReport(run[i+1:]))
		}
	}
	return r
}

// unreachedReport returns a report with all targets as unreached.
func unreachedReport(l []*peerpb.Target) change.Report {
	var r change.Report
	for _, t := range l {
		r.Unreached = append(r.Unreached, t.GetName())
	}
	return r
}
