package link

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// OtherSiteCost is the default cost of sending a request to another site: an
	// instance at this site is chosen although the request is expected to take up
	// to this much longer there.
	OtherSiteCost = 20 * time.Millisecond
	// serviceTimeDefault is assumed for every instance while the service time of
	// none is known.
	serviceTimeDefault = 50 * time.Millisecond
	// unknownTimeFactor is the share of the candidates' mean service time that is
	// assumed for an instance whose own is unknown. It is below 1 so that such an
	// instance gets requests and its service time becomes known.
	unknownTimeFactor = 0.8
	// ejectedCost is added to the cost of an instance that is ejected or
	// unresponsive.
	ejectedCost = 10 * time.Second
	// comparedMax bounds the candidates of this site that a choice compares, and
	// likewise those of other sites. Many daemons choose by stale load reports:
	// the more candidates each compares, the more of them choose the same one.
	comparedMax = 2
	// meanCandidatesMax bounds the candidates over which the mean service time of
	// a kind is taken.
	meanCandidatesMax = 8
	// lateCostGoals is the cost of a request that misses its latency target, as a
	// multiple of the target: a slow instance then gets the kinds that have time, and
	// the fast ones are left to those that have none. It is below 1, since an instance
	// of another site has a price.
	lateCostGoals = 0.5
	// fullCostFactor is the cost of a full instance, as a multiple of the cost of
	// another site. It is above 1, so that no request waits at this site while another
	// one has a free slot: it would delay all that come after it.
	fullCostFactor = 2
	// occupancyCostShare is the share of its service time that is added to the
	// cost of an instance when all its slots are taken and no request waits.
	occupancyCostShare = 0.25
)

// Candidate is a ready instance of a service as this daemon sees it.
type Candidate struct {
	Name     string
	Address  string // of its link listener
	Slots    int64  // requests that its worker runs at a time
	Local    bool   // whether it is this daemon's own instance
	SameSite bool   // whether it is at this daemon's site
	Peer     *Peer
}

// freshLoadAgeMax is the age up to which a load report is taken as the current load.
const freshLoadAgeMax = 100 * time.Millisecond

// MayHaveRoom reports whether c may have a free slot at now although other has just
// rejected a request. It is false only if the load report of c is fresh and shows
// at least as many requests per slot as other has: when all instances are
// overloaded, another attempt costs both daemons and is rejected too.
func (c *Candidate) MayHaveRoom(other *Candidate, now time.Time) bool {
	n := instantOf(now)
	if c.Peer.reportedAt.age(n) > freshLoadAgeMax {
		return true
	}
	if c.Peer.rateLimit() > 0 || other.Peer.rateLimit() > 0 {
		return c.Peer.rateWait(n) == 0 // slots do not show how full an instance with a rate limit is
	}
	return c.Peer.load(n)*max(1, other.Slots) < other.Peer.load(n)*max(1, c.Slots)
}

// HasFreeSlot reports whether the instance is estimated to have a free slot at now
// that its rate limit lets it use.
func (c *Candidate) HasFreeSlot(now time.Time) bool {
	return c.Peer.Load(now) < c.Slots && c.Peer.rateWait(instantOf(now)) == 0
}

// cost returns the expected time of a request at the instance: the wait for a slot,
// estimated from the service time of all kinds, or for the rate limit, whichever is
// longer, and the service time of its kind. It adds lateCost, a share of the service
// time for occupied slots, the cost of a full instance, q.Far for an instance at another
// site, and ejectedCost for one that is ejected or unresponsive. The less is known of the service
// time of this kind, the more mean replaces it. With the service time of all kinds in
// its place, an instance that runs mostly short requests would look fast for long ones.
func (c *Candidate) cost(now instant, q *Request, s *kindStats, mean time.Duration, avoided bool) time.Duration {
	h := weightedMean(mean)(s.serviceTime(now))
	slots := float64(max(1, c.Slots))
	age := c.Peer.reportedAt.age(now)
	load := c.Peer.expectedLoadAt(age)
	var w time.Duration
	if load+1 > slots || c.Peer.rateLimitMilli.Load() != 0 {
		w = c.waitUnder(load, now, h)
	}
	d := h + w + lateCost(h, q.Goal, w)
	// Of two instances with free slots, the less loaded one is preferred: its
	// slots are more likely to be free still.
	d += time.Duration(float64(h) * min(load, slots) / slots * occupancyCostShare)
	d += time.Duration(fullCostFactor * float64(q.Far) * fullness(load, slots, age))
	if !c.isNear() {
		d += q.Far
	}
	if avoided {
		d += ejectedCost
	}
	return d
}

// lateCost returns the cost of the chance that a request with the mean service time h
// misses the latency target goal after the given wait; 0 without a target.
func lateCost(h, goal, wait time.Duration) time.Duration {
	if goal <= 0 {
		return 0
	}
	return time.Duration(lateCostGoals * float64(goal) * lateChance(float64(h), float64(goal-wait)))
}

// lateChance returns the chance that a request takes longer than the time left. Service
// times have long tails: they are taken as log-logistic, of which half lie below 0.8 of
// the mean and one in 17 takes twice the mean or longer.
func lateChance(mean, left float64) float64 {
	if left <= 0 {
		return 1
	}
	m := mean * mean * mean
	return m / (m + 2*left*left*left)
}

// fullness returns how sure it is that an instance with the given slots is full under
// the given load, from 0 to 1. Only a report whose age is below freshLoadAgeMax counts:
// an instance seen full some time ago is full no more often than others.
func fullness(load, slots float64, age time.Duration) float64 {
	f := min(1, load+1-slots)
	if f <= 0 || age >= freshLoadAgeMax {
		return 0
	}
	return f * (1 - float64(max(0, age))*(1/float64(freshLoadAgeMax)))
}

// wait returns the time that a request whose service time is h is expected to wait at
// the instance for a slot or for the rate limit, whichever takes longer.
func (c *Candidate) wait(now instant, h time.Duration) time.Duration {
	return c.waitUnder(c.Peer.expectedLoad(now), now, h)
}

// waitUnder is wait under the given load.
func (c *Candidate) waitUnder(load float64, now instant, h time.Duration) time.Duration {
	var wait time.Duration
	slots := float64(max(1, c.Slots))
	if n := load + 1 - slots; n > 0 {
		wait = time.Duration(float64(weightedMean(h)(c.Peer.serviceTime(now))) * n / slots)
	}
	return max(wait, c.Peer.rateWait(now))
}

// ExpectedTime returns the time that a request of the kind is expected to take at k
// from now, its wait included, or 0 if the service time of the kind is not known of
// any of the candidates.
func (c Candidates) ExpectedTime(k *Candidate, kind string, now time.Time) time.Duration {
	n := instantOf(now)
	mean := c.kindServiceTime(kind, n)
	if mean == 0 {
		return 0
	}
	h := weightedMean(mean)(k.Peer.kindServiceTime(kind, n))
	return h + k.wait(n, h)
}

// Candidates holds the ready instances of one service, those of this site first.
// It is immutable.
type Candidates struct {
	all  []Candidate
	near int // number of candidates at this site, which come first in all

	tables *kindMap[kindTable] // nil for no candidates
}

// NewCandidates returns the candidates of l. It retains l and sorts it in place.
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
	return Candidates{all: l, near: n, tables: &kindMap[kindTable]{}}
}

// isNear reports whether the candidate is this daemon's own instance or at its site.
func (c *Candidate) isNear() bool { return c.Local || c.SameSite }

// Len returns the number of candidates.
func (c Candidates) Len() int { return len(c.all) }

// weightedMean returns a function that averages a time t of the given weight,
// from 0 to 1, with mean, which gets the rest of the weight.
func weightedMean(mean time.Duration) func(t time.Duration, weight float64) time.Duration {
	return func(t time.Duration, weight float64) time.Duration {
		return mean + time.Duration(weight*float64(t-mean))
	}
}

// KindServiceTime returns the mean service time of requests of the kind at the
// first meanCandidatesMax instances for which it is known at now, weighted by the
// age of their reports, or 0 if it is known for none.
func (c Candidates) KindServiceTime(kind string, now time.Time) time.Duration {
	return c.kindServiceTime(kind, instantOf(now))
}

// table returns the table of the kind, taken up to kindTableAgeMax ago; c must not be
// empty.
func (c Candidates) table(kind string, now instant) *kindTable {
	t := c.tables.of(kind)
	if a := t.takenAt.age(now); a >= 0 && a < kindTableAgeMax {
		return t
	}
	h := c.kindServiceTime(kind, now)
	t.nanos.Store(int64(h))
	// While it is unknown, the first time that is reported must count at once: unknown
	// instances would look slower than the first one that answers.
	if h > 0 {
		t.takenAt.set(now)
	}
	return t
}

func (c Candidates) kindServiceTime(kind string, now instant) time.Duration {
	var sum, weight float64
	n := 0
	for i := range c.all {
		if h, w := c.all[i].Peer.kindServiceTime(kind, now); w > 0 {
			sum += w * float64(h)
			weight += w
			if n++; n == meanCandidatesMax {
				break
			}
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / weight)
}

// Request describes a request for which a candidate is chosen.
type Request struct {
	Kind  string        // requests of one kind have about the same service time
	Goal  time.Duration // until its latency target, 0 or less for none that can be met
	Far   time.Duration // cost of a candidate at another site, since bytes between data centres have a price
	Tried []string      // names of the candidates that are left out
	// Usable reports whether a candidate may be chosen; nil if each may.
	Usable func(k *Candidate) bool
}

// Choose is ChooseFor for a request without a latency target.
func (c Candidates) Choose(now time.Time, kind string, r *rand.Rand, tried []string, far time.Duration) *Candidate {
	return c.ChooseFor(now, &Request{Kind: kind, Tried: tried, Far: far}, r)
}

// ChooseFor returns the candidate for the next attempt of the request q at now, or nil
// if there is none.
//
// The candidate with the lowest cost is chosen, which evens out uneven load between
// sites and instances of unequal speed. Only comparedMax random candidates of this site
// and as many of other sites are compared, so that many daemons with the same load
// reports do not all choose the same one.
func (c Candidates) ChooseFor(now time.Time, q *Request, r *rand.Rand) *Candidate {
	if len(c.all) == 0 {
		return nil
	}
	b := choice{now: instantOf(now), mean: serviceTimeDefault}
	t := c.table(q.Kind, b.now)
	if h := t.nanos.Load(); h > 0 {
		b.mean = time.Duration(unknownTimeFactor * float64(h))
	}
	s := t.statsOf(len(c.all))
	b.scan(c.all[:c.near], s[:c.near], q, r)
	b.scan(c.all[c.near:], s[c.near:], q, r)
	return b.candidate
}

// choice is the state of a choice: the candidate with the lowest cost so far.
type choice struct {
	now       instant
	mean      time.Duration
	candidate *Candidate
	cost      time.Duration
}

// scan compares up to comparedMax candidates of l that q may use, starting at a random one;
// s holds their statistics of the request's kind.
func (b *choice) scan(l []Candidate, s []atomic.Pointer[kindStats], q *Request, r *rand.Rand) {
	n := len(l)
	if n == 0 {
		return
	}
	first, compared := r.IntN(n), 0
	for i := range n {
		j := first + i
		if j >= n {
			j -= n
		}
		k := &l[j]
		if slices.Contains(q.Tried, k.Name) || q.Usable != nil && !q.Usable(k) {
			continue
		}
		avoided := k.Peer.ejected(b.now) || k.Peer.unresponsive(b.now)
		if d := k.cost(b.now, q, knownStats(&s[j], k, q.Kind), b.mean, avoided); b.candidate == nil || d < b.cost {
			b.candidate, b.cost = k, d
		}
		// An ejected or unresponsive candidate does not count towards
		// comparedMax, so that it is chosen only if there is no other.
		if avoided {
			continue
		}
		if compared++; compared == comparedMax {
			return
		}
	}
}
