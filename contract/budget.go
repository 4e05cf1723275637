package contract

import "sync/atomic"

const (
	milli        = 1000
	percentMilli = 10
)

// Retries bounds the retries of one service at one daemon.
type Retries struct {
	Percent int // of the requests
	Burst   int // that may come at once
}

// Budget keeps retries to a share of the requests. The zero value is an empty
// budget; it is safe for concurrent use.
type Budget struct{ milli atomic.Int64 }

// Earn credits one request.
func (b *Budget) Earn(r Retries) {
	if b.milli.Load() < int64(r.Burst)*milli {
		b.milli.Add(int64(r.Percent * percentMilli))
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
