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
	// RerunPercent bounds the retries that may run a request a second time, 0
	// for as many as Percent. Such a run makes its calls to other services
	// again, where they count as retries too.
	RerunPercent int
}

// Budget keeps retries to a share of the requests. The zero value is an empty
// budget; it is safe for concurrent use.
type Budget struct{ all, reruns purse }

// Earn credits one request.
func (b *Budget) Earn(r Retries) {
	b.all.earn(r.Percent, r.Burst)
	n := r.RerunPercent
	if n == 0 {
		n = r.Percent
	}
	b.reruns.earn(n, r.Burst)
}

// Spend takes one retry after an attempt with the outcome o and tells whether
// there was one to take.
func (b *Budget) Spend(o Outcome) bool {
	if !b.all.take() {
		return false
	}
	if o == NotRun || b.reruns.take() {
		return true
	}
	b.all.milli.Add(milli)
	return false
}

// purse holds thousandths of retries.
type purse struct{ milli atomic.Int64 }

func (p *purse) earn(percent, burst int) {
	if p.milli.Load() < int64(burst)*milli {
		p.milli.Add(int64(percent * percentMilli))
	}
}

func (p *purse) take() bool {
	if p.milli.Add(-milli) >= 0 {
		return true
	}
	p.milli.Add(milli)
	return false
}

// MayRetry tells whether another attempt could run a request a second time:
// one that provably did not run is always safe, one that may have run only
// when it is idempotent.
func MayRetry(o Outcome, idempotent bool) bool {
	return o == NotRun || o == Unknown && idempotent
}
