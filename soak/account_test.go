package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/platform/platformtest"
)

// TestAccountViolationsAreReported feeds runs of workers to the checker. A checker that
// overlooks a wrong account, a key or a quota lets the soak pass without its guarantees.
func TestAccountViolationsAreReported(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	small := []string{smallAccount}
	// runsOver returns n runs of requests of the small account, evenly spread over the time.
	runsOver := func(n int, w time.Duration) []platformtest.Run {
		var l []platformtest.Run
		for i := range n {
			l = append(l, platformtest.Run{ID: fmt.Sprint("r-", i), At: start.Add(w * time.Duration(i) / time.Duration(n)), Tenants: small})
		}
		return l
	}
	const limit = 72 // of the small account: (8 x 5 + 8) x 1.1 + 20, rounded down
	for _, c := range []struct {
		name string
		gone bool
		runs []platformtest.Run
		want map[Guarantee]int
	}{
		{"as many as the quota allows", false, runsOver(limit, quotaWindow), nil},
		{"one more", false, runsOver(limit+1, quotaWindow), map[Guarantee]int{QuotaHolds: 1}},
		{"one more in a longer time", false, runsOver(limit+1, quotaWindow*11/10), nil},
		{"one of them twice", false, append(runsOver(limit, quotaWindow), runsOver(1, quotaWindow)...), nil},
		{"no account", false, []platformtest.Run{{ID: "r-0"}}, map[Guarantee]int{AccountIsRight: 1}},
		{"another account", false, []platformtest.Run{{ID: "r-0", Tenants: []string{openAccount}}}, map[Guarantee]int{AccountIsRight: 1}},
		{"two accounts", false, []platformtest.Run{{ID: "r-0", Tenants: []string{smallAccount, openAccount}}}, map[Guarantee]int{AccountIsRight: 1}},
		{"a key", false, []platformtest.Run{{ID: "r-0", Tenants: small, SawKey: true}}, map[Guarantee]int{AccountIsRight: 1}},
		{"a key that was taken away", true, []platformtest.Run{{ID: "r-0", Tenants: small}}, map[Guarantee]int{KeyIsGone: 1}},
	} {
		k := newChecker(nil)
		for _, n := range c.runs {
			k.recordSent(request{id: n.ID, account: smallAccount, keyMustBeGone: c.gone})
		}
		k.checkAccounts(c.runs)
		if c.want == nil {
			c.want = map[Guarantee]int{}
		}
		if d := cmp.Diff(c.want, k.counts); d != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, d)
		}
	}
}

// TestSpareKeyIsHeldToItsBound checks when a spare key must be known and when it must be
// gone. Bounds that never begin would hide a daemon that misses a version.
func TestSpareKeyIsHeldToItsBound(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	changed := start.Add(time.Minute)
	type verdict struct{ Gone, Known bool }
	for _, c := range []struct {
		name   string
		keys   []time.Time
		newest bool
		sentAt time.Time
		outage time.Time
		want   verdict
	}{
		{"the newest key at the bound", []time.Time{start, changed}, true, changed.Add(keyTimeMax), start, verdict{}},
		{"the newest key after the bound", []time.Time{start, changed}, true, changed.Add(keyTimeMax + 1), start, verdict{Known: true}},
		{"the key before it at the bound", []time.Time{start, changed}, false, changed.Add(keyTimeMax), start, verdict{}},
		{"the key before it after the bound", []time.Time{start, changed}, false, changed.Add(keyTimeMax + 1), start, verdict{Gone: true}},
		{"the newest key soon after an outage", []time.Time{start, changed}, true, changed.Add(keyTimeMax + 1), changed, verdict{}},
		{"the key before it soon after an outage", []time.Time{start, changed}, false, changed.Add(keyTimeMax + 1), changed, verdict{}},
		{"a key of no version", []time.Time{start}, false, start, start, verdict{Gone: true}},
	} {
		e, n := &environment{spareKeys: c.keys}, &node{startedAt: start, outageEnd: c.outage}
		s := request{account: openAccount, sentAt: c.sentAt}
		e.chooseSpareKey(&s, n, c.newest)
		got := verdict{s.keyMustBeGone, e.isKnown(s, n.isInTouchSince(s.sentAt))}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s (-want +got)\n%s", c.name, d)
		}
	}
	if !(&environment{}).isKnown(request{account: smallAccount, key: keyOf(smallAccount)}, false) {
		t.Error("a key of all versions may be unknown out of touch")
	}
}
