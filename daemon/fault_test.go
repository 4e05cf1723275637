package daemon

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"figwheel/change"
	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/store"
)

// hookedStore calls before and after around each write of one daemon, with the
// key and the number of writes of the head so far.
type hookedStore struct {
	store.Store
	mu         sync.Mutex
	headWrites int // so far
	before     func(key string, head int)
	after      func(key string, head int)
}

func (s *hookedStore) Put(x context.Context, key, version string, value []byte) (store.Object, error) {
	s.mu.Lock()
	if key == change.HeadKey {
		s.headWrites++
	}
	n := s.headWrites
	s.mu.Unlock()
	if s.before != nil {
		s.before(key, n)
	}
	o, err := s.Store.Put(x, key, version, value)
	if s.after != nil {
		s.after(key, n)
	}
	return o, err
}

func (f *fleet) head() change.Head {
	f.t.Helper()
	o, err := f.store.Get(context.Background(), change.HeadKey)
	if err != nil {
		f.t.Fatal(err)
	}
	h, err := change.DecodeHead(o.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return h
}

// TestOutcomeSurvivesKilledCoordinator guards against a change whose outcome is
// lost or differs between daemons when its coordinator is killed before or after
// it writes the head. The other daemons must serve the version in the platform's
// head, and a resubmission at another daemon must return that outcome.
func TestOutcomeSurvivesKilledCoordinator(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name          string
		before, after int // number of the head write before or after which it is killed
	}{
		{name: "before it proposes", before: 1},
		{name: "after it proposed", after: 1},
		{name: "before it accepts", before: 2},
		{name: "after it accepted", after: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fleet{t: t, store: &platformtest.Store{}, stageLimit: settings.Duration(15 * time.Second)}
			var once sync.Once
			kill := func(key string, n, at int) {
				if key == change.HeadKey && n == at {
					once.Do(func() { f.daemons[0].kill() })
					<-f.daemons[0].stopped // from here on deadStore refuses writes
				}
			}
			f.wrap = func(name string) store.Store {
				if name != "i-000" {
					return f.store
				}
				return &hookedStore{
					Store:  deadStore{f.store, func() bool { return isClosed(f.daemons[0].killed) }},
					before: func(k string, n int) { kill(k, n, c.before) },
					after:  func(k string, n int) { kill(k, n, c.after) },
				}
			}
			f.startAll(2, 5)
			b := bundle(2, 2, 1)
			f.submit(0, "c1", b)
			f.stop(0)
			p := last(f.submit(1, "c1", b))
			if p.step != stepInForce || p.number != 1 {
				t.Fatalf("sent again: %s %v", p.step, p.err)
			}
			f.waitServing(1)
			if h := f.head(); h.InForce.Number != 1 || h.HasProposal() {
				t.Errorf("head %+v", h)
			}
		})
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// deadStore refuses the writes of a killed daemon. The test cannot end the
// goroutines of a killed daemon, and a crashed process would not write.
type deadStore struct {
	store.Store
	dead func() bool
}

func (s deadStore) Put(x context.Context, key, version string, value []byte) (store.Object, error) {
	if s.dead() {
		return store.Object{}, result.New(result.PlatformUnavailable, "dead")
	}
	return s.Store.Put(x, key, version, value)
}

// TestProposalSettledAfterCoordinatorKilled guards against a proposal that stays
// open when its coordinator is killed and the change is not submitted again. The
// other daemons must settle it.
func TestProposalSettledAfterCoordinatorKilled(t *testing.T) {
	t.Parallel()
	f := &fleet{t: t, store: &platformtest.Store{}, stageLimit: settings.Duration(15 * time.Second)}
	f.wrap = func(name string) store.Store {
		if name != "i-000" {
			return f.store
		}
		return &hookedStore{
			Store: deadStore{f.store, func() bool { return isClosed(f.daemons[0].killed) }},
			after: func(k string, n int) {
				if k == change.HeadKey && n == 1 {
					f.daemons[0].kill()
					<-f.daemons[0].stopped
				}
			},
		}
	}
	f.startAll(2, 6)
	f.submit(0, "c1", bundle(2, 2, 1))
	f.stop(0)
	f.waitServing(1)
	if h := f.head(); h.InForce.ChangeID != "c1" {
		t.Errorf("head %+v", h)
	}
}

// unfencedStore writes the head unconditionally, as a daemon with a lease but
// without a fencing token would.
type unfencedStore struct{ store.Store }

func (s unfencedStore) Put(x context.Context, key, version string, value []byte) (store.Object, error) {
	if key == change.HeadKey {
		if o, err := s.Get(x, key); err == nil {
			version = o.Version
		}
	}
	return s.Store.Put(x, key, version, value)
}

// TestPausedCoordinator guards against a coordinator that accepts a change after
// others have refused it. It pauses the coordinator before its write, until the
// other daemons have refused the change at its deadline and accepted another one.
// The late write must not take effect. The second case shows that the conditional
// write prevents this: without it, the refused change comes into force.
func TestPausedCoordinator(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			t.Parallel()
			f := &fleet{t: t, store: &platformtest.Store{}}
			resume := make(chan struct{})
			f.wrap = func(name string) store.Store {
				if name != "i-000" {
					return f.store
				}
				var s store.Store = f.store
				if !fenced {
					s = unfencedStore{f.store}
				}
				return &hookedStore{Store: s, before: func(k string, n int) {
					if k == change.HeadKey && n == 2 {
						<-resume
					}
				}}
			}
			f.startAll(2, 4)
			paused := make(chan progress, 1)
			go func() { paused <- last(f.submit(0, "paused", bundle(2, 2, 1))) }()
			f.wait("the change is refused", func() bool {
				o, err := f.store.Get(context.Background(), change.HeadKey)
				if err != nil {
					return false
				}
				h, _ := change.DecodeHead(o.Value)
				u, ok := h.Outcome("paused")
				return ok && u.Code == result.DeadlinePassed
			})
			if p := last(f.submit(1, "other", bundle(2, 2, 2))); p.step != stepInForce {
				t.Fatalf("%s %v", p.step, p.err)
			}
			close(resume)
			p := <-paused
			h := f.head()
			if kept := h.InForce.ChangeID == "other" && p.step == stepRefused; kept != fenced {
				t.Errorf("fenced %t: %s is in force, the paused coordinator says %s %v", fenced, h.InForce.ChangeID, p.step, p.err)
			}
		})
	}
}

// TestBootServesVersionOfPeersWithoutPlatform guards against daemons that serve
// an old version, or none, when they restart while the platform is down. A
// restarted daemon must serve the version in force, which it gets from its peers.
// If all daemons restart, no peer has it, and none may serve until the platform
// is back.
func TestBootServesVersionOfPeersWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 5)
	for i := range 3 {
		if p := last(f.submit(i, fmt.Sprintf("c%d", i), bundle(2, 2, i))); p.step != stepInForce {
			t.Fatal(p.step, p.err)
		}
	}
	f.store.SetFaults(platformtest.Faults{Down: true})
	// A submission that times out before any write is refused: its outcome is not
	// unknown.
	p := last(f.submission(0, submission{id: "down", bundle: bundle(2, 2, 9), began: time.Now().Add(-2 * proposeTimeout)}))
	if p.step != stepRefused || p.err.Code != result.PlatformUnavailable {
		t.Errorf("submitted while the platform is down: %s %v", p.step, p.err)
	}
	var seeds []string
	for _, d := range f.daemons {
		seeds = append(seeds, d.Settings().PeerAddress)
	}
	s := f.daemons[4].Settings()
	s.Seeds = seeds
	f.kill(4)
	f.start(4, s)
	f.waitServing(3)

	// Restart all daemons: neither the platform nor a peer has the version in force.
	// They serve nothing until the platform is back.
	for i := range f.daemons {
		f.kill(i)
	}
	for i := range f.daemons {
		s := f.daemons[i].Settings()
		s.Seeds = seeds
		f.start(i, s)
	}
	f.wait("all know each other", func() bool { return f.all(func(c *control) bool { return c.table.Count() == 5 }) })
	if !f.all(func(c *control) bool { return c.serving == nil }) {
		t.Error("a daemon serves a version that it cannot have learned")
	}
	f.store.SetFaults(platformtest.Faults{})
	f.waitServing(3)
}

// TestStagedReleaseActivatesWhenSeenInCalls guards against calls that go back to
// an older release. A daemon that has staged a release must activate it at once
// when a call shows that another daemon serves it, and must ignore a release
// that is not the one proposed.
func TestStagedReleaseActivatesWhenSeenInCalls(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	if p := last(f.submit(0, "c1", bundle(1, 1, 1))); p.step != stepInForce {
		t.Fatal(p.step, p.err)
	}
	d := f.daemons[0]
	b, err := bundle(1, 1, 2).Encode()
	if err != nil {
		t.Fatal(err)
	}
	h, err := store.PutContent(context.Background(), f.store, b)
	if err != nil {
		t.Fatal(err)
	}
	r := change.Release{Number: 2, Content: h, ChangeID: "c2"}
	d.applyDelivery(context.Background(), change.Head{Sequence: 100, InForce: f.head().InForce, Proposed: change.Proposal{Release: r, Deadline: time.Now().Add(time.Hour)}}, nil)
	for _, c := range []struct {
		release string
		want    uint64
	}{{"", 1}, {"x-" + h, 1}, {"9-" + h, 1}, {"2-0123", 1}, {"2-" + h, 2}, {"1-" + h, 2}} {
		d.ObserveRelease(c.release)
		if n := d.View().Snapshot.Number(); n != c.want {
			t.Errorf("after %q version %d is served, want %d", c.release, n, c.want)
		}
	}
}

// TestChangeRefusedWhenSiteUnreachable guards against a change that takes effect
// while a site is unreachable. It kills all daemons of a site: a change must be
// refused and change nothing, and must be accepted after a daemon of the site has
// returned.
func TestChangeRefusedWhenSiteUnreachable(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4)
	if p := last(f.submit(0, "c1", bundle(2, 2, 1))); p.step != stepInForce {
		t.Fatal(p.step, p.err)
	}
	f.kill(1)
	f.kill(3)
	p := last(f.submit(0, "c2", bundle(2, 2, 2)))
	if p.step != stepRefused || p.err.Code != result.SiteUnreachable && p.err.Code != result.DeadlinePassed {
		t.Errorf("%s %v", p.step, p.err)
	}
	f.waitServing(1)
	f.start(1, f.daemons[1].Settings())
	f.waitServing(1)
	if p := last(f.submit(0, "c3", bundle(2, 2, 3))); p.step != stepInForce {
		t.Errorf("%s %v", p.step, p.err)
	}
	f.waitServing(2)
}

// TestDeadInstancesDoNotBlockNextChange guards against dead instances that block
// changes. It kills one instance in five and submits a change, which may be
// accepted or refused. As soon as the dead instances are detected, the next
// change must be accepted.
func TestDeadInstancesDoNotBlockNextChange(t *testing.T) {
	t.Parallel()
	f := &fleet{t: t, store: &platformtest.Store{}, stageLimit: 0}
	f.startAll(2, 10)
	if p := last(f.submit(0, "c1", bundle(2, 2, 1))); p.step != stepInForce {
		t.Fatal(p.step, p.err)
	}
	f.kill(8)
	f.kill(9)
	q := f.submission(0, submission{id: "c2", bundle: bundle(2, 2, 2), began: time.Now()})
	if p := last(q); p.step != stepInForce && p.step != stepRefused {
		t.Errorf("%s %v", p.step, p.err)
	}
	f.wait("the dead instances are detected", func() bool { return f.all(func(c *control) bool { return c.table.Count() == 8 }) })
	if p := last(f.submit(1, "c3", bundle(2, 2, 3))); p.step != stepInForce {
		t.Errorf("%s %v", p.step, p.err)
	}
}
