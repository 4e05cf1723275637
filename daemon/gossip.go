package daemon

import (
	"context"
	"log/slog"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/instance"
	"figwheel/peer"
	"figwheel/peer/peerpb"
)

const (
	exchangeTimeout      = time.Second
	gossipPeers          = 3
	indirectPeers        = 3
	reconcileIntervalMin = 300 * time.Millisecond // least time between two reconciliations; the random part is up to as much again
)

// exchange probes an instance and exchanges updates with it. If the instance does
// not answer, a few other instances probe it. If none of them reaches it either,
// it is suspected at the incarnation that was probed. An incarnation of 0 means
// that the instance is not known to live: then it is never suspected. The name is
// empty for a seed.
func (c *control) exchange(name, address string, incarnation uint64) {
	q := c.exchangeRequest()
	t := exchangeTimeout * time.Duration(c.table.TimeoutFactor())
	sent := c.d.now()
	c.start(func(x context.Context) {
		p, err := c.d.exchangeWith(x, t, address, q)
		if err == nil {
			_ = c.d.do(x, func(c *control) { c.mergeResponse(name, address, p, sent) })
			return
		}
		if incarnation > 0 && !c.d.probeIndirectly(x, t, name, address) {
			_ = c.d.do(x, func(c *control) { c.recordProbeFailure(name, incarnation) })
		}
	})
}

// exchangeWith sends the request q to the daemon at the address and returns its
// response, or an error if there is none within the time t.
func (d *Daemon) exchangeWith(x context.Context, t time.Duration, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	x, stop := context.WithTimeout(x, t)
	defer stop()
	return d.peers.Exchange(x, address, q)
}

// probeIndirectly reports whether one of a few other instances reaches the daemon
// at the address. Then that daemon is alive and only cut off from this one.
func (d *Daemon) probeIndirectly(x context.Context, t time.Duration, name, address string) bool {
	var l []instance.Record
	var q *peerpb.ExchangeRequest
	err := d.do(x, func(c *control) {
		l = c.table.RandomLive(c.random, indirectPeers, name)
		q = c.exchangeRequest()
		q.ProbeAddress = address
	})
	if err != nil {
		return true // this daemon is stopping and could not probe
	}
	done := make(chan bool, len(l))
	for _, r := range l {
		go func() {
			p, err := d.exchangeWith(x, 2*t, r.PeerAddress, q)
			done <- err == nil && p.GetProbed()
		}()
	}
	ok := false
	for range l {
		ok = <-done || ok
	}
	return ok
}

// exchangeRequest returns the request for the next peer. It carries the pending
// updates and always the record of this instance, which a peer that does not
// know this instance needs.
func (c *control) exchangeRequest() *peerpb.ExchangeRequest {
	return c.requestWith(append(c.table.News(), c.table.Self()))
}

// requestWith returns a request that carries the records l. It does not take
// pending updates from the table, which would count them as sent.
func (c *control) requestWith(l []instance.Record) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:      c.d.settings.Instance,
		Digest:    c.table.Digest(),
		Full:      !c.hasPeers(),
		Head:      peer.FromHead(c.known.Head),
		HeadAgeMs: c.headAge(c.d.now()),
		News:      peer.FromRecords(l),
		Suspects:  peer.FromSuspects(c.suspectsToSend()),
	}
}

// hasPeers reports whether this daemon knows any other instance.
func (c *control) hasPeers() bool { return c.table.Count() > 1 }

// mergePeerHead merges the head h from the daemon at the address, and the age in
// milliseconds plus 1 that the confirmation of h had at the time t, 0 for none.
func (c *control) mergePeerHead(h change.Head, age uint32, address string, t time.Time) {
	c.mergeConfirmation(h, age, t)
	if h.Sequence <= c.known.Head.Sequence {
		return
	}
	c.headSource = address
	if c.mergeHead(h) {
		c.gossipRequested = true
	}
	c.mergeConfirmation(h, age, t)
	c.headSource = ""
}

// recordProbeFailure records that the instance of that name and incarnation
// answered neither this daemon nor others.
func (c *control) recordProbeFailure(name string, incarnation uint64) {
	for range c.table.Failed(name, incarnation, c.d.now()) {
		c.d.event(c.x, event.InstanceSuspected, slog.String("Name", name))
	}
}

// mergeResponse merges the response p of the daemon at the address to a request
// that was sent at the time sent. Ages in the response count from that time,
// because the time that the response took is not known.
func (c *control) mergeResponse(name, address string, p *peerpb.ExchangeResponse, sent time.Time) {
	c.table.Answered()
	c.mergeRecords(peer.ToRecords(p.GetNews()))
	c.mergeSuspects(peer.ToSuspects(p.GetSuspects()), "")
	if name != "" {
		c.answeredPeers[name] = true
	}
	c.mergePeerHead(peer.ToHead(p.GetHead()), p.GetHeadAgeMs(), address, sent)
	if p.GetDigest() != c.table.Digest() {
		c.reconcile(address)
	}
	c.advance()
}

// reconcile starts anti-entropy with the daemon at the address, whose table
// differs from this one: the two exchange the records of the buckets that
// differ. It does nothing while updates are pending. Then tables differ anyway,
// and during a burst of updates reconciliation would only add to the load.
func (c *control) reconcile(address string) {
	now := c.d.now()
	if c.table.HasNews() || now.Before(c.nextReconcile) {
		return
	}
	c.nextReconcile = now.Add(reconcileIntervalMin + time.Duration(c.random.Int64N(int64(reconcileIntervalMin))))
	q := c.exchangeRequest()
	q.Buckets = c.table.BucketDigests()
	c.start(func(x context.Context) {
		p, err := c.d.exchangeWith(x, exchangeTimeout, address, q)
		if err != nil {
			return
		}
		var n *peerpb.ExchangeRequest
		err = c.d.do(x, func(c *control) {
			n = c.requestWith(c.table.RecordsIn(p.GetDiffering()))
			c.mergeRecords(peer.ToRecords(p.GetNews()))
		})
		if err == nil && len(n.GetNews()) > 0 {
			_, _ = c.d.exchangeWith(x, exchangeTimeout, address, n)
		}
	})
}

// mergeRecords merges the records l into the table. Changes that calls or the
// staging of changes depend on are gossiped at once. Suspicions and refutations
// are piggybacked on probes only: an overload causes many of them, and gossiping
// them would add to it.
func (c *control) mergeRecords(l []instance.Record) {
	s := c.table.Self()
	for _, r := range c.table.Merge(l, c.d.now()) {
		if r.Name == s.Name {
			c.d.event(c.x, event.RefutedSuspicion)
			continue
		}
		c.d.event(c.x, event.InstanceChanged, slog.String("Name", r.Name), slog.String("State", r.State.String()), slog.Int("Health", int(r.Health)))
		c.markChanged()
	}
}

// gossip sends the pending updates to a few peers immediately, so that a change
// of state reaches the whole fleet within some round trips. With probes alone it
// would take some seconds.
func (c *control) gossip() {
	for _, r := range c.table.GossipTargets(c.random, gossipPeers) {
		c.exchange(r.Name, r.PeerAddress, r.Incarnation)
	}
}

// Exchange implements peerpb.PeerServiceHandler. It merges the updates of the
// request, probes the address that the request may name, and returns updates.
func (d *Daemon) Exchange(x context.Context, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	var p *peerpb.ExchangeResponse
	var n *peerpb.ExchangeRequest
	err := d.do(x, func(c *control) {
		p = c.respond(q)
		if q.GetProbeAddress() != "" {
			n = c.exchangeRequest()
		}
	})
	if err != nil || n == nil {
		return p, err
	}
	_, err = d.exchangeWith(x, exchangeTimeout, q.GetProbeAddress(), n)
	p.Probed = err == nil
	return p, nil
}

// respond merges the request q and returns the response to it.
func (c *control) respond(q *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	c.mergeRecords(peer.ToRecords(q.GetNews()))
	c.mergeSuspects(peer.ToSuspects(q.GetSuspects()), "")
	var from string
	if r, _, ok := c.table.Get(q.GetFrom()); ok {
		from = r.PeerAddress
	}
	c.mergePeerHead(peer.ToHead(q.GetHead()), q.GetHeadAgeMs(), from, c.d.now())
	p := &peerpb.ExchangeResponse{Digest: c.table.Digest(), Head: peer.FromHead(c.known.Head), HeadAgeMs: c.headAge(c.d.now())}
	if q.GetFull() {
		p.Suspects = peer.FromSuspects(c.suspects.All())
		p.News = peer.FromRecords(c.table.All())
		return p
	}
	p.Suspects = peer.FromSuspects(c.suspectsToSend())
	n := c.table.News()
	if len(q.GetBuckets()) > 0 {
		p.Differing = c.table.Differing(q.GetBuckets())
		n = c.table.RecordsIn(p.GetDiffering())
	}
	// An instance that is suspected or considered dead needs its record here to
	// refute it.
	if r, _, ok := c.table.Get(q.GetFrom()); ok && r.Health != instance.Alive {
		n = append(n, r)
	}
	p.News = peer.FromRecords(n)
	return p
}

// Fetch implements peerpb.PeerServiceHandler. The response is empty if the
// content is not kept here, and a delta if the base of the request is kept.
func (d *Daemon) Fetch(x context.Context, q *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	var k, b *content
	err := d.do(x, func(c *control) {
		k = c.retained(q.GetContent())
		b = c.retained(q.GetBase())
	})
	if err != nil {
		return nil, err
	}
	if k == nil {
		return &peerpb.FetchResponse{}, nil
	}
	if b != nil {
		z, err := k.delta(b)
		return &peerpb.FetchResponse{Compressed: z, Delta: true}, err
	}
	z, err := k.compressed()
	return &peerpb.FetchResponse{Compressed: z}, err
}
