package contract

import "sync/atomic"

const (
	milliPerRetry   = 1000
	milliPerPercent = 10
)

// RetryLimits are the limits on the retries of one service at one daemon.
type RetryLimits struct {
	Percent int // retries allowed, as a percentage of the requests
	Burst   int // retries that may be saved up and sent at once
	// RerunPercent limits the retries that may run a request a second time, as a
	// percentage of the requests; 0 means Percent. A second run repeats the
	// request's calls to other services, where they count as retries too.
	RerunPercent int
}

// Budget is a retry budget: it limits retries to a percentage of the requests.
// The zero value is an empty budget. A Budget is safe for concurrent use.
type Budget struct{ all, reruns tokenBucket }

// CreditRequest credits the budget with the share of a retry that one request
// allows under the limits r.
func (b *Budget) CreditRequest(r RetryLimits) {
	b.all.credit(r.Percent, r.Burst)
	n := r.RerunPercent
	if n == 0 {
		n = r.Percent
	}
	b.reruns.credit(n, r.Burst)
}

// TakeRetry takes one retry from the budget after an attempt with the outcome o
// and reports whether the budget had one. A retry that may run the request a
// second time counts against both limits.
func (b *Budget) TakeRetry(o Outcome) bool {
	if !b.all.take() {
		return false
	}
	if o == NotRun || b.reruns.take() {
		return true
	}
	b.all.milliRetries.Add(milliPerRetry)
	return false
}

// tokenBucket counts the available retries in thousandths of a retry.
type tokenBucket struct{ milliRetries atomic.Int64 }

// credit adds the given percentage of a retry unless the bucket already holds
// burst retries.
func (t *tokenBucket) credit(percent, burst int) {
	if t.milliRetries.Load() < int64(burst)*milliPerRetry {
		t.milliRetries.Add(int64(percent * milliPerPercent))
	}
}

// take removes one retry and reports whether the bucket held one.
func (t *tokenBucket) take() bool {
	if t.milliRetries.Add(-milliPerRetry) >= 0 {
		return true
	}
	t.milliRetries.Add(milliPerRetry)
	return false
}

// MayRetry reports whether a request may be sent again after an attempt with
// the outcome o. A request that provably did not run may always be sent again;
// one that may have run, only if it is idempotent.
func MayRetry(o Outcome, idempotent bool) bool {
	return o == NotRun || o == Unknown && idempotent
}
