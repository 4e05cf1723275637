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
	roundTime    = 2 * time.Second
	roundWaitMin = 20 * time.Millisecond
	roundWaitMax = 500 * time.Millisecond
	decideGrace  = 30 * time.Second // past the deadline, to settle the outcome
	inForceTime  = 30 * time.Second
)

// round is one delivery of the head to the live instances.
type round struct {
	head   change.Head
	live   []instance.Record
	report change.Report
}

// sites returns how many live instances each site has.
func (r round) sites() map[string]int {
	m := make(map[string]int)
	for _, v := range r.live {
		m[v.Site]++
	}
	return m
}

// behind returns the instances of a site that do not have what was delivered.
func (r round) behind(site string) []string {
	var n []string
	for _, v := range r.live {
		if v.Site == site && (slices.Contains(r.report.Behind, v.Name) || slices.Contains(r.report.Unreached, v.Name)) {
			n = append(n, v.Name)
		}
	}
	return n
}

// deliver carries h to every live instance and returns what they have.
func (d *Daemon) deliver(x context.Context, h change.Head) (round, error) {
	r := round{head: h}
	if err := d.do(x, func(c *control) { r.live = c.table.Live() }); err != nil {
		return r, err
	}
	q := &peerpb.DeliverRequest{Head: peer.FromHead(h), From: d.settings.PeerAddress, Targets: d.targets(r.live)}
	r.report = d.take(x, h, nil)
	d.addDelta(x, h, q)
	y, stop := context.WithTimeout(x, roundTime)
	defer stop()
	r.report = r.report.Add(d.peers.Spread(y, q))
	return r, d.do(x, func(c *control) { c.probeUnreached(r.report.Unreached) })
}

// targets orders the instances for the tree: by site, so that it crosses sites
// rarely, and the suspected ones last, so that nothing hangs below them.
func (d *Daemon) targets(live []instance.Record) []*peerpb.Target {
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

// addDelta puts the proposed content into the request, said by its difference
// to the one in force, which nearly every instance has.
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

// probeUnreached asks at once after those that a delivery did not reach, so
// that the dead are known before the next probe would have found them.
func (c *control) probeUnreached(names []string) {
	for _, n := range names[:min(len(names), peer.Fanout)] {
		if r, _, ok := c.table.Get(n); ok && r.Live() {
			c.exchange(n, r.PeerAddress, r.Incarnation)
		}
	}
}

// readHead returns the head object and its version.
func (d *Daemon) readHead(x context.Context) (store.Object, change.Head, error) {
	o, err := d.store.Get(x, change.HeadKey)
	_ = d.do(x, func(c *control) { c.platformAnswered(err) })
	if result.CodeOf(err) == result.NotFound {
		return store.Object{Key: change.HeadKey, Version: store.Absent}, change.Head{}, nil
	}
	if err != nil {
		return o, change.Head{}, err
	}
	h, err := change.DecodeHead(o.Value)
	return o, h, err
}

// writeHead writes h if the head object is still the one that was read as o.
func (d *Daemon) writeHead(x context.Context, o store.Object, h change.Head) error {
	b, err := h.Encode()
	if err != nil {
		return err
	}
	_, err = d.store.Put(x, change.HeadKey, o.Version, b)
	_ = d.do(x, func(c *control) { c.platformAnswered(err) })
	return err
}

// settle stages the change of that id and decides it. Any daemon may do so
// for any change, more than one at a time: only one of their conditional
// updates takes effect, and all of them read the outcome from the head.
func (d *Daemon) settle(x context.Context, id string, show func(round)) (change.Outcome, change.Proposal, error) {
	var w time.Duration
	var p change.Proposal
	random := d.random()
	for {
		o, h, err := d.readHead(x)
		if err == nil && h.Proposed.ChangeID == id {
			p = h.Proposed
			h, err = d.decide(x, o, h, random, show)
		}
		if err == nil {
			if u, ok := h.Outcome(id); ok {
				return u, p, d.do(x, func(c *control) { c.observe(h) })
			}
			return change.Outcome{}, p, result.New(result.OutcomeUnknown, "the platform does not remember change %s", id)
		}
		if !p.Deadline.IsZero() && d.now().After(p.Deadline.Add(decideGrace)) {
			return change.Outcome{}, p, result.Wrap(result.OutcomeUnknown, err, "change %s", id)
		}
		w = backoff(random, w, roundWaitMin, roundWaitMax)
		if !pause(x, w) {
			return change.Outcome{}, p, result.Wrap(result.OutcomeUnknown, x.Err(), "change %s", id)
		}
	}
}

// decide delivers the proposal until there is a verdict, writes it and returns
// the head with it. After any error the head tells what became of it.
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
		v, e := change.Decide(d.now(), h.Proposed, d.sitesOf(x, h.Proposed.Content), len(r.live), r.report)
		switch v {
		case change.Accept:
			h = h.WithAcceptance()
			return h, d.writeHead(x, o, h)
		case change.Refuse:
			d.event(x, event.RefusalRounds, slog.String("ChangeID", h.Proposed.ChangeID), slog.Any("TookMs", times), slog.Int("Live", len(r.live)), slog.Any("Behind", r.report.Behind), slog.Any("Unreached", r.report.Unreached))
			h = h.WithRefusal(e)
			return h, d.writeHead(x, o, h)
		}
		w = backoff(random, w, roundWaitMin, roundWaitMax)
		if !pause(x, w) {
			return h, x.Err()
		}
		if d.overtaken(x, h) {
			return h, errOvertaken
		}
	}
}

var errOvertaken = errors.New("another daemon settled the proposal")

// overtaken tells whether another daemon has settled the proposal meanwhile.
func (d *Daemon) overtaken(x context.Context, h change.Head) bool {
	var s uint64
	_ = d.do(x, func(c *control) { s = c.known.Head.Sequence })
	return s > h.Sequence
}

// sitesOf returns the sites that a content lists.
func (d *Daemon) sitesOf(x context.Context, hash string) []string {
	var l []string
	_ = d.do(x, func(c *control) {
		if k := c.contents[hash]; k != nil && k.config != nil {
			l = k.config.Sites()
		}
	})
	return l
}

// enforce delivers the accepted head until every live instance serves it.
func (d *Daemon) enforce(x context.Context, number uint64, show func(round)) bool {
	var w time.Duration
	random := d.random()
	end := d.now().Add(inForceTime)
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
		if h.InForce.Number >= number && r.inForce() {
			return true
		}
		w = backoff(random, w, roundWaitMin, roundWaitMax)
		if !pause(x, w) {
			return false
		}
	}
	return false
}

// inForce tells whether every live instance serves what is in force.
func (r round) inForce() bool {
	var n int
	for _, a := range r.report.Acks {
		n += a.InForce
	}
	return n >= len(r.live) && len(r.report.Unreached) == 0
}

// tendProposal finishes a proposal whose coordinator is gone, or was this
// instance before it was restarted.
func (c *control) tendProposal(now time.Time) {
	p := c.known.Head.Proposed
	if !c.known.Head.HasProposal() || c.finishing[p.ChangeID] || !c.platformUp {
		return
	}
	r, at, ok := c.table.Get(p.Coordinator)
	s := c.table.Self()
	k := c.table.Rank("", p.ChangeID, s.Name)
	if p.Coordinator != s.Name && (k < 0 || !change.TakesOver(now, p, ok && r.Live(), k, at)) {
		return
	}
	c.finishing[p.ChangeID] = true
	c.start(func(x context.Context) {
		c.d.event(x, event.TakenOver, slog.String("ChangeID", p.ChangeID), slog.String("Coordinator", p.Coordinator))
		c.d.conclude(x, p.ChangeID, func(progress) {})
		_ = c.d.do(x, func(c *control) { delete(c.finishing, p.ChangeID) })
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

// progress is one thing to tell whoever submitted a change.
type progress struct {
	step   string
	number uint64
	sites  []string // that the change changes
	round  round
	err    *result.Error
}

// conclude settles a change, makes its outcome known everywhere and writes
// both into the audit trail.
func (d *Daemon) conclude(x context.Context, id string, show func(progress)) {
	u, p, err := d.settle(x, id, func(r round) { show(progress{step: stepStaging, round: r, sites: r.head.Proposed.Sites}) })
	if err != nil {
		show(progress{step: stepUnknown, err: result.Wrap(result.OutcomeUnknown, err, "change %s", id)})
		return
	}
	d.metrics.Change(u.Code)
	if !u.Accepted() {
		d.event(x, event.Refused, slog.String("ChangeID", id), slog.String("Code", u.Code.String()), slog.String("Text", u.Text))
		d.spreadHead(x)
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
	ok := d.enforce(x, u.Number, func(r round) { show(progress{step: stepActivating, number: u.Number, round: r, sites: p.Sites}) })
	<-written
	if !ok {
		show(progress{step: stepUnknown, number: u.Number, err: result.New(result.OutcomeUnknown, "version %d is accepted; some instances did not confirm it yet", u.Number)})
		return
	}
	d.event(x, event.InForce, slog.String("ChangeID", id), slog.Uint64("Number", u.Number))
	show(progress{step: stepInForce, number: u.Number})
	d.audit(x, stepInForce, p, u)
}

// audit writes one step of a settled change. A change that was settled by
// another daemon has no proposal here, and its records are theirs to write.
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

func (d *Daemon) putAudit(x context.Context, began time.Time, a store.Audit) {
	now := d.now()
	a.Time = now
	a.ElapsedMs = now.Sub(began).Milliseconds()
	a.Instance = d.settings.Instance
	if err := store.PutAudit(x, d.store, began, a); err != nil {
		d.event(x, event.AuditFailed, slog.String("ChangeID", a.ChangeID), slog.String("Cause", err.Error()))
	}
}

// spreadHead delivers the newest head once.
func (d *Daemon) spreadHead(x context.Context) {
	var h change.Head
	if d.do(x, func(c *control) { h = c.known.Head }) == nil {
		_, _ = d.deliver(x, h)
	}
}
