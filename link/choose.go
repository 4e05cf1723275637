package link

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// FarCost is what another site costs a request of which nothing is known: so
	// much longer may it take at a near instance before a far one is chosen.
	FarCost = 20 * time.Millisecond
	// holdFirst stands for the time at an instance while that of none is known.
	holdFirst = 50 * time.Millisecond
	// unprobedDiscount is the share of the others' mean time that stands for an
	// instance whose own is not known, so that it is tried.
	unprobedDiscount = 0.8
	// avoidedCost is added for an instance that is ejected or unresponsive.
	avoidedCost = 10 * time.Second
	// compared is how many near candidates a choice compares at most, and how
	// many far ones. Many daemons choose by old news: the more candidates each
	// compares, the more of them choose the same one.
	compared = 2
	// known is how many candidates the mean time of a kind is taken over.
	known = 8
	// emptyShare is the part of its work by which an instance with all slots
	// taken is dearer than an empty one, before anybody waits there.
	emptyShare = 0.25
)

// Candidate is one ready instance of a service as this daemon sees it.
type Candidate struct {
	Name     string
	Address  string // of its link listener
	Slots    int64
	Local    bool // the worker beside this daemon
	SameSite bool
	Peer     *Peer
}

// freshTime is the age up to which a reported load is about what it is now.
const freshTime = 100 * time.Millisecond

// Emptier tells whether the instance may have room after the other one refused
// for want of it: unless it was heard of lately and has as many requests for its
// slots. In an overload of all, an ask costs both sides and gets another refusal.
func (c *Candidate) Emptier(other *Candidate, now time.Time) bool {
	n := at(now)
	if c.Peer.reported.age(n) > freshTime {
		return true
	}
	return c.Peer.load(n)*max(1, other.Slots) < other.Peer.load(n)*max(1, c.Slots)
}

// Free tells whether the instance seems to have a free slot.
func (c *Candidate) Free(now time.Time) bool { return c.Peer.Load(now) < c.Slots }

// cost is how long a request of the kind would take there: the wait for a slot,
// which goes by the time of all kinds, the work, which goes by its own, and what
// the way costs, which is far for another site. The time mean is taken for the
// work as far as that is not known. A mean over all kinds alone would make the
// instance that runs the short kind look fast to the long one.
func (c *Candidate) cost(now instant, kind string, mean, far time.Duration) time.Duration {
	h := blend(mean)(c.Peer.work(kind, now))
	slots := float64(max(1, c.Slots))
	load := c.Peer.estimate(now)
	d := h
	if n := load + 1 - slots; n > 0 {
		d += time.Duration(float64(blend(h)(c.Peer.timeThere(now))) * n / slots)
	}
	// Of two that have free slots the emptier one is the safer guess.
	d += time.Duration(float64(h) * min(load, slots) / slots * emptyShare)
	if !c.isNear() {
		d += far
	}
	if c.Peer.avoided(now) || c.Peer.silent(now) {
		d += avoidedCost
	}
	return d
}

// Candidates are the ready instances of one service, the near ones first. They
// are immutable.
type Candidates struct {
	all  []Candidate
	near int // how many of them are at this site
}

// NewCandidates returns candidates; it keeps l and puts it in order.
func NewCandidates(l []Candidate) Candidates {
	slices.SortStableFunc(l, func(a, b Candidate) int {
		switch {
		case a.isNear() == b.isNear():
			return 0
		case a.isNear():
			return -1
		}
		return 1
	})
	n := slices.IndexFunc(l, func(k Candidate) bool { return !k.isNear() })
	if n < 0 {
		n = len(l)
	}
	return Candidates{all: l, near: n}
}

func (c *Candidate) isNear() bool { return c.Local || c.SameSite }

// Len returns how many candidates there are.
func (c Candidates) Len() int { return len(c.all) }

// blend returns a function that takes mean for what is not known of a time.
func blend(mean time.Duration) func(t time.Duration, weight float64) time.Duration {
	return func(t time.Duration, weight float64) time.Duration {
		return mean + time.Duration(weight*float64(t-mean))
	}
}

// Work returns the mean time that a request of the kind takes at the instances,
// as far as that is known, 0 if it is of none.
func (c Candidates) Work(kind string, now time.Time) time.Duration { return c.work(kind, at(now)) }

func (c Candidates) work(kind string, now instant) time.Duration {
	var sum, weight float64
	n := 0
	for i := range c.all {
		if h, w := c.all[i].Peer.work(kind, now); w > 0 {
			sum += w * float64(h)
			weight += w
			if n++; n == known {
				break
			}
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / weight)
}

// Choose returns the candidate for the next attempt of a request of the kind at
// now, or nil. Candidates named in tried are left out. Another site counts as so much longer as far
// says: bytes between data centres have a price. It answers a load that is
// uneven over sites and instances of unequal speed: the candidate with the least
// expected time wins, of all when they are few, otherwise of some near and some
// far ones picked at random, so that many daemons with the same news do not all
// choose the same one.
func (c Candidates) Choose(now time.Time, kind string, r *rand.Rand, tried []string, far time.Duration) *Candidate {
	b := best{now: at(now), kind: kind, far: far, tried: tried, mean: holdFirst}
	if h := c.work(kind, b.now); h > 0 {
		b.mean = time.Duration(unprobedDiscount * float64(h))
	}
	b.scan(c.all[:c.near], r)
	b.scan(c.all[c.near:], r)
	return b.candidate
}

// best is the candidate with the least expected time so far.
type best struct {
	now       instant
	kind      string
	mean, far time.Duration
	tried     []string
	candidate *Candidate
	cost      time.Duration
}

// scan compares some of l, starting at a random one.
func (b *best) scan(l []Candidate, r *rand.Rand) {
	n := len(l)
	if n == 0 {
		return
	}
	first, seen := r.IntN(n), 0
	for i := range n {
		k := &l[(first+i)%n]
		if slices.Contains(b.tried, k.Name) {
			continue
		}
		if d := k.cost(b.now, b.kind, b.mean, b.far); b.candidate == nil || d < b.cost {
			b.candidate, b.cost = k, d
		}
		// One that is avoided is taken only where there is no other.
		if k.Peer.avoided(b.now) || k.Peer.silent(b.now) {
			continue
		}
		if seen++; seen == compared {
			return
		}
	}
}
