package contract

import "sync/atomic"

const (
	milli        = 1000
	budgetBurst  = 10 * milli
	percentMilli = 10
)

// Budget keeps retries to a share of the requests. The zero value is an empty
// budget; it is safe for concurrent use.
type Budget struct{ milli atomic.Int64 }

// Earn credits one request with the given share, in percent.
func (b *Budget) Earn(percent int) {
	if b.milli.Load() < budgetBurst {
		b.milli.Add(int64(percent * percentMilli))
	}
}

// Spend takes one retry and tells whether there was one to take.
func (b *Budget) Spend() bool {
	if b.milli.Add(-milli) >= 0 {
		return true
	}
	b.milli.Add(milli)
	return false
}

// MayRetry tells whether another attempt could run a request a second time:
// one that provably did not run is always safe, one that may have run only
// when it is idempotent.
func MayRetry(o Outcome, idempotent bool) bool {
	return o == NotRun || o == Unknown && idempotent
}
