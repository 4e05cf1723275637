package instance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"figwheel/instance"
)

// spread plays how a change of one instance reaches a fleet, in rounds: each
// daemon that learnt something sends its news to three others, which answer
// with theirs. It returns the share of daemons that know of it in the end and
// how often it was told for each daemon.
func spread(daemons, sites int, seed uint64) (reached, told float64, rounds int) {
	r := rand.New(rand.NewPCG(seed, 1))
	all := make([]instance.Record, daemons)
	tables := make(map[string]*instance.Table, daemons)
	for i := range all {
		all[i] = instance.Record{Name: fmt.Sprintf("i-%03d", i), Incarnation: 1, Site: fmt.Sprintf("s-%d", i%sites), State: instance.Ready}
	}
	for _, m := range all {
		t := instance.New(m, start)
		t.Merge(all, start)
		for t.Pending() {
			t.News()
		}
		tables[m.Name] = t
	}
	n := all[0]
	n.State = instance.Draining
	tables[n.Name].SetSelf(n, start)
	eager := []string{n.Name}
	now := start
	for ; len(eager) > 0; rounds++ {
		now = now.Add(time.Second)
		var next []string
		for _, a := range eager {
			for _, p := range tables[a].Near(r, 3) {
				q := tables[a].News()
				told += float64(len(q))
				if len(tables[p.Name].Merge(q, now)) > 0 {
					next = append(next, p.Name)
				}
				b := tables[p.Name].News()
				told += float64(len(b))
				if len(tables[a].Merge(b, now)) > 0 {
					next = append(next, a)
				}
			}
		}
		eager = next
	}
	know := 0
	for _, t := range tables {
		if m, _, _ := t.Get(n.Name); m.State == n.State {
			know++
		}
	}
	return float64(know) / float64(daemons), told / float64(daemons), rounds
}

// TestNewsReachesNearlyAll spreads one change at once, without probes. Nearly
// every daemon learns of it; probes and digests bring it to the rest. What each
// daemon is told does not grow with the fleet.
func TestNewsReachesNearlyAll(t *testing.T) {
	const (
		reachedMin = 0.9
		toldMax    = 8
		seeds      = 5
	)
	for _, n := range []struct{ daemons, sites int }{{12, 4}, {77, 4}, {295, 6}} {
		var reached, told float64
		for s := range uint64(seeds) {
			a, b, _ := spread(n.daemons, n.sites, s)
			reached += a / seeds
			told += b / seeds
		}
		if reached < reachedMin || told > toldMax {
			t.Errorf("%d daemons: reached %.3f, told %.1f times each; want %.1f and at most %d", n.daemons, reached, told, reachedMin, toldMax)
		}
	}
}
