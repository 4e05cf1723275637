package contract_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
	"figwheel/result"
)

func TestDeadline(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	cases := []struct {
		text string
		want time.Duration
		code result.Code
	}{
		{"", time.Second, 0},
		{"200", 200 * time.Millisecond, 0},
		{"0", 0, 0},
		{"5000", time.Second, 0},
		{"9223372036854775807", time.Second, 0},
		{"-1", time.Second, result.BadDeadline},
		{"1.5", time.Second, result.BadDeadline},
		{"soon", time.Second, result.BadDeadline},
	}
	for _, c := range cases {
		d, err := contract.Deadline(now, time.Second, c.text)
		if d.Sub(now) != c.want || result.CodeOf(err) != c.code {
			t.Errorf("%q: %s %v", c.text, d.Sub(now), err)
		}
	}
	if d := cmp.Diff([]string{"1", "0"}, []string{contract.RemainingMs(now, now.Add(1900*time.Microsecond)), contract.RemainingMs(now, now.Add(-time.Second))}); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func TestDepth(t *testing.T) {
	for s, want := range map[string]int{"": 0, "8": 8, "15": 15, "16": -1, "-1": -1, "x": -1} {
		d, err := contract.Depth(s)
		if err != nil {
			d = -1
		}
		if d != want {
			t.Errorf("%q: depth %d, want %d", s, d, want)
		}
	}
}

// TestBudgetLimitsRetriesToPercentOfRequests guards against more retries than
// the limits allow: a burst of 10, 10 % of the requests, and separately 5 % for
// retries that may run a request a second time.
func TestBudgetLimitsRetriesToPercentOfRequests(t *testing.T) {
	var b contract.Budget
	if b.TakeRetry(contract.NotRun) {
		t.Error("an empty budget granted a retry")
	}
	for range 10_000 {
		b.CreditRequest(contract.RetryLimits{Percent: 10, Burst: 10})
	}
	var n int
	for b.TakeRetry(contract.NotRun) {
		n++
	}
	if n != 10 {
		t.Errorf("a full budget granted %d retries at once, want 10", n)
	}
	n = 0
	for range 1000 {
		b.CreditRequest(contract.RetryLimits{Percent: 10, Burst: 10})
		if b.TakeRetry(contract.NotRun) {
			n++
		}
	}
	if n != 100 {
		t.Errorf("%d retries for 1000 requests, want 10 %%", n)
	}
	for o, want := range map[contract.Outcome]int{contract.NotRun: 150, contract.Unknown: 50} {
		var b contract.Budget
		n = 0
		for range 1000 {
			b.CreditRequest(contract.RetryLimits{Percent: 15, RerunPercent: 5, Burst: 10})
			if b.TakeRetry(o) {
				n++
			}
		}
		if n != want {
			t.Errorf("%d retries for 1000 requests with the outcome %s, want %d", n, o, want)
		}
	}
}

func TestMayRetry(t *testing.T) {
	var got []bool
	for _, o := range []contract.Outcome{contract.NotRun, contract.Unknown, contract.Run} {
		got = append(got, contract.MayRetry(o, false), contract.MayRetry(o, true), contract.ParseOutcome(o.String()) == o)
	}
	if d := cmp.Diff([]bool{true, true, true, false, true, true, false, false, true}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
