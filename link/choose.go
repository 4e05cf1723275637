package link

import (
	"math/rand/v2"
	"slices"
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

// Candidates are the ready instances of one service, those of the own site
// first. They are immutable.
type Candidates struct {
	all  []Candidate
	near int
}

// NewCandidates orders l, which it keeps.
func NewCandidates(l []Candidate) Candidates {
	c := Candidates{all: make([]Candidate, 0, len(l))}
	for _, v := range l {
		if v.SameSite {
			c.all = append(c.all, v)
		}
	}
	c.near = len(c.all)
	for _, v := range l {
		if !v.SameSite {
			c.all = append(c.all, v)
		}
	}
	return c
}

// Len returns how many candidates there are.
func (c Candidates) Len() int { return len(c.all) }

// Choose returns the candidate for the next attempt, or nil. Candidates named
// in tried are left out. Of two picked at random from the own site the less
// loaded wins; when it has no slot free, two of all sites compete with it, so
// that load spills over only once the near ones are full.
func (c Candidates) Choose(r *rand.Rand, tried []string) *Candidate {
	n := c.best(r, 0, c.near, tried)
	if n != nil && n.Peer.Load() < n.Slots {
		return n
	}
	f := c.best(r, c.near, len(c.all), tried)
	if n == nil || f != nil && f.share() < n.share() {
		return f
	}
	return n
}

// best picks two from all[from:to] and returns the one with the smaller share
// of its slots taken.
func (c Candidates) best(r *rand.Rand, from, to int, tried []string) *Candidate {
	if to <= from {
		return nil
	}
	a := c.pick(r.IntN(to-from), from, to, tried)
	b := c.pick(r.IntN(to-from), from, to, tried)
	if a == nil || b != nil && b.share() < a.share() {
		return b
	}
	return a
}

// pick returns the candidate at i, or the next one that was not tried.
func (c Candidates) pick(i, from, to int, tried []string) *Candidate {
	for k := range to - from {
		v := &c.all[from+(i+k)%(to-from)]
		if !slices.Contains(tried, v.Name) {
			return v
		}
	}
	return nil
}

func (c *Candidate) share() float64 { return float64(c.Peer.Load()) / float64(max(1, c.Slots)) }
