package upstream

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// rateBurstTime is the time for which an unused rate limit is saved up. A
	// worker that states a limit is short of capacity, so that it must not get
	// the requests of several seconds at once.
	rateBurstTime = 500 * time.Millisecond
	// rateMin is the lowest rate limit that is applied, in requests per second.
	// Only an answer shows that the worker has raised its limit, so that a worker
	// that takes none must still get a request now and then.
	rateMin = 0.5
	// rateMax is the highest rate limit that is applied, in requests per second.
	rateMax = 1e6
)

// rateLimit admits as many requests as a worker takes. The zero value admits all.
type rateLimit struct {
	limiter *rate.Limiter // nil without a limit
	last    time.Time     // latest time that was passed to the limiter
}

// set changes the limit, in requests per second. A limit where there was none
// starts with nothing saved up: the worker may have got requests until now.
func (l *rateLimit) set(perSecond float64, now time.Time) {
	now = l.advance(now)
	p := min(max(rateMin, perSecond), rateMax)
	burst := max(1, int(p*rateBurstTime.Seconds()))
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(p), burst)
		l.limiter.AllowN(now, burst)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(p))
	l.limiter.SetBurstAt(now, burst)
}

// clear removes the limit.
func (l *rateLimit) clear() { l.limiter = nil }

// perSecond returns the limit, 0 if there is none.
func (l *rateLimit) perSecond() float64 {
	if l.limiter == nil {
		return 0
	}
	return float64(l.limiter.Limit())
}

// take counts a request and reports whether it is admitted.
func (l *rateLimit) take(now time.Time) bool {
	return l.limiter == nil || l.limiter.AllowN(l.advance(now), 1)
}

// delay returns the time until n more requests will have been admitted.
func (l *rateLimit) delay(n int, now time.Time) time.Duration {
	if l.limiter == nil {
		return 0
	}
	missing := float64(n) - l.limiter.TokensAt(l.advance(now))
	return max(0, time.Duration(missing/l.perSecond()*float64(time.Second)))
}

// advance returns the later one of now and the latest time so far: requests read
// the clock before they wait for the gate, and the limiter would count the time
// between them twice.
func (l *rateLimit) advance(now time.Time) time.Time {
	if now.Before(l.last) {
		return l.last
	}
	l.last = now
	return now
}
