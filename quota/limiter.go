package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// ReportInterval is the time between two reports of a daemon. A surge of an account
	// is seen half of it later on average; docs/design/quotas.md has the arithmetic.
	ReportInterval = 500 * time.Millisecond
	// ShortReportInterval is the time between two reports while an account is short.
	ShortReportInterval = 350 * time.Millisecond
	// EarlyReportInterval is the least time between a report and one that a local surge
	// causes.
	EarlyReportInterval = 150 * time.Millisecond
	// ShareLifetime is how long a daemon uses the shares of an answer, from when it sent
	// the report. After that it is isolated.
	ShareLifetime = 1000 * time.Millisecond

	// lateTime is the time since the last report that was answered after which no answer is
	// expected any more. From then on an account that is not short gets lateFactor times its
	// usual at this daemon and lateMin requests: the daemon may be cut off, and a surge would
	// not be seen.
	lateTime   = 600 * time.Millisecond
	lateFactor = 2.5
	lateMin    = 2
	// usualWeight is the weight of the latest report in the usual rate of an account.
	usualWeight = 0.2

	surgeMin    = 4 // arrivals since the last report that may be chance
	surgeFactor = 2 // times the daemon's even part of the quota above which arrivals are a surge

	// recentReports is how many reports the recent counts go back, which a new aggregator
	// gets.
	recentReports = 4

	// quickRetries is how many reports without an answer are repeated at once, each to
	// another aggregator.
	quickRetries = 3

	retryAfterMin = 200 * time.Millisecond
	retryAfterMax = 3 * time.Second
	// creditMax bounds the credit of an account, so that refunds do not save up a burst.
	creditMax = 2
)

// Limiter admits the requests of accounts at one daemon. It is safe for concurrent use.
// The zero value admits everything; SetLimits makes it count.
type Limiter struct {
	accounts   atomic.Pointer[map[string]*account]
	known      atomic.Int64 // instances that share the quotas
	sharesEnd  atomic.Int64 // Unix nanoseconds until which the daemon is not isolated
	reportedAt atomic.Int64 // Unix nanoseconds of the last report
	wake       atomic.Pointer[chan struct{}]
	surged     atomic.Bool // whether a surge was signalled since the last report
	retryNow   atomic.Bool
	refused    atomic.Int64

	mutex    sync.Mutex // guards what follows
	ids      map[ID]*account
	told     []Share                  // shares of the last answer
	sequence uint64                   // of the last report
	acked    uint64                   // sequence of the last report that was answered
	repeat   bool                     // whether the next report goes to another aggregator and has the shares
	times    [recentReports]time.Time // of the last reports, the oldest first
	sentAt   time.Time                // of the last report that was answered
	failures int                      // consecutive reports without an answer
	from     string
	start    uint64
}

// account is the state of one account at one daemon.
type account struct {
	id    ID
	phase float64 // from 0 to 1, so that the daemons do not all admit the same request of a sequence
	mutex sync.Mutex
	limit Limit

	offered, admitted           int64 // while the daemon was not isolated
	sentOffered, sentAdmitted   int64 // as of the last report
	ackedOffered, ackedAdmitted int64 // as of the last report that was answered

	usual  float64              // requests per second that were admitted, on average
	recent [recentReports]int64 // admitted, as of the last reports, the oldest first

	share  float64 // 1 for an account that is not short
	level  float64 // tokens of the fleet, as the aggregator stated it
	credit float64 // admissions that are due; a request is admitted from 1 on
	local  float64 // tokens of this daemon's own bucket while it is isolated, negative for a debt
	filled time.Time

	localEnd int64 // end of the shares after which local began, in Unix nanoseconds
}

// Init sets the name and incarnation under which the limiter reports, and the channel on
// which it signals that a report is due earlier than planned. The channel must have a
// buffer.
func (l *Limiter) Init(from string, incarnation uint64, wake chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.from, l.start = from, incarnation
	l.wake.Store(&wake)
}

// SetLimits replaces the limits. Accounts that stay keep their counts.
func (l *Limiter) SetLimits(limits []Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var o map[string]*account
	if p := l.accounts.Load(); p != nil {
		o = *p
	}
	m := make(map[string]*account, len(limits))
	l.ids = make(map[ID]*account, len(limits))
	for _, v := range limits {
		if v.Rate <= 0 {
			continue
		}
		a := o[v.Account]
		if a == nil {
			a = &account{id: NewID(v.Account), share: 1}
			a.phase = float64(xxh3.HashStringSeed(v.Account, xxh3.HashString(l.from))>>11) / (1 << 53)
			a.credit = a.phase
		}
		a.setLimit(v)
		m[v.Account], l.ids[a.id] = a, a
	}
	if len(m) == 0 {
		l.accounts.Store(nil)
		return
	}
	l.accounts.Store(&m)
}

func (a *account) setLimit(v Limit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.limit = v
}

// Active reports whether any account has a limit.
func (l *Limiter) Active() bool { return l.accounts.Load() != nil }

// SetKnown sets the number of instances that share the quotas, including this one and
// those that are dead, because they may only be cut off.
func (l *Limiter) SetKnown(n int) { l.known.Store(int64(max(1, n))) }

// Isolated reports whether the daemon has no recent answer of an aggregator.
func (l *Limiter) Isolated(now time.Time) bool { return now.UnixNano() >= l.sharesEnd.Load() }

// Refused returns the number of requests that were not admitted since the start.
func (l *Limiter) Refused() int64 { return l.refused.Load() }

// Short returns the number of accounts that were short in the last answer.
func (l *Limiter) Short() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.told)
}

// Admit counts a request of the account at now and reports whether it is within the
// quota. If it is not, the caller should return after retryAfter. An account without a
// limit is admitted. The requests of an isolated daemon are not counted: the aggregators
// leave its part of the quota to it.
func (l *Limiter) Admit(name string, now time.Time) (retryAfter time.Duration, ok bool) {
	p := l.accounts.Load()
	if p == nil {
		return 0, true
	}
	a := (*p)[name]
	if a == nil {
		return 0, true
	}
	known := float64(max(1, l.known.Load()))
	end := l.sharesEnd.Load()
	isolated := now.UnixNano() >= end
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if isolated {
		ok = a.takeLocal(known, end, now)
	} else {
		a.offered++
		if n := a.offered - a.sentOffered; n >= surgeMin && a.share >= 1 {
			t := time.Duration(now.UnixNano() - l.reportedAt.Load()).Seconds()
			if float64(n) >= surgeMin+surgeFactor*a.limit.Rate/known*t {
				l.signalSurge()
			}
		}
		late := now.Sub(time.Unix(0, end).Add(-ShareLifetime))
		if ok = a.takeShare() && !a.isSurge(late); ok {
			a.admitted++
		}
	}
	if ok {
		return 0, true
	}
	l.refused.Add(1)
	return a.retryAfter(isolated, known), false
}

// takeShare admits the part share of the requests, evenly.
func (a *account) takeShare() bool {
	if a.share >= 1 {
		return true
	}
	a.credit = min(a.credit+a.share, creditMax)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// isSurge reports whether the account, for the time late without an answer to a report, has
// got all that is admitted without one.
func (a *account) isSurge(late time.Duration) bool {
	return a.share >= 1 && late > lateTime && float64(a.admitted-a.ackedAdmitted) >= lateFactor*a.usual*late.Seconds()+lateMin
}

// takeLocal takes a token from this daemon's own bucket, which has one part in known of
// the quota. The shares of the daemon ended at end, in Unix nanoseconds. The bucket starts
// with less than a token, so that the buckets of many daemons that are isolated at once do
// not add up to more than the quota, and with the debt of the requests that were admitted
// since the last report that was answered: the aggregators do not know of those.
func (a *account) takeLocal(known float64, end int64, now time.Time) bool {
	if a.filled.IsZero() || a.localEnd != end {
		a.local, a.localEnd, a.filled = a.phase, end, now
		if end > 0 {
			a.filled = time.Unix(0, end).Add(-ShareLifetime)
			a.local -= float64(a.admitted - a.ackedAdmitted)
		}
	}
	if t := now.Sub(a.filled).Seconds(); t > 0 {
		a.local = min(a.local+t*a.limit.Rate/known, max(1, a.limit.Burst/known))
	}
	a.filled = now
	if a.local < 1 {
		return false
	}
	a.local--
	return true
}

// retryAfter returns when a rejected request should return: once the debt of the account
// is repaid, and later the less of the demand is admitted. The random part keeps the
// callers from returning together.
func (a *account) retryAfter(isolated bool, known float64) time.Duration {
	t := 1 - a.share + max(0, -a.level)/a.limit.Rate
	if isolated {
		t = (1 - a.local) * known / a.limit.Rate
	}
	t = max(retryAfterMin.Seconds(), t) * (1 + a.jitter()/2)
	return min(time.Duration(t*float64(time.Second)), retryAfterMax)
}

// jitter returns a number from 0 to 1 that is spread evenly over successive requests.
func (a *account) jitter() float64 {
	const goldenRatio = 0.6180339887498949
	_, f := math.Modf(a.phase + float64(a.offered)*goldenRatio)
	return f
}

func (l *Limiter) signalSurge() {
	if !l.surged.Swap(true) {
		l.signal()
	}
}

// signal signals that a message may be due earlier than planned.
func (l *Limiter) signal() {
	p := l.wake.Load()
	if p == nil {
		return
	}
	select {
	case *p <- struct{}{}:
	default: // a signal is pending already
	}
}

// Refund takes back the count of a request that Admit admitted and that was not run.
func (l *Limiter) Refund(name string, now time.Time) {
	p := l.accounts.Load()
	if p == nil {
		return
	}
	a := (*p)[name]
	if a == nil {
		return
	}
	isolated := l.Isolated(now)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if isolated {
		a.local++ // takeLocal bounds it
		return
	}
	a.admitted--
	if a.share < 1 {
		a.credit = min(a.credit+1, creditMax)
	}
}

// Report returns the next report, with the accounts whose counts changed since the last
// one that was answered. If other is true, the report goes to another aggregator than
// the last one and has the shares that this daemon was told.
func (l *Limiter) Report(other bool, now time.Time) Report {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	l.repeat = l.repeat || other
	r := Report{From: l.from, Incarnation: l.start, Sequence: l.sequence, Base: l.acked}
	if l.repeat && now.Sub(l.sentAt) < 2*ShareLifetime {
		r.Told = l.told
	}
	if l.repeat && !l.times[0].IsZero() {
		r.RecentTime = now.Sub(l.times[0])
	}
	for _, a := range l.ids {
		if c, ok := a.report(); ok || r.RecentTime > 0 && c.Recent > 0 {
			r.Counts = append(r.Counts, c)
		}
	}
	copy(l.times[:], l.times[1:])
	l.times[recentReports-1] = now
	l.reportedAt.Store(now.UnixNano())
	l.surged.Store(false)
	l.retryNow.Store(false)
	return r
}

// report returns the counts to report, and whether any changed since the last report
// that was answered.
func (a *account) report() (Count, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sentOffered, a.sentAdmitted = a.offered, a.admitted
	c := Count{a.id, a.offered, a.admitted, a.offered - a.ackedOffered, a.admitted - a.ackedAdmitted, a.admitted - a.recent[0]}
	copy(a.recent[:], a.recent[1:])
	a.recent[recentReports-1] = a.admitted
	return c, c.NewOffered != 0 || c.NewAdmitted != 0
}

// Answered applies the answer to the last report, which was sent at the time sent.
func (l *Limiter) Answered(p Answer, sent time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acked, l.repeat, l.failures = l.sequence, false, 0
	for _, a := range l.ids {
		a.answered(sent.Sub(l.sentAt))
	}
	l.sentAt = sent
	l.apply(p)
	l.sharesEnd.Store(sent.Add(ShareLifetime).UnixNano())
}

// answered records that the last report, which came that time after the one before, was
// answered.
func (a *account) answered(after time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if t := after.Seconds(); t > 0 {
		a.usual += usualWeight * (float64(a.sentAdmitted-a.ackedAdmitted)/t - a.usual)
	}
	a.ackedOffered, a.ackedAdmitted = a.sentOffered, a.sentAdmitted
}

// Told applies shares that the aggregator sent without a report, because an account
// became short. They do not prolong the time for which shares are used. It reports
// whether they were applied: those that rest on an older report than the last answered
// one are not.
func (l *Limiter) Told(p Answer, sequence uint64, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if sequence < l.acked || l.Isolated(now) {
		return false
	}
	l.apply(p)
	return true
}

// apply replaces the shares. The caller holds the mutex.
func (l *Limiter) apply(p Answer) {
	short := make(map[ID]bool, len(p.Short))
	for _, s := range p.Short {
		short[s.Account] = true
		if a := l.ids[s.Account]; a != nil {
			a.setShare(s.Share, s.Level)
		}
	}
	for _, s := range l.told {
		if a := l.ids[s.Account]; a != nil && !short[s.Account] {
			a.setShare(1, 0)
		}
	}
	l.told = p.Short
}

func (a *account) setShare(share, level float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.share, a.level = share, level
}

// nextReport returns the time of the next report.
func (l *Limiter) nextReport() time.Time {
	t := ReportInterval
	switch {
	case l.retryNow.Load():
		return time.Time{}
	case l.surged.Load():
		t = EarlyReportInterval
	case l.Short() > 0:
		t = ShortReportInterval
	}
	return time.Unix(0, l.reportedAt.Load()).Add(t)
}

// retry makes the next report due after one without an answer, for the first few of them.
func (l *Limiter) retry() {
	if l.failures++; l.failures <= quickRetries {
		l.retryNow.Store(true)
		l.signal()
	}
}
