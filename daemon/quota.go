package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"figwheel/event"
	"figwheel/instance"
	"figwheel/peer"
	"figwheel/peer/peerpb"
	"figwheel/quota"
	"figwheel/result"
	"figwheel/site"
)

const (
	// unknownFleet is the number of instances that a daemon assumes to share the quotas
	// while it knows no other and may not act alone: at a start of all instances at once
	// each of them would otherwise admit the whole quota.
	unknownFleet = 64
	// quotaLogLinesPerSecond limits the log lines about quotas.
	quotaLogLinesPerSecond = 10
)

// quotas connects the quota node of a daemon to its control goroutine and to the other
// daemons.
type quotas struct {
	node     *quota.Node
	wake     chan struct{}  // signalled when messages may be due
	limiter  *rate.Limiter  // of log lines
	sent     atomic.Int64   // messages
	failed   atomic.Int64   // messages without an answer
	snapshot *site.Snapshot // whose limits the node has; of the control goroutine
}

func newQuotas(name, site string, now time.Time) *quotas {
	w := make(chan struct{}, 1)
	return &quotas{
		node:    quota.NewNode(name, site, uint64(now.UnixMilli()), w),
		wake:    w,
		limiter: rate.NewLimiter(quotaLogLinesPerSecond, 2*quotaLogLinesPerSecond),
	}
}

// updateQuotas gives the quota node the limits of the served configuration and the
// instances that share them. Instances that are dead are among those, because they may
// only be cut off.
func (c *control) updateQuotas(now time.Time) {
	q := c.d.quotas
	if q.snapshot != c.serving {
		q.snapshot = c.serving
		q.node.SetLimits(limitsOf(c.serving), now)
		q.signal()
	}
	if !q.node.Active() {
		return
	}
	var l []quota.Member
	for _, r := range c.table.All() {
		if r.State != instance.Left {
			l = append(l, quota.Member{Name: r.Name, Site: r.Site, Address: r.PeerAddress, Fit: r.Live() && r.State != instance.Draining})
		}
	}
	n := len(l)
	if !c.hasPeers() && !c.mayAct(now) {
		n = max(n, unknownFleet)
	}
	q.node.SetMembers(quota.NewMembers(l), n)
}

// limitsOf returns the limits of the accounts of the snapshot s, which may be nil.
func limitsOf(s *site.Snapshot) []quota.Limit {
	var l []quota.Limit
	for _, a := range s.Accounts() {
		if a.Rate > 0 {
			l = append(l, quota.Limit{Account: a.Name, Rate: a.Rate, Burst: a.Burst})
		}
	}
	return l
}

func (q *quotas) signal() {
	select {
	case q.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// runQuotas sends the messages of the quota node until x ends, and closes done once all
// have ended. Without an account that has a limit it only waits.
func (d *Daemon) runQuotas(x context.Context, done chan<- struct{}) {
	defer close(done)
	q := d.quotas
	ended := make(chan struct{})
	running := 0
	t := time.NewTimer(0)
	defer t.Stop()
	for x.Err() == nil {
		l, next := q.node.Due(d.now())
		for _, m := range l {
			running++
			go func() {
				d.guard("quota", func() { d.sendQuota(x, m) })
				ended <- struct{}{}
			}()
		}
		d.logQuotas(x)
		var due <-chan time.Time
		if !next.IsZero() {
			t.Reset(max(0, next.Sub(d.now())))
			due = t.C
		}
		select {
		case <-x.Done():
		case <-q.wake:
		case <-due:
		case <-ended:
			running--
		}
	}
	for ; running > 0; running-- {
		<-ended
	}
}

// sendQuota sends the message m and hands the answer to the node.
func (d *Daemon) sendQuota(x context.Context, m quota.Message) {
	x, stop := context.WithTimeout(x, quota.Timeout)
	defer stop()
	var a quota.Answer
	var err error
	switch m.Kind {
	case quota.ToAggregator:
		a, err = d.peers.Report(x, m.To.Address, m.Report)
	case quota.ToPeer:
		err = d.peers.Combine(x, m.To.Address, m.Report)
	case quota.ToReporter:
		err = d.peers.Tell(x, m.To.Address, d.settings.Instance, m.Answer, m.Sequence)
	}
	d.quotas.sent.Add(1)
	if err != nil {
		d.quotas.failed.Add(1)
	}
	d.quotas.node.Done(m, a, err == nil, d.now())
}

// logQuotas logs the notices of the node, up to a limit of lines per second.
func (d *Daemon) logQuotas(x context.Context) {
	for _, n := range d.quotas.node.Notices() {
		if !d.quotas.limiter.AllowN(d.now(), 1) {
			continue
		}
		switch {
		case n.Change != nil && n.Change.Short:
			d.event(x, event.QuotaShort, slog.String("Account", n.Change.Account), slog.Float64("Demand", n.Change.Demand), slog.Float64("Level", n.Change.Level))
		case n.Change != nil:
			d.event(x, event.QuotaFree, slog.String("Account", n.Change.Account), slog.Float64("Demand", n.Change.Demand), slog.Float64("Level", n.Change.Level))
		case n.Moved:
			d.event(x, event.QuotaAggregator, slog.String("Name", n.Aggregator))
		case n.Isolated:
			d.event(x, event.QuotaIsolated, slog.String("Aggregator", n.Aggregator), slog.Int("Known", n.Known))
		default:
			d.event(x, event.QuotaConnected, slog.String("Aggregator", n.Aggregator), slog.Int("Known", n.Known))
		}
	}
}

// quotaService implements peerpb.QuotaServiceHandler.
type quotaService struct{ d *Daemon }

var errNoQuotas = result.New(result.NotReady, "this daemon serves no configuration with quotas")

// Report implements peerpb.QuotaServiceHandler.
func (s quotaService) Report(_ context.Context, q *peerpb.ReportRequest) (*peerpb.ReportResponse, error) {
	a, ok := s.d.quotas.node.HandleReport(peer.ToQuotaReport(q.GetReport()), s.d.now())
	if !ok {
		return nil, errNoQuotas
	}
	return &peerpb.ReportResponse{Short: peer.FromQuotaShares(a.Short)}, nil
}

// Combine implements peerpb.QuotaServiceHandler.
func (s quotaService) Combine(_ context.Context, q *peerpb.CombineRequest) (*peerpb.CombineResponse, error) {
	if !s.d.quotas.node.HandleCombine(peer.ToQuotaReport(q.GetReport()), s.d.now()) {
		return nil, errNoQuotas
	}
	return &peerpb.CombineResponse{}, nil
}

// Tell implements peerpb.QuotaServiceHandler.
func (s quotaService) Tell(_ context.Context, q *peerpb.TellRequest) (*peerpb.TellResponse, error) {
	s.d.quotas.node.HandleTell(q.GetFrom(), quota.Answer{Short: peer.ToQuotaShares(q.GetShort())}, q.GetSequence(), s.d.now())
	return &peerpb.TellResponse{}, nil
}

// isQuotaIsolated returns 1 if this daemon admits by its own part of the quotas, else 0.
func (d *Daemon) isQuotaIsolated() int64 {
	if d.quotas.node.Isolated(d.now()) {
		return 1
	}
	return 0
}
