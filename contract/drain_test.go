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
	for _, c := range []struct {
		name      string
		left      time.Duration // until the end of the drain, 0 for none
		announced bool
		deadline  time.Duration // 0 for none
		expected  time.Duration
		want      bool
	}{
		{"no drain", 0, false, 0, time.Hour, true},
		{"not announced, fits", 5 * s, false, 9 * s, 4 * s, true},
		{"not announced, unknown", 5 * s, false, 9 * s, 0, true},
		{"not announced, too long", 5 * s, false, 9 * s, 6 * s, false},
		{"its deadline is before the end", 2 * s, true, s, 0, true},
		{"its deadline leaves no time to answer", 2 * s, true, 1900 * ms, 0, false},
		{"fits with a margin", 2 * s, true, 9 * s, 400 * ms, true},
		{"fits without a margin", 2 * s, true, 9 * s, 500 * ms, false},
		{"unknown", 2 * s, true, 9 * s, 0, false},
		{"without a deadline, fits", 2 * s, true, 0, 400 * ms, true},
		{"without a deadline, unknown", 2 * s, true, 0, 0, false},
		{"after the end", -s, true, 9 * s, ms, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d contract.Drain
			if c.left != 0 {
				d = contract.Drain{End: now.Add(c.left), Announced: c.announced}
			}
			var end time.Time
			if c.deadline > 0 {
				end = now.Add(c.deadline)
			}
			if got := d.Allows(now, end, c.expected); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
