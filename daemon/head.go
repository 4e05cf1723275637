package daemon

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/hop"
	"figwheel/peer"
	"figwheel/peer/peerpb"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

const (
	fetchTimeout    = 10 * time.Second // for one content, from all sources
	deliveryWaitMin = time.Second      // least time for a delivery to bring a content before it is fetched
	fetchPeers      = 2                // in each round
	fetchRounds     = 3                // before the content is read from the platform
	fetchRetryDelay = 100 * time.Millisecond
)

// mergeHead merges the head h and reports whether it is newer than the known
// one.
func (c *control) mergeHead(h change.Head) bool {
	k, ok := c.known.WithHead(h)
	if !ok {
		return false
	}
	c.known = k
	c.viewOutdated = true
	c.advance()
	return true
}

// observeRelease records that another daemon serves the release of that number
// and hash, and activates the release if that shows that it was accepted.
func (c *control) observeRelease(number uint64, hash string) {
	if c.d.isManaged() {
		// Daemons serve only accepted configurations.
		if c.mergeHead(managedHead(number, hash)) {
			c.gossipRequested = true
			c.publish()
		}
		return
	}
	k, ok := c.known.WithServed(number, hash)
	if !ok {
		c.gossip() // a peer may have a newer head
		return
	}
	c.known = k
	c.advance()
	c.publish()
}

// advance activates the newest release whose content is here, and fetches the
// contents of the target and of the proposal that are missing.
func (c *control) advance() {
	t := c.known.Target
	if t.Number > c.serving.Number() {
		c.fetchInBackground(t.Content, c.serving != nil)
		c.activate()
	}
	c.poll.SetMissing(t.Number > c.serving.Number() && c.contents[t.Content] == nil, c.d.now())
	if c.known.Head.HasProposal() {
		c.fetchInBackground(c.known.Head.Proposed.Content, true)
	}
}

// inForceKnown reports whether the platform was read since the start, so that
// what is in force is known from it.
func (c *control) inForceKnown() bool {
	if c.d.isManaged() {
		return c.configRead
	}
	return c.controlObjectsRead
}

// newestHere returns the release to serve and its content: the target, or the newest
// one before it if the content of the target is not here. Daemons that are short of
// processor time may know of a newer target each time that a content arrives. The
// content is nil if there is none to serve.
func (c *control) newestHere() (change.Release, *content) {
	r := c.known.Target
	k := c.contents[r.Content]
	// Unless the configuration is managed, a content may be that of a proposal. The
	// first release after a start must not be older than what is known.
	if k != nil || !c.d.isManaged() || c.serving == nil {
		return r, k
	}
	r = change.Release{Number: c.serving.Number()}
	for h, v := range c.contents {
		if n := v.number(); n > r.Number && n < c.known.Target.Number && v.refusal == nil {
			r, k = change.Release{Number: n, Content: h}, v
		}
	}
	return r, k
}

// activate serves the newest release whose content is here, if it can be served at
// this site and, for the first release after a start, change.MayServe allows it.
func (c *control) activate() {
	r, k := c.newestHere()
	if k == nil || k.refusal != nil {
		return
	}
	if c.serving == nil && !change.MayServe(c.inForceKnown(), c.known.Head, len(c.answeredPeers), len(c.table.Live())-1) {
		return
	}
	s, err := k.config.Snapshot(c.d.settings.Site, r.Number, r.Content)
	if err != nil {
		return
	}
	first := c.serving == nil
	now := c.d.now()
	missing := c.poll.MissingFor(now)
	c.serving = s
	c.d.activatedAt.Store(&now)
	c.viewOutdated = true
	c.prune()
	c.updateSelf(now)
	c.d.event(c.x, event.Activated, slog.Uint64("Number", s.Number()), slog.String("ChangeID", r.ChangeID), slog.Uint64("Newest", c.known.Target.Number), slog.Duration("Missing", missing))
	if first {
		c.d.event(c.x, event.Ready, slog.Uint64("Number", s.Number()))
	}
	if !c.workerAsked || c.heldAnnouncement(now).ID != "" {
		c.askWorker() // the configuration may bring the worker's service
	}
}

// previousContentsMax is how many contents that were served before are kept as
// bases of deltas. Daemons that are a few versions behind, as when changes follow
// each other closely, fetch newer contents as deltas to them.
const previousContentsMax = 4

// prune removes the contents that are neither in force nor the target nor the
// proposal. It keeps the bytes of the last previousContentsMax of them.
func (c *control) prune() {
	for h, k := range c.contents {
		if c.known.References(h) {
			continue
		}
		delete(c.contents, h)
		c.previous = append(c.previous, newContent(h, k.data))
	}
	if n := len(c.previous) - previousContentsMax; n > 0 {
		c.previous = slices.Delete(c.previous, 0, n)
	}
}

// retained returns the content of that hash, pruned or not, nil if it is not
// kept.
func (c *control) retained(hash string) *content {
	if k := c.contents[hash]; k != nil {
		return k
	}
	for _, k := range c.previous {
		if k.hash == hash {
			return k
		}
	}
	return nil
}

// fetchInBackground starts to fetch a content unless it is here or being
// fetched. With later, unless the configuration is managed, it first waits between
// one and two times deliveryWaitMin for a delivery to bring the content: if every
// daemon fetched it as soon as it learns of a proposal, the requests would come
// all at once.
func (c *control) fetchInBackground(hash string, later bool) {
	if c.contents[hash] != nil || c.fetching[hash] {
		return
	}
	c.fetching[hash] = true
	var w time.Duration
	if later && !c.d.isManaged() {
		w = deliveryWaitMin + time.Duration(c.random.Int64N(int64(deliveryWaitMin)))
	}
	from := c.headSource
	c.start(func(x context.Context) {
		defer func() {
			_ = c.d.do(x, func(c *control) { delete(c.fetching, hash) })
		}()
		needed := false
		if pause(x, w) {
			_ = c.d.do(x, func(c *control) { needed = c.known.Needs(hash, c.serving.Number()) })
		}
		if needed {
			_, _ = c.d.content(x, hash, from, nil)
		}
	})
}

// content returns the content of that hash: from memory, from the delta in q,
// from the daemon at the address from, from other peers, or from the platform.
// Concurrent requests for one hash share one fetch. It returns an error if no
// source has the content or the daemon is stopping.
func (d *Daemon) content(x context.Context, hash, from string, q *peerpb.DeliverRequest) (*content, error) {
	var k *content
	err := d.do(x, func(c *control) { k = c.contents[hash] })
	if err != nil || k != nil {
		return k, err
	}
	// Other requests wait for the same fetch, so the end of this request must not
	// cancel it.
	y, stop := context.WithTimeout(context.WithoutCancel(x), fetchTimeout)
	defer stop()
	// A delta needs no fetch. It must not wait for the slower fetch that another
	// request for the same content has started.
	if b, ok := d.decodeDelta(y, hash, q); ok {
		return d.addContent(y, hash, fetched{data: b})
	}
	v, err, _ := d.contents.Do(hash, func() (any, error) { return d.fetch(y, hash, from) })
	if err != nil {
		return nil, err
	}
	return v.(*content), nil
}

// fetched is a content as it was received. The compressed bytes are a delta to
// the content whose hash is base, or the whole content if base is empty. They
// are missing if the content was not fetched from a peer.
type fetched struct {
	data       []byte
	compressed []byte
	base       string
}

// fetch returns the content of that hash from the daemon at the address from,
// from other peers, or, unless the configuration is managed, from the platform.
func (d *Daemon) fetch(x context.Context, hash, from string) (*content, error) {
	f, ok := d.fetchFromPeers(x, hash, from)
	if !ok && d.isManaged() {
		return nil, result.New(result.ContentMissing, "no peer has content %s; the next read of the platform brings it or a newer one", hash)
	}
	if !ok {
		b, err := store.GetContent(x, d.store, hash)
		_ = d.do(x, func(c *control) { c.recordPlatformResult(err) })
		if err != nil {
			return nil, err
		}
		f.data = b
	}
	return d.addContent(x, hash, f)
}

// addContent compiles a content and adds it to the contents that are known here.
func (d *Daemon) addContent(x context.Context, hash string, f fetched) (*content, error) {
	k := d.compile(hash, f.data)
	k.reuseCompressed(f)
	d.event(x, event.ContentFetched, slog.String("Content", hash), slog.Int("Bytes", len(f.data)))
	if k.refusal != nil {
		d.event(x, event.CannotStage, slog.String("Content", hash), slog.String("Cause", k.refusal.Error()))
	} else {
		d.event(x, event.Staged, slog.String("Content", hash))
	}
	return k, d.do(x, func(c *control) {
		c.contents[hash] = k
		c.advance()
	})
}

// fetchFromPeers fetches a content from the daemon at the address from, if that
// is not empty, and then from a few random peers in each of several rounds. It
// returns false if none of them has the content. Further rounds are worth their
// delay because content reaches the peers within a round trip or two.
func (d *Daemon) fetchFromPeers(x context.Context, hash, from string) (fetched, bool) {
	if from != "" {
		if f, ok := d.fetchFromPeer(x, from, hash); ok {
			return f, true
		}
	}
	for range fetchRounds {
		var l []string
		_ = d.do(x, func(c *control) {
			for _, r := range c.table.RandomLive(c.random, fetchPeers, "") {
				l = append(l, r.PeerAddress)
			}
		})
		for _, a := range l {
			if f, ok := d.fetchFromPeer(x, a, hash); ok {
				return f, true
			}
		}
		if len(l) == 0 || !pause(x, fetchRetryDelay) {
			break
		}
	}
	return fetched{}, false
}

// decodeDelta returns the content of that hash decoded from the delta of q,
// false if q has none for it, its base is not here or the hash does not match.
func (d *Daemon) decodeDelta(x context.Context, hash string, q *peerpb.DeliverRequest) ([]byte, bool) {
	if len(q.GetDelta()) == 0 || q.GetDeltaContent() != hash {
		return nil, false
	}
	var base []byte
	if h := q.GetDeltaBase(); h != "" {
		if base = d.contentBytes(x, h); base == nil {
			return nil, false
		}
	}
	b, err := store.DecompressVerified(q.GetDelta(), base, hash)
	return b, err == nil
}

// contentBytes returns the bytes of the content of that hash, nil if it is not
// kept.
func (d *Daemon) contentBytes(x context.Context, hash string) []byte {
	var b []byte
	_ = d.do(x, func(c *control) {
		if k := c.retained(hash); k != nil {
			b = k.data
		}
	})
	return b
}

// fetchFromPeer fetches the content of that hash from the daemon at the address,
// as a delta to the content that is served here if the peer has it.
func (d *Daemon) fetchFromPeer(x context.Context, address, hash string) (fetched, bool) {
	x, stop := hop.WithPace(x, exchangeTimeout)
	defer stop()
	var f fetched
	if s := d.View().Snapshot; s != nil {
		f.base = s.Content()
	}
	z, delta, err := d.peers.Fetch(x, address, hash, f.base)
	if err != nil || len(z) == 0 {
		return f, false
	}
	var o []byte
	if !delta {
		f.base = ""
	} else if o = d.contentBytes(x, f.base); o == nil {
		return f, false
	}
	f.compressed = z
	f.data, err = store.DecompressVerified(z, o, hash)
	return f, err == nil
}

// compile decodes the content b and checks it for this site. If that fails, the
// refusal of the returned content says why. Every instance checks for itself,
// because a daemon of another build may accept other configurations than the
// daemon that they were submitted to.
func (d *Daemon) compile(hash string, b []byte) *content {
	k := newContent(hash, b)
	if d.isManaged() {
		t, err := site.DecodeTable(b)
		if err != nil {
			k.refusal = result.Wrap(result.BadValue, err, "content %s", hash)
			return k
		}
		k.config = t
		return k
	}
	f, err := site.DecodeBundle(b)
	if err != nil {
		k.refusal = result.Wrap(result.BadValue, err, "content %s", hash)
		return k
	}
	g, p := site.CheckSite(f, d.settings.Site)
	if len(p) > 0 {
		k.refusal = result.New(p[0].Code, "%s", p[0])
		return k
	}
	if !g.Has(d.settings.Site) {
		k.refusal = result.New(result.UnknownSite, "site %s has live instances and is not listed", d.settings.Site)
		return k
	}
	k.config = g
	return k
}

// applyDelivery merges the head h, stages and activates its contents and returns
// this instance's report. The request q has the sender and may have a delta; it
// is nil if this daemon sends the delivery.
func (d *Daemon) applyDelivery(x context.Context, h change.Head, q *peerpb.DeliverRequest) change.Report {
	if h.HasProposal() {
		_, _ = d.content(x, h.Proposed.Content, q.GetFrom(), q)
	}
	if h.InForce.Number > d.View().Snapshot.Number() {
		_, _ = d.content(x, h.InForce.Content, q.GetFrom(), q)
	}
	var r change.Report
	_ = d.do(x, func(c *control) {
		c.deliveredSequence = max(c.deliveredSequence, h.Sequence)
		c.mergeHead(h)
		c.publish()
		r = c.report(h)
	})
	return r
}

// report returns whether this instance has staged and activated what the head h
// names.
func (c *control) report(h change.Head) change.Report {
	s := c.table.Self()
	a := change.Ack{Site: s.Site}
	var r change.Report
	if h.InForce.Number > 0 && c.serving.Number() >= h.InForce.Number {
		a.InForce = 1
	}
	if h.HasProposal() {
		k := c.contents[h.Proposed.Content]
		switch {
		case k == nil:
			r.Behind = []string{s.Name}
		case k.refusal != nil:
			r.Refusals = []change.Refusal{{Instance: s.Name, Site: s.Site, Code: k.refusal.Code, Text: k.refusal.Text}}
		default:
			a.Staged = 1
		}
	} else if h.InForce.Number > 0 && a.InForce == 0 {
		r.Behind = []string{s.Name}
	}
	r.Acks = []change.Ack{a}
	return r
}

// Deliver implements peerpb.PeerServiceHandler. It applies the head and at the
// same time forwards it to the instances below in the delivery tree.
func (d *Daemon) Deliver(x context.Context, q *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	below := make(chan change.Report, 1)
	n := &peerpb.DeliverRequest{
		Head:         q.GetHead(),
		From:         d.settings.PeerAddress,
		Delta:        q.GetDelta(),
		DeltaBase:    q.GetDeltaBase(),
		DeltaContent: q.GetDeltaContent(),
		Targets:      q.GetTargets(),
	}
	go func() { below <- d.peers.DeliverTree(x, n) }()
	r := d.applyDelivery(x, peer.ToHead(q.GetHead()), q)
	p := peer.FromReport(r.Add(<-below))
	return p, nil
}
