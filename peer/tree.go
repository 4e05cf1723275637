package peer

import (
	"context"
	"time"

	"figwheel/change"
	"figwheel/peer/peerpb"
)

// Fanout is how many daemons one daemon hands a delivery to.
const Fanout = 8

// Split cuts targets into at most n runs of about the same length. Their
// order is kept: targets ordered by site make trees that cross sites rarely.
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

// levelShare is the part of a level's time that the level below it gets, so
// that a daemon that hangs at the bottom is reported by its parent in time.
const levelShare = 0.7

// Spread hands the request q to the trees that cover its targets and returns
// what they report together. A target that cannot be called is reported as
// unreached and the next one of its run takes its place.
func (c *Client) Spread(x context.Context, q *peerpb.DeliverRequest) change.Report {
	if d, ok := x.Deadline(); ok {
		// The clock is that of contexts: the daemon's own may show another time.
		var stop context.CancelFunc
		x, stop = context.WithTimeout(x, time.Duration(levelShare*float64(time.Until(d))))
		defer stop()
	}
	l := Split(q.GetTargets(), Fanout)
	done := make(chan change.Report, len(l))
	for _, t := range l {
		go func() { done <- c.deliverRun(x, q, t) }()
	}
	var r change.Report
	for range l {
		r = r.Add(<-done)
	}
	return r
}

func (c *Client) deliverRun(x context.Context, q *peerpb.DeliverRequest, run []*peerpb.Target) change.Report {
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
			return r.Add(unreached(run[i+1:]))
		}
	}
	return r
}

func unreached(l []*peerpb.Target) change.Report {
	var r change.Report
	for _, t := range l {
		r.Unreached = append(r.Unreached, t.GetName())
	}
	return r
}
