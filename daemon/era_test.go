package daemon

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/change"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/store"
)

// newRestorableFleet returns a managed fleet of two sites whose daemons read the store,
// which names its era, over HTTP.
func newRestorableFleet(t *testing.T, instances int) *managedFleet {
	t.Helper()
	s := newStore()
	s.SetEra(1)
	v := httptest.NewServer(platformtest.Handler{Store: s})
	t.Cleanup(v.Close)
	m := &managedFleet{fleet: &fleet{t: t, store: s}}
	e := ownEdge()
	e.ConfigKey, e.DecodeConfig = "config/main", decodeTable
	m.edge = &e
	m.wrap = func(string) store.Store { return &platform.Client{Base: v.URL} }
	m.write(1)
	m.startAll(2, instances)
	m.waitServing(1)
	return m
}

// overwrite writes a configuration as operators do after the store was restored.
func (m *managedFleet) overwrite(number uint64) {
	m.t.Helper()
	b, err := table(number).Encode()
	if err == nil {
		_, err = m.store.Overwrite("config/main", b)
	}
	if err != nil {
		m.t.Fatal(err)
	}
}

// waitReadSince waits until the store was read n times since the call.
func (m *managedFleet) waitReadSince(n uint64) {
	m.t.Helper()
	before := m.store.Counts().Gets
	m.wait("the store is read", func() bool { return m.store.Counts().Gets >= before+n })
}

// rosterSizes returns how many instances each roster in the store lists, by key.
func (m *managedFleet) rosterSizes() map[string]int {
	m.t.Helper()
	l, err := m.store.List(context.Background(), rosterPrefix)
	if err != nil {
		m.t.Fatal(err)
	}
	n := make(map[string]int)
	for _, o := range l.Objects {
		r, err := decodeRoster(o)
		if err != nil {
			m.t.Fatal(err)
		}
		n[o.Key] = len(r.Instances)
	}
	return n
}

// TestConfigRewrittenAfterRestore guards against daemons that miss what operators write
// after the store came back from an older copy: the new object has a revision that is
// lower than the last known one, or is that one again with another content. Until they
// write, the copy has an older configuration, and no daemon may go back to it.
func TestConfigRewrittenAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name   string
		writes int // of other objects, before the configuration is written again
	}{
		{"under a lower revision", 0},
		{"under the same revision", 2},
		{"under a higher revision", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := newRestorableFleet(t, 5)
			copied := time.Now()
			m.write(2)
			m.write(3)
			m.write(4)
			m.waitServing(4)
			var lowest atomic.Uint64
			lowest.Store(4)
			x, stop := context.WithCancel(t.Context())
			watched := make(chan struct{})
			go func() {
				defer close(watched)
				for x.Err() == nil {
					for _, d := range m.daemons {
						lowest.Store(min(lowest.Load(), d.View().Snapshot.Number()))
					}
					pause(x, time.Millisecond)
				}
			}()
			m.store.Restore(copied)
			m.waitReadSince(change.Pollers)
			for range c.writes {
				if _, err := m.store.Overwrite("other/o", nil); err != nil {
					t.Fatal(err)
				}
			}
			m.overwrite(4)
			m.waitReadSince(change.Pollers)
			m.overwrite(5)
			m.waitServing(5)
			stop()
			<-watched
			if n := lowest.Load(); n != 4 {
				t.Errorf("a daemon went back to version %d, want none below 4", n)
			}
		})
	}
}

// TestConfigOfSameRevisionIsReadAfterRestore guards against a daemon that takes the
// object for the one that it has read, since the revision is the same.
func TestConfigOfSameRevisionIsReadAfterRestore(t *testing.T) {
	m := newRestorableFleet(t, 1)
	copied := time.Now()
	m.write(2)
	m.waitServing(2)
	last, err := m.store.Get(t.Context(), "config/main")
	if err != nil {
		t.Fatal(err)
	}
	m.store.Restore(copied)
	m.overwrite(3)
	got, err := m.store.Get(t.Context(), "config/main")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(last.Version, got.Version); d != "" {
		t.Fatalf("revision given out again (-want +got)\n%s", d)
	}
	m.waitServing(3)
}

// TestRostersRestored guards against rosters that stay lost: their writers know them as
// written and have no reason to write them again, and daemons that start later would not
// find the fleet.
func TestRostersRestored(t *testing.T) {
	copied := time.Now()
	m := newRestorableFleet(t, 6)
	want := map[string]int{rosterPrefix + "site-0": 3, rosterPrefix + "site-1": 3}
	complete := func() bool { return cmp.Equal(want, m.rosterSizes()) }
	m.wait("the rosters are complete", complete)
	m.store.Restore(copied)
	m.overwrite(1)
	if d := cmp.Diff(map[string]int{}, m.rosterSizes()); d != "" {
		t.Fatalf("rosters of the copy (-want +got)\n%s", d)
	}
	m.wait("the rosters are written again", complete)
	if !m.all(func(c *control) bool { return len(c.table.Live()) == 6 }) {
		t.Error("daemons were forgotten because the store has lost their rosters")
	}
	// The writer of a roster knows it under a version of the era before. It must find out
	// the present one.
	m.kill(5)
	want[rosterPrefix+"site-1"] = 2
	m.wait("the rosters follow the membership again", complete)
}

// TestLateObjectsOfOlderEraAreIgnored guards against an answer that was read before the
// era changed and applied after one from since: neither a configuration, though newer,
// nor a roster nor a listing of it may count, and it confirms nothing.
func TestLateObjectsOfOlderEraAreIgnored(t *testing.T) {
	m := newRestorableFleet(t, 1)
	d := m.daemons[0]
	x := t.Context()
	_ = d.do(x, func(c *control) { c.observeEra(7) })
	b, err := table(9).Encode()
	if err != nil {
		t.Fatal(err)
	}
	err = d.applyConfig(x, store.Object{Key: "config/main", Version: "6.9", Era: 6, Value: b}, change.Release{})
	if c := result.CodeOf(err); c != result.PlatformUnavailable {
		t.Errorf("late configuration: %v, want code %s", err, result.PlatformUnavailable)
	}
	r := store.Object{Key: rosterPrefix + "late", Version: "6.8", Era: 6, Value: []byte("{}")}
	_ = d.do(x, func(c *control) {
		c.mergeObject(r)
		c.mergeListing(store.Listing{Objects: []store.Object{r}, Era: 6}, time.Now())
		if _, ok := c.rosters[r.Key]; ok || c.known.Head.InForce.Number != 1 {
			t.Errorf("roster taken %t, version %d in force, want neither the roster nor version 9", ok, c.known.Head.InForce.Number)
		}
	})
}

// TestHeadRestored guards against a fleet that goes back, or is stuck, because the store
// has lost the head with the release in force: a change that builds on the older head
// would have a sequence that all daemons know already.
func TestHeadRestored(t *testing.T) {
	s := newStore()
	s.SetEra(1)
	v := httptest.NewServer(platformtest.Handler{Store: s})
	t.Cleanup(v.Close)
	f := &fleet{t: t, store: s, wrap: func(string) store.Store { return &platform.Client{Base: v.URL} }}
	f.startAll(2, 4)
	steps := func(p []progress) string { return last(p).step }
	if g := steps(f.submit(0, "c1", bundle(2, 1, 1))); g != stepInForce {
		t.Fatalf("first change: %s", g)
	}
	copied := time.Now()
	if g := steps(f.submit(1, "c2", bundle(2, 1, 2))); g != stepInForce {
		t.Fatalf("second change: %s", g)
	}
	s.Restore(copied)
	if g := steps(f.submit(2, "c3", bundle(2, 1, 3))); g != stepInForce {
		t.Fatalf("change after the restore: %s", g)
	}
	f.waitServing(3)
	o, err := s.Get(t.Context(), change.HeadKey)
	if err != nil {
		t.Fatal(err)
	}
	h, err := change.DecodeHead(o.Value)
	if err != nil || h.InForce.Number != 3 {
		t.Errorf("head has version %d in force, error %v, want 3", h.InForce.Number, err)
	}
	if _, err := store.GetContent(t.Context(), s, h.InForce.Content); err != nil {
		t.Error(err)
	}
}

// TestOddEraDelaysNoConfigurationForGood guards against daemons that take every later
// answer of the store for a late one after it named a far too high era for a moment.
func TestOddEraDelaysNoConfigurationForGood(t *testing.T) {
	m := newRestorableFleet(t, 2)
	m.store.SetEra(1 << 40)
	m.waitReadSince(3)
	m.store.SetEra(1)
	m.overwrite(2)
	m.waitServing(2)
}

// lateListing is a store whose first listing is of an older era than a read that was
// answered meanwhile.
type lateListing struct {
	store.Store
	lists *atomic.Int64
	known chan struct{} // closed when the daemon knows the newer era
}

func (s lateListing) List(x context.Context, prefix string) (store.Listing, error) {
	l, err := s.Store.List(x, prefix)
	if s.lists.Add(1) == 1 {
		<-s.known
		l.Era--
	}
	return l, err
}

// TestLateListingIsReadAgainAtStart guards against a daemon that starts while the store is
// restored, ignores the late answer to its only listing and never reads the rosters: it
// would neither write one nor join a fleet by them.
func TestLateListingIsReadAgainAtStart(t *testing.T) {
	m := newRestorableFleet(t, 1)
	m.store.SetEra(3)
	var lists atomic.Int64
	wrap, known := m.wrap, make(chan struct{})
	m.wrap = func(name string) store.Store { return lateListing{wrap(name), &lists, known} }
	m.add(settings.Settings{Instance: "late", Site: "site-0"})
	d := m.daemons[1]
	_ = d.do(t.Context(), func(c *control) { c.observeEra(3) })
	close(known)
	m.wait("the control objects are read", func() bool {
		read := false
		_ = d.do(t.Context(), func(c *control) { read = c.controlObjectsRead })
		return read
	})
}
