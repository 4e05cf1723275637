package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// groupMax is the greatest number of daemons that report to one aggregator.
	groupMax = 32
	// avoidTimeFirst is how long an aggregator that did not answer once is passed over, and
	// avoidTime for how long one that did so again within avoidMemory.
	avoidTimeFirst = 700 * time.Millisecond
	avoidTime      = 4 * time.Second
	avoidMemory    = 10 * time.Second
)

// Member is an instance that shares the quotas.
type Member struct {
	Name    string
	Site    string
	Address string
	Fit     bool // whether it may be an aggregator: neither dead nor leaving
}

// Members are the instances that share the quotas, as one daemon knows them. The zero
// value has none.
type Members struct {
	all    []Member
	bySite map[string][]Member // fit members by rank
}

// NewMembers returns the members in l. The members of a site are ranked by rendezvous
// hashing, so that all daemons rank them the same.
func NewMembers(l []Member) Members {
	m := Members{all: l, bySite: make(map[string][]Member)}
	for _, v := range l {
		if v.Fit {
			m.bySite[v.Site] = append(m.bySite[v.Site], v)
		}
	}
	for _, s := range m.bySite {
		slices.SortFunc(s, func(a, b Member) int {
			return cmp.Or(cmp.Compare(weight(b.Name), weight(a.Name)), cmp.Compare(a.Name, b.Name))
		})
	}
	return m
}

func weight(name string) uint64 { return xxh3.HashStringSeed(name, xxh3.HashString("quota")) }

// Count returns the number of members.
func (m Members) Count() int { return len(m.all) }

// Get returns the member of that name.
func (m Members) Get(name string) (Member, bool) {
	i := slices.IndexFunc(m.all, func(v Member) bool { return v.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return m.all[i], true
}

// Avoided are the members that did not answer lately. It is not safe for concurrent use.
// The zero value avoids none.
type Avoided struct{ members map[string]avoidance }

type avoidance struct{ since, end time.Time }

// Add avoids the named member. A message that is lost once costs little; a member that is
// unresponsive again is passed over for longer.
func (a *Avoided) Add(name string, now time.Time) {
	if a.members == nil {
		a.members = make(map[string]avoidance)
	}
	for k, v := range a.members {
		if now.Sub(v.since) > avoidMemory {
			delete(a.members, k)
		}
	}
	t := avoidTimeFirst
	if _, ok := a.members[name]; ok {
		t = avoidTime
	}
	a.members[name] = avoidance{now, now.Add(t)}
}

func (a *Avoided) has(name string, now time.Time) bool { return now.Before(a.members[name].end) }

// aggregators returns the aggregators of the site: one for each groupMax members, the
// first by rank that are not avoided.
func (m Members) aggregators(site string, a *Avoided, now time.Time) []Member {
	l := m.bySite[site]
	n := (len(l) + groupMax - 1) / groupMax
	r := make([]Member, 0, n)
	for _, v := range l {
		if len(r) < n && !a.has(v.Name, now) {
			r = append(r, v)
		}
	}
	if len(r) == 0 {
		return l[:n] // all are avoided
	}
	return r
}

// Aggregator returns the aggregator to which the named member of the site reports, or
// false if the site has none.
func (m Members) Aggregator(site, name string, a *Avoided, now time.Time) (Member, bool) {
	l := m.aggregators(site, a, now)
	if len(l) == 0 {
		return Member{}, false
	}
	return l[weight(name)%uint64(len(l))], true
}

// Others returns the aggregators of all sites to which the named one sends its counts: the
// first by rank, and those that sent a report lately.
func (m Members) Others(name string, senders []string, a *Avoided, now time.Time) []Member {
	seen := map[string]bool{name: true}
	var r []Member
	for s := range m.bySite {
		for _, v := range m.aggregators(s, a, now) {
			if !seen[v.Name] {
				seen[v.Name] = true
				r = append(r, v)
			}
		}
	}
	for _, n := range senders {
		if v, ok := m.Get(n); ok && !seen[n] {
			seen[n] = true
			r = append(r, v)
		}
	}
	slices.SortFunc(r, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return r
}
