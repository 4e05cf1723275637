package daemon

import (
	"context"
	"log/slog"
	"time"

	"figwheel/event"
	"figwheel/instance"
	"figwheel/peer"
	"figwheel/peer/peerpb"
)

const (
	exchangeTime  = time.Second
	eagerPeers    = 3
	mismatchesMax = 3
)

// exchange probes an instance and swaps news with it. A silent one becomes
// suspected at the incarnation that was probed.
func (c *control) exchange(name, address string, incarnation uint64) {
	q := c.exchangeRequest()
	c.start(func(x context.Context) {
		y, stop := context.WithTimeout(x, exchangeTime)
		defer stop()
		p, err := c.d.peers.Exchange(y, address, q)
		_ = c.d.do(x, func(c *control) {
			if err != nil {
				c.failed(name, incarnation)
				return
			}
			c.exchanged(name, p)
		})
	})
}

// exchangeRequest returns what goes to the next peer: the whole table when
// digests have differed for a while, the news otherwise.
func (c *control) exchangeRequest() *peerpb.ExchangeRequest {
	q := &peerpb.ExchangeRequest{
		From:   c.d.settings.Instance,
		Digest: c.table.Digest(),
		Full:   c.mismatches >= mismatchesMax || !c.joined(),
		Head:   peer.FromHead(c.head),
	}
	if q.Full {
		c.mismatches = 0
		q.News = peer.FromRecords(c.table.All())
		return q
	}
	q.News = peer.FromRecords(append(c.table.News(), c.table.Self()))
	return q
}

// joined tells whether this daemon knows any other.
func (c *control) joined() bool { return len(c.table.Live()) > 1 }

func (c *control) failed(name string, incarnation uint64) {
	for range c.table.Failed(name, incarnation, c.d.now()) {
		c.d.event(c.x, event.InstanceSuspected, slog.String("Name", name))
		c.news()
	}
}

func (c *control) exchanged(name string, p *peerpb.ExchangeResponse) {
	c.absorb(peer.ToRecords(p.GetNews()))
	if name != "" {
		c.answered[name] = true
	}
	if c.observe(peer.ToHead(p.GetHead())) {
		c.eager = true
	}
	if p.GetDigest() == c.table.Digest() {
		c.mismatches = 0
	} else {
		c.mismatches++
	}
	c.advance()
}

// absorb takes in news of instances and passes on what was new.
func (c *control) absorb(l []instance.Record) {
	s := c.table.Self()
	f := c.table.Merge(l, c.d.now())
	for _, r := range f {
		if r.Name == s.Name {
			c.d.event(c.x, event.RefutedSuspicion)
			continue
		}
		c.d.event(c.x, event.InstanceChanged, slog.String("Name", r.Name), slog.String("State", r.State.String()), slog.Int("Health", int(r.Health)))
	}
	if len(f) > 0 {
		c.news()
	}
}

// spreadNews sends the news to a few peers at once, so that a change of state
// crosses the fleet in some round trips and not in some seconds.
func (c *control) spreadNews() {
	for _, r := range c.table.Some(c.random, eagerPeers, "") {
		c.exchange(r.Name, r.PeerAddress, r.Incarnation)
	}
}

// Exchange implements peerpb.PeerServiceHandler.
func (d *Daemon) Exchange(x context.Context, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	var p *peerpb.ExchangeResponse
	err := d.do(x, func(c *control) { p = c.answer(q) })
	return p, err
}

func (c *control) answer(q *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	c.absorb(peer.ToRecords(q.GetNews()))
	if c.observe(peer.ToHead(q.GetHead())) {
		c.eager = true
	}
	p := &peerpb.ExchangeResponse{Digest: c.table.Digest(), Head: peer.FromHead(c.head)}
	if q.GetFull() {
		p.News = peer.FromRecords(c.table.All())
		return p
	}
	n := c.table.News()
	// One that is believed suspect or dead and asks must hear it to refute it.
	if r, _, ok := c.table.Get(q.GetFrom()); ok && r.Health != instance.Alive {
		n = append(n, r)
	}
	p.News = peer.FromRecords(n)
	return p
}

// Fetch implements peerpb.PeerServiceHandler.
func (d *Daemon) Fetch(x context.Context, q *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	var k *content
	if err := d.do(x, func(c *control) { k = c.contents[q.GetContent()] }); err != nil {
		return nil, err
	}
	if k == nil {
		return &peerpb.FetchResponse{}, nil
	}
	z, err := k.compressed()
	return &peerpb.FetchResponse{Compressed: z}, err
}
