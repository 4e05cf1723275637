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
	exchangeTimeout   = time.Second
	gossipPeers       = 3
	indirectPeers     = 3
	reconcileInterval = 300 * time.Millisecond // between two repairs
)

// exchange probes an instance and swaps news with it. When it does not answer,
// others are asked to try; only if none of them reaches it is it suspected, at
// the incarnation that was probed.
func (c *control) exchange(name, address string, incarnation uint64) {
	q := c.exchangeRequest()
	t := exchangeTimeout * time.Duration(c.table.Patience())
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

// exchangeWith swaps news with the daemon at the address within the time t.
func (d *Daemon) exchangeWith(x context.Context, t time.Duration, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	x, stop := context.WithTimeout(x, t)
	defer stop()
	return d.peers.Exchange(x, address, q)
}

// probeIndirectly tells whether any of a few others reaches the daemon at the
// address, which is then cut off from this one and not dead.
func (d *Daemon) probeIndirectly(x context.Context, t time.Duration, name, address string) bool {
	var l []instance.Record
	var q *peerpb.ExchangeRequest
	err := d.do(x, func(c *control) {
		l = c.table.Some(c.random, indirectPeers, name)
		q = c.exchangeRequest()
		q.ProbeAddress = address
	})
	if err != nil {
		return true // nothing is known of it: this daemon is stopping
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

// exchangeRequest returns what goes to the next peer: the news, and for the
// first peer of all everything, which is only this instance.
func (c *control) exchangeRequest() *peerpb.ExchangeRequest {
	return c.requestWith(append(c.table.News(), c.table.Self()))
}

// requestWith returns a request that carries the records l. It draws no news:
// news that is drawn counts as handed out.
func (c *control) requestWith(l []instance.Record) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:      c.d.settings.Instance,
		Digest:    c.table.Digest(),
		Full:      !c.joined(),
		Head:      peer.FromHead(c.known.Head),
		HeadAgeMs: c.headAge(c.d.now()),
		News:      peer.FromRecords(l),
		Suspects:  peer.FromSuspects(c.suspectsToSend()),
	}
}

// joined tells whether this daemon knows any other.
func (c *control) joined() bool { return c.table.Count() > 1 }

// mergePeerHead takes in the head that the daemon at the address told of, and the age
// that its confirmation had at the time t.
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

func (c *control) recordProbeFailure(name string, incarnation uint64) {
	for range c.table.Failed(name, incarnation, c.d.now()) {
		c.d.event(c.x, event.InstanceSuspected, slog.String("Name", name))
	}
}

// mergeResponse takes in the answer to a request that was sent at that time: how
// long it was on the way is not known.
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

// reconcile brings two tables together that differ although no news is on its way
// that would explain it: the parts that differ are swapped. While there is
// news, as in a storm, tables always differ, and repairs would only feed it.
func (c *control) reconcile(address string) {
	now := c.d.now()
	if c.table.Pending() || now.Before(c.nextReconcile) {
		return
	}
	c.nextReconcile = now.Add(reconcileInterval + time.Duration(c.random.Int64N(int64(reconcileInterval))))
	q := c.exchangeRequest()
	q.Buckets = c.table.BucketDigests()
	c.start(func(x context.Context) {
		p, err := c.d.exchangeWith(x, exchangeTimeout, address, q)
		if err != nil {
			return
		}
		var n *peerpb.ExchangeRequest
		err = c.d.do(x, func(c *control) {
			n = c.requestWith(c.table.In(p.GetDiffering()))
			c.mergeRecords(peer.ToRecords(p.GetNews()))
		})
		if err == nil && len(n.GetNews()) > 0 {
			_, _ = c.d.exchangeWith(x, exchangeTimeout, address, n)
		}
	})
}

// mergeRecords takes in news of instances. What calls or changes depend on is passed
// on at once; suspicions and their refutations travel with the probes, or they
// would feed the very overload that caused them.
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

// gossip sends the news to a few peers at once, so that a change of state
// crosses the fleet in some round trips and not in some seconds.
func (c *control) gossip() {
	for _, r := range c.table.Near(c.random, gossipPeers) {
		c.exchange(r.Name, r.PeerAddress, r.Incarnation)
	}
}

// Exchange implements peerpb.PeerServiceHandler.
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
		n = c.table.In(p.GetDiffering())
	}
	// One that is believed suspect or dead and asks must hear it to refute it.
	if r, _, ok := c.table.Get(q.GetFrom()); ok && r.Health != instance.Alive {
		n = append(n, r)
	}
	p.News = peer.FromRecords(n)
	return p
}

// Fetch implements peerpb.PeerServiceHandler.
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
