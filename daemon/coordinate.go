package daemon

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/instance"
	"figwheel/peer"
	"figwheel/peer/peerpb"
	"figwheel/result"
	"figwheel/store"
)

const (
	deliveryTimeout = 2 * time.Second
	roundBackoffMin = 20 * time.Millisecond
	roundBackoffMax = 500 * time.Millisecond
	settleGrace     = 30 * time.Second // after the deadline of a change, to determine its outcome
	inForceTimeout  = 30 * time.Second
)

// round is one delivery of the head to the live instances, with its report.
type round struct {
	head   change.Head
	live   []instance.Record
	report change.Report
}

// liveBySite returns the number of live instances of each site.
func (r round) liveBySite() map[string]int {
	m := make(map[string]int)
	for _, v := range r.live {
		m[v.Site]++
	}
	return m
}

// behind returns the names of the site's instances that reported to be behind
// or were not reached.
func (r round) behind(site string) []string {
	var n []string
	for _, v := range r.live {
		if v.Site == site && (slices.Contains(r.report.Behind, v.Name) || slices.Contains(r.report.Unreached, v.Name)) {
			n = append(n, v.Name)
		}
	}
	return n
}

// deliver sends h to every live instance and returns their reports. It probes
// the instances that were not reached.
func (d *Daemon) deliver(x context.Context, h change.Head) (round, error) {
	r := round{head: h}
	if err := d.do(x, func(c *control) { r.live = c.table.Live() }); err != nil {
		return r, err
	}
	q := &peerpb.DeliverRequest{Head: peer.FromHead(h), From: d.settings.PeerAddress, Targets: d.deliveryTargets(r.live)}
	r.report = d.applyDelivery(x, h, nil)
	d.addDelta(x, h, q)
	y, stop := context.WithTimeout(x, deliveryTimeout)
	defer stop()
	r.report = r.report.Add(d.peers.DeliverTree(y, q))
	return r, d.do(x, func(c *control) { c.probeUnreached(r.report.Unreached) })
}

// deliveryTargets returns the live instances other than this one in the order of
// the delivery tree: grouped by site, so that few branches cross sites, and the
// suspected ones last, so that no other instance is below one of them.
func (d *Daemon) deliveryTargets(live []instance.Record) []*peerpb.Target {
	l := slices.Clone(live)
	slices.SortFunc(l, func(a, b instance.Record) int {
		return cmp.Or(cmp.Compare(a.Health, b.Health), cmp.Compare(a.Site, b.Site), cmp.Compare(a.Name, b.Name))
	})
	var r []*peerpb.Target
	for _, m := range l {
		if m.Name != d.settings.Instance {
			r = append(r, &peerpb.Target{Name: m.Name, Site: m.Site, PeerAddress: m.PeerAddress})
		}
	}
	return r
}

// addDelta adds the proposed content to the request q, compressed against the
// content in force, which nearly every instance has.
func (d *Daemon) addDelta(x context.Context, h change.Head, q *peerpb.DeliverRequest) {
	if !h.HasProposal() {
		return
	}
	var n, o *content
	_ = d.do(x, func(c *control) {
		n = c.contents[h.Proposed.Content]
		o = c.contents[h.InForce.Content]
	})
	if n == nil {
		return
	}
	var base []byte
	if o != nil {
		base = o.data
		q.DeltaBase = o.hash
	}
	z, err := store.Compress(n.data, base)
	if err != nil {
		return
	}
	q.Delta = z
	q.DeltaContent = n.hash
}

// probeUnreached probes up to peer.Fanout of the named instances at once, so
// that a dead one is detected before its next regular probe.
func (c *control) probeUnreached(names []string) {
	for _, n := range names[:min(len(names), peer.Fanout)] {
		if r, _, ok := c.table.Get(n); ok && r.Live() {
			c.exchange(n, r.PeerAddress, r.Incarnation)
		}
	}
}

// readHead reads the head from the platform and returns its object and its
// decoded value. Without an object both are empty and the version is
// store.Absent. If the head is older than the one that was known before, the store has
// lost that one: readHead writes it again and returns WriteUnknown, so that the caller
// reads the head another time.
func (d *Daemon) readHead(x context.Context) (store.Object, change.Head, error) {
	var known change.Head
	_ = d.do(x, func(c *control) { known = c.known.Head })
	o, err := d.store.Get(x, change.HeadKey)
	_ = d.do(x, func(c *control) { c.recordPlatformResult(err) })
	var h change.Head
	switch {
	case result.CodeOf(err) == result.NotFound:
		o = store.Object{Key: change.HeadKey, Version: store.Absent}
	case err != nil:
		return o, change.Head{}, err
	default:
		if h, err = change.DecodeHead(o.Value); err != nil {
			return o, h, err
		}
	}
	if h.Sequence >= known.Sequence {
		return o, h, nil
	}
	if err := d.restoreHead(x, o, known); err != nil {
		return o, h, err
	}
	return o, h, result.New(result.WriteUnknown, "the store had head %d, %d was written again", h.Sequence, known.Sequence)
}

// writeHead writes h on condition that the head object still has the version of
// o. It returns the error of the platform.
func (d *Daemon) writeHead(x context.Context, o store.Object, h change.Head) error {
	b, err := h.Encode()
	if err != nil {
		return err
	}
	_, err = d.store.Put(x, change.HeadKey, o.Version, b)
	_ = d.do(x, func(c *control) { c.recordPlatformResult(err) })
	return err
}

// settle stages the change of that ID, decides it, and returns its outcome and,
// if it was still proposed, its proposal. Any daemon may settle any change, and
// several may do so at the same time: only one of their conditional writes takes
// effect, and each of them reads the outcome from the head. It returns
// OutcomeUnknown if the head no longer has the outcome, if x ends, or if errors
// persist until settleGrace after the deadline.
func (d *Daemon) settle(x context.Context, id string, show func(round)) (change.Outcome, change.Proposal, error) {
	var w time.Duration
	var p change.Proposal
	random := d.newRandom()
	for {
		o, h, err := d.readHead(x)
		if err == nil && h.Proposed.ChangeID == id {
			p = h.Proposed
			h, err = d.decide(x, o, h, random, show)
		}
		if err == nil {
			if u, ok := h.Outcome(id); ok {
				return u, p, d.do(x, func(c *control) { c.mergeHead(h) })
			}
			return change.Outcome{}, p, result.New(result.OutcomeUnknown, "the platform no longer has the outcome of change %s", id)
		}
		if !p.Deadline.IsZero() && d.now().After(p.Deadline.Add(settleGrace)) {
			return change.Outcome{}, p, result.Wrap(result.OutcomeUnknown, err, "change %s", id)
		}
		w = backoff(random, w, roundBackoffMin, roundBackoffMax)
		if !pause(x, w) {
			return change.Outcome{}, p, result.Wrap(result.OutcomeUnknown, x.Err(), "change %s", id)
		}
	}
}

// decide delivers the proposal until change.Decide accepts or refuses it, writes
// the head with the decision and returns it. After an error the platform's head
// has the actual state of the change.
func (d *Daemon) decide(x context.Context, o store.Object, h change.Head, random *rand.Rand, show func(round)) (change.Head, error) {
	var w time.Duration
	var times []int64
	for {
		began := d.now()
		r, err := d.deliver(x, h)
		if err != nil {
			return h, err
		}
		times = append(times, d.now().Sub(began).Milliseconds())
		show(r)
		v, e := change.Decide(d.now(), h.Proposed, d.contentSites(x, h.Proposed.Content), len(r.live), r.report)
		switch v {
		case change.Accept:
			h = h.WithAcceptance()
			return h, d.writeHead(x, o, h)
		case change.Refuse:
			d.event(x, event.RefusalRounds, slog.String("ChangeID", h.Proposed.ChangeID), slog.Any("TookMs", times), slog.Int("Live", len(r.live)), slog.Any("Behind", r.report.Behind), slog.Any("Unreached", r.report.Unreached))
			h = h.WithRefusal(e)
			return h, d.writeHead(x, o, h)
		}
		w = backoff(random, w, roundBackoffMin, roundBackoffMax)
		if !pause(x, w) {
			return h, x.Err()
		}
		if d.settledElsewhere(x, h) {
			return h, errSettledElsewhere
		}
	}
}

var errSettledElsewhere = errors.New("another daemon settled the proposal")

// settledElsewhere reports whether another daemon has settled the proposal of h:
// a newer head than h is known.
func (d *Daemon) settledElsewhere(x context.Context, h change.Head) bool {
	var s uint64
	_ = d.do(x, func(c *control) { s = c.known.Head.Sequence })
	return s > h.Sequence
}

// contentSites returns the sites that the content of that hash lists, nil if the
// content is not known here.
func (d *Daemon) contentSites(x context.Context, hash string) []string {
	var l []string
	_ = d.do(x, func(c *control) {
		if k := c.contents[hash]; k != nil && k.config != nil {
			l = k.config.Sites()
		}
	})
	return l
}

// deliverUntilInForce delivers the head until every live instance serves the
// version number or a later one. It returns false if that takes longer than
// inForceTimeout or x ends.
func (d *Daemon) deliverUntilInForce(x context.Context, number uint64, show func(round)) bool {
	var w time.Duration
	random := d.newRandom()
	end := d.now().Add(inForceTimeout)
	for d.now().Before(end) {
		var h change.Head
		if d.do(x, func(c *control) { h = c.known.Head }) != nil {
			return false
		}
		r, err := d.deliver(x, h)
		if err != nil {
			return false
		}
		show(r)
		if h.InForce.Number >= number && r.isInForce() {
			return true
		}
		w = backoff(random, w, roundBackoffMin, roundBackoffMax)
		if !pause(x, w) {
			return false
		}
	}
	return false
}

// isInForce reports whether every live instance serves the delivered head.
func (r round) isInForce() bool {
	var n int
	for _, a := range r.report.Acks {
		n += a.InForce
	}
	return n >= len(r.live) && len(r.report.Unreached) == 0
}

// takeOverProposal settles the current proposal if its coordinator is no longer
// live, or if this instance coordinated it before a restart.
func (c *control) takeOverProposal(now time.Time) {
	p := c.known.Head.Proposed
	if !c.known.Head.HasProposal() || c.settling[p.ChangeID] || !c.controlObjectsRead {
		return
	}
	r, at, ok := c.table.Get(p.Coordinator)
	s := c.table.Self()
	k := c.table.Rank("", p.ChangeID, s.Name)
	if p.Coordinator != s.Name && (k < 0 || !change.TakesOver(now, p, ok && r.Live(), k, at)) {
		return
	}
	c.settling[p.ChangeID] = true
	c.start(func(x context.Context) {
		c.d.event(x, event.TakenOver, slog.String("ChangeID", p.ChangeID), slog.String("Coordinator", p.Coordinator))
		c.d.conclude(x, p.ChangeID, func(progress) {})
		_ = c.d.do(x, func(c *control) { delete(c.settling, p.ChangeID) })
	})
}

// Steps of a change as operators see them.
const (
	stepProposed   = "Proposed"
	stepStaging    = "Staging"
	stepAccepted   = "Accepted"
	stepActivating = "Activating"
	stepInForce    = "InForce"
	stepRefused    = "Refused"
	stepUnchanged  = "Unchanged"
	stepUnknown    = "Unknown"
)

// progress is one step reported to the submitter of a change.
type progress struct {
	step   string
	number uint64
	sites  []string // sites that the change affects
	round  round
	err    *result.Error
}

// conclude settles the change of that ID, delivers the outcome to all instances,
// calls show for each step, and writes the outcome and its delivery to the audit
// trail.
func (d *Daemon) conclude(x context.Context, id string, show func(progress)) {
	u, p, err := d.settle(x, id, func(r round) { show(progress{step: stepStaging, round: r, sites: r.head.Proposed.Sites}) })
	if err != nil {
		show(progress{step: stepUnknown, err: result.Wrap(result.OutcomeUnknown, err, "change %s", id)})
		return
	}
	d.metrics.RecordChange(u.Code)
	if !u.Accepted() {
		d.event(x, event.Refused, slog.String("ChangeID", id), slog.String("Code", u.Code.String()), slog.String("Text", u.Text))
		d.deliverHead(x)
		d.audit(x, stepRefused, p, u)
		show(progress{step: stepRefused, err: result.New(u.Code, "%s", u.Text)})
		return
	}
	d.event(x, event.Accepted, slog.String("ChangeID", id), slog.Uint64("Number", u.Number))
	show(progress{step: stepAccepted, number: u.Number})
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.audit(x, stepAccepted, p, u)
	}()
	ok := d.deliverUntilInForce(x, u.Number, func(r round) { show(progress{step: stepActivating, number: u.Number, round: r, sites: p.Sites}) })
	<-written
	if !ok {
		show(progress{step: stepUnknown, number: u.Number, err: result.New(result.OutcomeUnknown, "version %d is accepted; some instances did not confirm it yet", u.Number)})
		return
	}
	d.event(x, event.InForce, slog.String("ChangeID", id), slog.Uint64("Number", u.Number))
	show(progress{step: stepInForce, number: u.Number})
	d.audit(x, stepInForce, p, u)
}

// audit writes one step of a change to the audit trail. For a change that
// another daemon settled, p is empty and audit writes nothing: that daemon
// writes the records.
func (d *Daemon) audit(x context.Context, step string, p change.Proposal, u change.Outcome) {
	if p.ChangeID == "" {
		return
	}
	a := store.Audit{
		ChangeID:     p.ChangeID,
		Step:         step,
		Submitter:    p.Submitter,
		Reason:       p.Reason,
		Number:       u.Number,
		Content:      p.Content,
		SitesChanged: p.Sites,
	}
	if u.Code != 0 {
		a.Problems = []store.AuditProblem{{Code: u.Code, Text: u.Text}}
	}
	d.putAudit(x, p.ProposedAt, a)
}

// putAudit completes the record a and writes it. It logs a failure.
func (d *Daemon) putAudit(x context.Context, began time.Time, a store.Audit) {
	now := d.now()
	a.Time = now
	a.ElapsedMs = now.Sub(began).Milliseconds()
	a.Instance = d.settings.Instance
	if err := store.PutAudit(x, d.store, began, a); err != nil {
		d.event(x, event.AuditFailed, slog.String("ChangeID", a.ChangeID), slog.String("Cause", err.Error()))
	}
}

// deliverHead delivers the newest known head once.
func (d *Daemon) deliverHead(x context.Context) {
	var h change.Head
	if d.do(x, func(c *control) { h = c.known.Head }) == nil {
		_, _ = d.deliver(x, h)
	}
}
