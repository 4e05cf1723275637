package instance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"figwheel/instance"
)

// disseminate simulates the dissemination of a change of one instance, in rounds:
// each daemon that learnt something in the last round sends its news to three
// others, which reply with theirs. It returns the share of daemons that the change
// has reached in the end, the records sent per daemon and the number of rounds.
func disseminate(daemons, sites int, seed uint64) (reached, sent float64, rounds int) {
	r := rand.New(rand.NewPCG(seed, 1))
	all := make([]instance.Record, daemons)
	tables := make(map[string]*instance.Table, daemons)
	for i := range all {
		all[i] = instance.Record{Name: fmt.Sprintf("i-%03d", i), Incarnation: 1, Site: fmt.Sprintf("s-%d", i%sites), State: instance.Ready}
	}
	for _, m := range all {
		t := instance.New(m, start)
		t.Merge(all, start)
		for t.HasNews() {
			t.News()
		}
		tables[m.Name] = t
	}
	n := all[0]
	n.State = instance.Draining
	tables[n.Name].SetSelf(n, start)
	senders := []string{n.Name}
	now := start
	for ; len(senders) > 0; rounds++ {
		now = now.Add(time.Second)
		var next []string
		for _, a := range senders {
			for _, p := range tables[a].GossipTargets(r, 3) {
				q := tables[a].News()
				sent += float64(len(q))
				if len(tables[p.Name].Merge(q, now)) > 0 {
					next = append(next, p.Name)
				}
				b := tables[p.Name].News()
				sent += float64(len(b))
				if len(tables[a].Merge(b, now)) > 0 {
					next = append(next, a)
				}
			}
		}
		senders = next
	}
	informed := 0
	for _, t := range tables {
		if m, _, _ := t.Get(n.Name); m.State == n.State {
			informed++
		}
	}
	return float64(informed) / float64(daemons), sent / float64(daemons), rounds
}

// TestNewsReachesNearlyAll disseminates one change without probes and digests,
// which would bring it to the rest of the daemons. It guards against news that
// dies out early, and against a number of records sent per daemon that grows with
// the fleet.
func TestNewsReachesNearlyAll(t *testing.T) {
	const (
		reachedMin = 0.9
		sentMax    = 8
		seeds      = 5
	)
	for _, n := range []struct{ daemons, sites int }{{12, 4}, {77, 4}, {295, 6}} {
		var reached, sent float64
		for s := range uint64(seeds) {
			a, b, _ := disseminate(n.daemons, n.sites, s)
			reached += a / seeds
			sent += b / seeds
		}
		if reached < reachedMin || sent > sentMax {
			t.Errorf("%d daemons: the change reached %.3f of them with %.1f records sent per daemon; want at least %.1f and at most %d", n.daemons, reached, sent, reachedMin, sentMax)
		}
	}
}
