package daemon

import (
	"testing"
	"time"

	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/settings"
)

// TestSitesCutOff partitions two sites from each other; both reach the platform.
// It guards against a change that takes effect in only one site: while
// partitioned, both sites serve the version in force and a change is refused.
// After the partition they must agree on the membership and accept a change. The
// second case restarts one daemon of each site during the partition.
func TestSitesCutOff(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		restart bool
	}{{"no restarts", false}, {"daemons restart during the partition", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fleet{t: t, store: &platformtest.Store{}, stageLimit: settings.Duration(5 * time.Second)}
			f.startAll(2, 6)
			if p := last(f.submit(0, "c1", bundle(2, 2, 1))); p.step != stepInForce {
				t.Fatal(p.step, p.err)
			}
			f.partitioned.Store(true)
			if c.restart {
				for _, i := range []int{2, 3} {
					f.kill(i)
					f.start(i, f.daemons[i].Settings())
				}
			}
			f.wait("each site considers the other dead", func() bool {
				return f.all(func(c *control) bool { return c.table.Count() == 3 })
			})
			p := last(f.submit(0, "c2", bundle(2, 2, 2)))
			if p.step != stepRefused || p.err.Code != result.SiteUnreachable {
				t.Errorf("while partitioned: %s %v", p.step, p.err)
			}
			f.waitServing(1)
			f.partitioned.Store(false)
			began := time.Now()
			f.wait("all know each other again", func() bool {
				return f.all(func(c *control) bool { return c.table.Count() == 6 })
			})
			t.Logf("agreed %s after the partition", time.Since(began).Round(time.Millisecond))
			if p := last(f.submit(1, "c3", bundle(2, 2, 3))); p.step != stepInForce || p.number != 2 {
				t.Errorf("after the partition: %s %v", p.step, p.err)
			}
			f.waitServing(2)
		})
	}
}
