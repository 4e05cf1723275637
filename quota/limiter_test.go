package quota_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/quota"
)

// TestReportCountsEachRequestOnce guards against requests that are counted twice after an
// answer was lost, and against refunded ones that stay counted. It sums up what a report
// with a lost answer and the next one add to the bucket.
func TestReportCountsEachRequestOnce(t *testing.T) {
	now := time.Unix(1e9, 0)
	limits := []quota.Limit{{Account: "a", Rate: 1000, Burst: 1000}}
	var l quota.Limiter
	var g quota.Ledger
	l.Init("i-0", 1, make(chan struct{}, 1))
	l.SetLimits(limits)
	g.SetLimits(limits, now)
	admit := func(n int) {
		for range n {
			if _, ok := l.Admit("a", now); !ok {
				t.Fatal("an account within its quota was rejected")
			}
		}
	}
	l.Answered(g.Report(l.Report(false, now), 1, now), now)
	admit(5)
	g.Report(l.Report(false, now), 1, now) // the answer is lost
	admit(7)
	l.Refund("a", now)
	now = now.Add(50 * time.Millisecond)
	l.Answered(g.Report(l.Report(false, now), 1, now), now)
	g.Message("other", now) // what was counted so far
	admit(3)
	now = now.Add(50 * time.Millisecond)
	g.Report(l.Report(false, now), 1, now)
	r := g.Message("other", now)
	want := []quota.Count{{Account: quota.NewID("a"), Offered: 15, Admitted: 14, NewOffered: 3, NewAdmitted: 3}}
	if d := cmp.Diff(want, r.Counts); d != "" {
		t.Errorf("counts for another aggregator (-want +got):\n%s", d)
	}
}

// TestShortAccountIsAdmittedEvenly guards against an account that is short and gets its
// share in bursts, against a Retry-After that lets its callers return at once or together,
// and against shares of an aggregator that rest on an older report.
func TestShortAccountIsAdmittedEvenly(t *testing.T) {
	now := time.Unix(1e9, 0)
	var l quota.Limiter
	l.Init("i-0", 1, make(chan struct{}, 1))
	l.SetLimits([]quota.Limit{{Account: "a", Rate: 10, Burst: 10}})
	l.Report(false, now)
	l.Answered(quota.Answer{Short: []quota.Share{{Account: quota.NewID("a"), Share: 0.25, Level: -10}}}, now)
	if l.Told(quota.Answer{}, 0, now) {
		t.Error("shares that rest on an older report were applied")
	}
	var admitted int
	waits := make(map[time.Duration]bool)
	for i := range 100 {
		w, ok := l.Admit("a", now)
		if ok {
			admitted++
			continue
		}
		waits[w] = true
		if w < 200*time.Millisecond || w > 3*time.Second {
			t.Errorf("Retry-After is %s, want 0.2 to 3 s", w)
		}
		if d := float64(admitted) - 0.25*float64(i+1); d > 1 || d < -1 {
			t.Errorf("%d of %d admitted, want a quarter at any time", admitted, i+1)
		}
	}
	if len(waits) < 20 {
		t.Errorf("%d different times to return, want 20 or more", len(waits))
	}
}

// BenchmarkAdmit measures what a request of an account costs at its daemon.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1e9, 0)
	var l quota.Limiter
	l.SetLimits([]quota.Limit{{Account: "a", Rate: 1000, Burst: 1000}})
	l.Answered(quota.Answer{}, now)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			l.Admit("a", now)
		}
	})
}
