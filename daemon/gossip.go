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
	indirectPeers = 3
	mismatchesMax = 3
	fullTime      = 20 * time.Millisecond // between two swaps of whole tables, for each record
	fullTimeMin   = 500 * time.Millisecond
	fullTimeMax   = 10 * time.Second
)

// exchange probes an instance and swaps news with it. When it does not answer,
// others are asked to try; only if none of them reaches it is it suspected, at
// the incarnation that was probed.
func (c *control) exchange(name, address string, incarnation uint64) {
	q := c.exchangeRequest()
	t := exchangeTime * time.Duration(c.table.Patience())
	c.start(func(x context.Context) {
		p, err := c.d.ask(x, t, address, q)
		if err == nil {
			_ = c.d.do(x, func(c *control) { c.exchanged(name, p) })
			return
		}
		if incarnation > 0 && !c.d.probeIndirectly(x, t, name, address) {
			_ = c.d.do(x, func(c *control) { c.failed(name, incarnation) })
		}
	})
}

// ask swaps news with the daemon at the address within the time t.
func (d *Daemon) ask(x context.Context, t time.Duration, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
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
			p, err := d.ask(x, 2*t, r.PeerAddress, q)
			done <- err == nil && p.GetProbed()
		}()
	}
	ok := false
	for range l {
		ok = <-done || ok
	}
	return ok
}

// exchangeRequest returns what goes to the next peer: the whole table when
// digests have differed for a while, the news otherwise.
func (c *control) exchangeRequest() *peerpb.ExchangeRequest {
	q := &peerpb.ExchangeRequest{
		From:   c.d.settings.Instance,
		Digest: c.table.Digest(),
		Full:   c.wantsFull(c.d.now()),
		Head:   peer.FromHead(c.head),
	}
	if q.Full {
		q.News = peer.FromRecords(c.table.All())
		return q
	}
	q.News = peer.FromRecords(append(c.table.News(), c.table.Self()))
	return q
}

// wantsFull tells whether to swap whole tables. In a storm digests differ all
// the time, and whole tables would feed it: they are spaced out.
func (c *control) wantsFull(now time.Time) bool {
	if !c.joined() {
		return true
	}
	if c.mismatches < mismatchesMax || now.Before(c.fullAt) {
		return false
	}
	c.mismatches = 0
	w := min(max(fullTime*time.Duration(c.table.Count()), fullTimeMin), fullTimeMax)
	c.fullAt = now.Add(w/2 + time.Duration(c.random.Int64N(int64(w))))
	return true
}

// joined tells whether this daemon knows any other.
func (c *control) joined() bool { return c.table.Count() > 1 }

func (c *control) failed(name string, incarnation uint64) {
	for range c.table.Failed(name, incarnation, c.d.now()) {
		c.d.event(c.x, event.InstanceSuspected, slog.String("Name", name))
	}
}

func (c *control) exchanged(name string, p *peerpb.ExchangeResponse) {
	c.table.Answered()
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

// absorb takes in news of instances. What calls or changes depend on is passed
// on at once; suspicions and their refutations travel with the probes, or they
// would feed the very overload that caused them.
func (c *control) absorb(l []instance.Record) {
	s := c.table.Self()
	for _, r := range c.table.Merge(l, c.d.now()) {
		if r.Name == s.Name {
			c.d.event(c.x, event.RefutedSuspicion)
			continue
		}
		c.d.event(c.x, event.InstanceChanged, slog.String("Name", r.Name), slog.String("State", r.State.String()), slog.Int("Health", int(r.Health)))
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
	var n *peerpb.ExchangeRequest
	err := d.do(x, func(c *control) {
		p = c.answer(q)
		n = c.exchangeRequest()
	})
	if err != nil || q.GetProbeAddress() == "" {
		return p, err
	}
	_, err = d.ask(x, exchangeTime, q.GetProbeAddress(), n)
	p.Probed = err == nil
	return p, nil
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
