package contract_test

import (
	"testing"
	"time"

	"figwheel/contract"
)

// TestDrainAllowsOnlyRequestsThatEnd guards against requests that a stopping daemon takes and then cuts off.
func TestDrainAllowsOnlyRequestsThatEnd(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	const s, ms = time.Second, time.Millisecond
	const never, before, after = 0, 1, 2 // when the drain was announced, as seen from the arrival of the request
	for _, c := range []struct {
		name      string
		left      time.Duration // until the end of the drain, 0 for none
		announced int
		deadline  time.Duration // 0 for none
		expected  time.Duration
		nested    bool
		want      bool
	}{
		{"no drain", 0, never, 0, time.Hour, false, true},
		{"not announced, fits", 5 * s, never, 9 * s, 4 * s, false, true},
		{"not announced, unknown", 5 * s, never, 9 * s, 0, false, true},
		{"not announced, too long", 5 * s, never, 9 * s, 6 * s, false, false},
		{"its deadline is before the end", 2 * s, after, s, 0, false, true},
		{"its deadline leaves no time to answer", 2 * s, after, 1900 * ms, 0, false, false},
		{"fits with a margin", 2 * s, after, 9 * s, 400 * ms, false, true},
		{"fits without a margin", 2 * s, after, 9 * s, 500 * ms, false, false},
		{"unknown", 2 * s, after, 9 * s, 0, false, false},
		{"without a deadline, fits", 2 * s, after, 0, 400 * ms, false, true},
		{"without a deadline, unknown", 2 * s, after, 0, 0, false, false},
		{"after the end", -s, after, 9 * s, ms, false, false},
		{"late, its deadline is before the end", 2 * s, before, s, 0, false, true},
		{"late, its deadline is when the answer is due", 2 * s, before, 1700 * ms, 0, false, true},
		{"late, its deadline leaves no time to answer", 2 * s, before, 1701 * ms, ms, false, false},
		{"late, fits with any margin", 2 * s, before, 9 * s, ms, false, false},
		{"late, without a deadline", 2 * s, before, 0, ms, false, false},
		{"a late call of the worker, fits with a margin", 2 * s, before, 9 * s, 400 * ms, true, true},
		{"a late call of the worker, fits without a margin", 2 * s, before, 9 * s, 500 * ms, true, false},
		{"a late call of the worker, unknown", 2 * s, before, 9 * s, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d contract.Drain
			if c.left != 0 {
				d.End = now.Add(c.left)
			}
			b := contract.Begin{Arrived: now, Expected: c.expected, Nested: c.nested}
			switch c.announced {
			case after:
				d.AnnouncedAt = now
				b.Arrived = now.Add(-ms)
			case before:
				d.AnnouncedAt = now.Add(-ms)
			}
			if c.deadline > 0 {
				b.Deadline = now.Add(c.deadline)
			}
			if got := d.Allows(now, b); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// TestDrainThatIsAnnouncedLater guards against a daemon that takes a long request late in its drain because it did not get round to record that the drain was announced.
func TestDrainThatIsAnnouncedLater(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	d := contract.Drain{End: now.Add(5 * time.Second), AnnouncedAt: now.Add(2 * time.Second)}
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{0, true}, {1999 * time.Millisecond, true}, {2 * time.Second, false}, {4 * time.Second, false}} {
		a := now.Add(c.at)
		if got := d.Allows(a, contract.Begin{Arrived: a, Deadline: a.Add(time.Minute), Expected: time.Millisecond}); got != c.want {
			t.Errorf("at %s: got %t, want %t", c.at, got, c.want)
		}
	}
}
