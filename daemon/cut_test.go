package daemon

import (
	"testing"
	"time"

	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/settings"
)

// TestSitesCutOff cuts two sites off from each other, with the platform in
// reach of both. Each goes on with what is in force; a change is refused, whole;
// when they meet again they agree soon and a change passes. The second case
// restarts a daemon of each site meanwhile, and lets the head move on before.
func TestSitesCutOff(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		restart bool
	}{{"all stay up", false}, {"some are restarted meanwhile", true}} {
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
			f.wait("each site believes the other to be dead", func() bool {
				return f.all(func(c *control) bool { return c.table.Count() == 3 })
			})
			p := last(f.submit(0, "c2", bundle(2, 2, 2)))
			if p.step != stepRefused || p.err.Code != result.SiteUnreachable {
				t.Errorf("while cut off: %s %v", p.step, p.err)
			}
			f.waitServing(1)
			f.partitioned.Store(false)
			began := time.Now()
			f.wait("all know each other again", func() bool {
				return f.all(func(c *control) bool { return c.table.Count() == 6 })
			})
			t.Logf("together again after %s", time.Since(began).Round(time.Millisecond))
			if p := last(f.submit(1, "c3", bundle(2, 2, 3))); p.step != stepInForce || p.number != 2 {
				t.Errorf("together again: %s %v", p.step, p.err)
			}
			f.waitServing(2)
		})
	}
}
