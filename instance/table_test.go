package instance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/instance"
)

var start = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

func record(name string, i uint64) instance.Record {
	return instance.Record{Name: name, Incarnation: i, Site: "a", Service: "s", State: instance.Ready}
}

func table(others ...instance.Record) *instance.Table {
	t := instance.New(record("self", 5), start)
	t.Merge(others, start)
	return t
}

func describe(r instance.Record) string {
	return fmt.Sprintf("%s@%d %s %d", r.Name, r.Incarnation, r.State, r.Health)
}

func describeAll(l []instance.Record) []string {
	r := []string{}
	for _, v := range l {
		r = append(r, describe(v))
	}
	return r
}

func with(r instance.Record, s instance.State, h instance.Health) instance.Record {
	r.State, r.Health = s, h
	return r
}

// TestMergeAppliesRecordPrecedence merges one record in each case and checks the
// resulting record of b, and whether Merge returns the record as one to act on. It
// guards against old records that replace new ones.
func TestMergeAppliesRecordPrecedence(t *testing.T) {
	b := record("b", 3)
	cases := []struct {
		name    string
		news    instance.Record
		changed bool
		want    string
	}{
		{"the same record again", b, false, "b@3 Ready 0"},
		{"an older incarnation", with(record("b", 2), instance.Draining, instance.Alive), false, "b@3 Ready 0"},
		{"a suspicion", with(b, instance.Ready, instance.Suspect), false, "b@3 Ready 1"},
		{"a death", with(b, instance.Ready, instance.Dead), true, "b@3 Ready 2"},
		{"a refutation", record("b", 4), false, "b@4 Ready 0"},
		{"a new state", with(record("b", 4), instance.Draining, instance.Alive), true, "b@4 Draining 0"},
		{"an unknown instance", record("c", 1), true, "b@3 Ready 0"},
		{"an unknown instance that is dead", with(record("c", 1), instance.Ready, instance.Dead), false, "b@3 Ready 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := table(b)
			l := k.Merge([]instance.Record{c.news}, start)
			r, _, _ := k.Get("b")
			if describe(r) != c.want || (len(l) > 0) != c.changed {
				t.Errorf("got %s, records to act on %v; want %s, any to act on %t", describe(r), describeAll(l), c.want, c.changed)
			}
		})
	}
}

// TestMergeRefutesClaimsAboutSelf merges a suspicion of this instance, and records
// of newer and older incarnations of it. It guards against claims of others that
// replace this daemon's own record.
func TestMergeRefutesClaimsAboutSelf(t *testing.T) {
	k := table()
	for _, n := range []instance.Record{
		with(record("self", 5), instance.Ready, instance.Suspect),
		with(record("self", 9), instance.Left, instance.Dead), // of an earlier start, whose clock was ahead
		record("self", 2),
	} {
		k.Merge([]instance.Record{n}, start)
	}
	if d := cmp.Diff("self@10 Ready 0", describe(k.Self())); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestSuspectExpiresUnlessRefuted takes one instance that never answers through
// suspicion, death and removal, and one that was only paused through suspicion and
// refutation. It guards against deaths without time to refute, and against an
// instance that cannot come back after its removal.
func TestSuspectExpiresUnlessRefuted(t *testing.T) {
	k := table(record("b", 3), record("c", 3))
	k.Failed("b", 3, start)
	k.Failed("c", 3, start)
	k.Failed("c", 2, start) // a late result for an earlier incarnation
	if d := cmp.Diff([]string{}, describeAll(k.Expire(start.Add(instance.SuspicionTimeout)))); d != "" {
		t.Errorf("after two failed probes the suspicions must last longer (-want +got)\n%s", d)
	}
	k.Merge([]instance.Record{record("c", 4)}, start.Add(time.Second))
	k.Answered()
	k.Answered()
	if d := cmp.Diff([]string{"b@3 Ready 2"}, describeAll(k.Expire(start.Add(instance.SuspicionTimeout)))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	if d := cmp.Diff([]string{"c@4 Ready 0", "self@5 Ready 0"}, describeAll(k.Live())); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	k.Expire(start.Add(instance.TombstoneTime * 2))
	if d := cmp.Diff([]string{"c@4 Ready 0", "self@5 Ready 0"}, describeAll(k.All())); d != "" {
		t.Errorf("after twice the tombstone time (-want +got)\n%s", d)
	}
	k.Merge([]instance.Record{with(record("b", 4), instance.Ready, instance.Alive)}, start)
	if r, _, _ := k.Get("b"); describe(r) != "b@4 Ready 0" {
		t.Errorf("after removal, b came back as %s", describe(r))
	}
}

// TestFailedStopsSuspectingWhenAllProbesFail lets every probe fail, as in a daemon
// that is itself paused or cut off. It guards against such a daemon suspecting the
// whole fleet.
func TestFailedStopsSuspectingWhenAllProbesFail(t *testing.T) {
	var l []instance.Record
	for i := range 50 {
		l = append(l, record(fmt.Sprintf("i-%02d", i), 1))
	}
	k := table(l...)
	var n int
	for _, r := range l {
		n += len(k.Failed(r.Name, 1, start))
	}
	if n > 3 {
		t.Errorf("%d of 50 instances were suspected, want at most 3", n)
	}
	if k.TimeoutFactor() < 5 {
		t.Errorf("the timeout factor is %d, want at least 5", k.TimeoutFactor())
	}
}

// TestProbeCoversLiveInstancesEvenly guards against live instances that are probed
// less often than others, and against probes of instances that have left.
func TestProbeCoversLiveInstancesEvenly(t *testing.T) {
	k := table(record("b", 1), record("c", 1), with(record("d", 1), instance.Left, instance.Alive))
	r := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]int)
	for range 20 {
		m, _ := k.Probe(r)
		got[m.Name]++
	}
	if d := cmp.Diff(map[string]int{"b": 10, "c": 10}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestDigestIgnoresOrder guards against digests that depend on the order in which
// records were merged, by which equal tables would be repaired for ever, and
// against digests that miss a new incarnation.
func TestDigestIgnoresOrder(t *testing.T) {
	a, b := table(record("b", 1), record("c", 2)), table(record("c", 2), record("b", 1))
	if a.Digest() != b.Digest() {
		t.Error("the order of the records changed the digest")
	}
	b.Merge([]instance.Record{record("b", 2)}, start)
	if a.Digest() == b.Digest() {
		t.Error("a new incarnation did not change the digest")
	}
}

// TestDifferingBucketsReconcileTables exchanges the buckets in which two tables
// differ. It guards against tables that still differ afterwards, and against an
// exchange of more buckets than those of the differing records.
func TestDifferingBucketsReconcileTables(t *testing.T) {
	var l []instance.Record
	for i := range 100 {
		l = append(l, record(fmt.Sprintf("i-%02d", i), 1))
	}
	a, b := table(l[1:]...), table(l[:99]...)
	d := b.Differing(a.BucketDigests())
	if len(d) == 0 || len(d) > 2 {
		t.Errorf("%d buckets differ, want 1 or 2 for two differing records", len(d))
	}
	a.Merge(b.RecordsIn(d), start)
	b.Merge(a.RecordsIn(d), start)
	if a.Digest() != b.Digest() || len(a.Differing(b.BucketDigests())) > 0 {
		t.Error("the tables still differ")
	}
	if n := len(a.Differing(nil)); n != instance.Buckets {
		t.Errorf("%d buckets differ from a table without digests", n)
	}
}

// TestRankChangesOnlyBehindDeadInstance checks that a death moves up only the ranks
// behind the dead instance. It guards against a death that moves the tasks of
// daemons ahead of the dead one, which are assigned by rank.
func TestRankChangesOnlyBehindDeadInstance(t *testing.T) {
	var l []instance.Record
	for i := range 20 {
		l = append(l, record(fmt.Sprintf("i-%02d", i), 1))
	}
	k := table(l...)
	before := make(map[string]int)
	for _, r := range k.Live() {
		before[r.Name] = k.Rank("a", "watch", r.Name)
	}
	k.Merge([]instance.Record{with(l[7], instance.Ready, instance.Dead)}, start)
	if a, b := k.Rank("", "watch", "i-03"), k.Rank("b", "watch", "i-03"); a < 0 || b >= 0 {
		t.Errorf("rank %d among all, %d at another site", a, b)
	}
	for n, v := range before {
		want := v
		switch {
		case n == "i-07":
			want = -1
		case v > before["i-07"]:
			want = v - 1
		}
		if g := k.Rank("a", "watch", n); g != want {
			t.Errorf("%s has rank %d, want %d", n, g, want)
		}
	}
}

// TestRandomLiveSkipsDeadAndExcluded guards against RandomLive returning a dead
// instance, the own one or the excluded one, or leaving out one of the others.
func TestRandomLiveSkipsDeadAndExcluded(t *testing.T) {
	k := table(record("b", 1), record("c", 1), record("d", 1), with(record("e", 1), instance.Ready, instance.Dead))
	for i := range 100 {
		got := make(map[string]bool)
		for _, r := range k.RandomLive(rand.New(rand.NewPCG(uint64(i), 1)), 3, "d") {
			got[r.Name] = true
		}
		if d := cmp.Diff(map[string]bool{"b": true, "c": true}, got); d != "" {
			t.Fatalf("(-want +got)\n%s", d)
		}
	}
}

// TestAtRankAgreesWithRank guards against AtRank and Rank ordering the instances
// differently, and against AtRank returning an instance that is not live.
func TestAtRankAgreesWithRank(t *testing.T) {
	tb := instance.New(instance.Record{Name: "a"}, time.Time{})
	tb.Merge([]instance.Record{{Name: "b"}, {Name: "c"}, {Name: "d", State: instance.Left}}, time.Time{})
	for i := range 3 {
		r, ok := tb.AtRank("key", i)
		if n := tb.Rank("", "key", r.Name); !ok || n != i {
			t.Errorf("rank %d: AtRank returned %s, whose Rank is %d", i, r.Name, n)
		}
	}
	if r, ok := tb.AtRank("key", 3); ok {
		t.Errorf("AtRank returned a fourth instance of three: %v", r)
	}
}

// TestGossipTargetsAndProbePreferOwnSite counts the instances that a daemon of one
// of six sites sends news to and probes. It guards against traffic between sites
// that is not needed, and against sites or instances that are never reached.
func TestGossipTargetsAndProbePreferOwnSite(t *testing.T) {
	k := table()
	var l []instance.Record
	for i := range 60 {
		n := record(fmt.Sprintf("i-%02d", i), 1)
		n.Site = fmt.Sprintf("%c", 'a'+i%6)
		l = append(l, n)
	}
	k.Merge(l, start)
	r := rand.New(rand.NewPCG(1, 1))
	sites := make(map[string]int)
	probed := make(map[string]int)
	const rounds = 600
	for range rounds {
		n := k.GossipTargets(r, 3)
		far := 0
		for _, m := range n {
			if m.Site != "a" {
				far++
				sites[m.Site]++
			}
		}
		if len(n) != 3 || far != 1 {
			t.Fatalf("news goes to %v, want three instances with one at another site", describeAll(n))
		}
		p, _ := k.Probe(r)
		probed[p.Name]++
	}
	if len(sites) != 5 {
		t.Errorf("news goes to the sites %v, want all five others", sites)
	}
	near, far := 0, 0
	for _, m := range l {
		n := probed[m.Name]
		if n == 0 {
			t.Errorf("%s is never probed", m.Name)
		}
		if m.Site == "a" {
			near += n
		} else {
			far += n
		}
	}
	if near < 3*far {
		t.Errorf("%d probes of the own site and %d of others, want three times as many", near, far)
	}
}

// TestGossipTargetsWhenAllOthersAreAtOneSite guards against fewer targets for news
// than asked for when all other instances are at this site or all at another one.
func TestGossipTargetsWhenAllOthersAreAtOneSite(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, site := range []string{"a", "b"} {
		var l []instance.Record
		for i := range 5 {
			n := record(fmt.Sprint(i), 1)
			n.Site = site
			l = append(l, n)
		}
		if n := table(l...).GossipTargets(r, 3); len(n) != 3 {
			t.Errorf("all others at %s: news goes to %v", site, describeAll(n))
		}
	}
}
