package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// CombineInterval is the time between two reports of an aggregator to each of the
	// others.
	CombineInterval = 200 * time.Millisecond
	// ReporterLifetime is how long after its last report a daemon counts as one that uses
	// the aggregator's shares.
	ReporterLifetime = 1500 * time.Millisecond
	// peerLifetime is how long after its last report another aggregator counts as one whose
	// daemons use the same bucket. It is short: an aggregator that is cut off does not see
	// the demand of the others and would find room for its own.
	peerLifetime = 4 * CombineInterval
	// gapMax is the longest time without a report after which the ledger goes on with its
	// levels. After a longer one other aggregators have taken over.
	gapMax = 1500 * time.Millisecond
	// adoptTime is how long a new aggregator takes the levels that others state.
	adoptTime = 2 * time.Second
	// sourceLifetime is how long the sequences of a silent sender are kept, so that a
	// report that arrives late is not counted again.
	sourceLifetime = 30 * time.Second

	// demandTime is the time constant of the demand rate.
	demandTime = 250 * time.Millisecond
	// demandMin is the demand, in requests per second, that counts as none.
	demandMin = 0.001
	// demandDeviations is how many standard deviations of a demand rate, with arrivals by
	// chance, an account's demand must be above its quota.
	demandDeviations = 1.5
	// debtMax, in requests, and debtRateMax, in seconds of the rate, are the debt that chance
	// explains.
	debtMax     = 3
	debtRateMax = 0.25
	// levelSamples samples, one each levelSampleInterval, go back further than
	// ReporterLifetime.
	levelSamples        = 5
	levelSampleInterval = 500 * time.Millisecond
	// settleTime is the time in which a level above or below zero is used up. It is longer
	// than the delay of the control loop, which would oscillate otherwise.
	settleTime = time.Second
	// rateShareMin is the least part of the rate that is admitted while a debt is repaid,
	// so that the callers of an account are not all rejected for seconds.
	rateShareMin = 0.3
	// tellFactor is how far the share of an account falls until the daemons are told
	// without waiting for their reports.
	tellFactor = 0.8
	// shortMax bounds the accounts of an answer; those with the greatest excess come first.
	shortMax = 512
	// computeInterval is the least time between two computations of the shares.
	computeInterval = 25 * time.Millisecond
)

// Ledger adds up the counts of the fleet at one aggregator. It is not safe for concurrent
// use. The zero value has no limits.
type Ledger struct {
	accounts  map[ID]*total
	reporters map[string]*source // daemons, by name
	peers     map[string]*source // aggregators, by name
	links     map[string]*link   // aggregators to which reports are sent, by name
	touchedAt time.Time          // of the last report
	freshEnd  time.Time          // until when the levels of others are adopted
	part      float64            // of the quotas that the reporting daemons share, from 0 to 1
	answer    Answer
	computed  time.Time
	sampled   time.Time // when the levels were sampled
	heard     int       // other aggregators that were in contact at the last computation
	changed   []Change  // since the last call of Changes
	dropped   bool      // whether a share fell since the last call of Dropped
}

// Change states that an account became short, or that it no longer is.
type Change struct {
	Account string
	Short   bool
	Demand  float64 // requests per second that arrive at all daemons
	Level   float64 // tokens, negative for a debt
}

// total is the state of one account over the fleet.
type total struct {
	limit    Limit
	level    float64 // tokens, negative for a debt
	filled   time.Time
	demand   float64 // requests per second, decaying since demandAt
	demandAt time.Time
	levels   [levelSamples]float64 // of the last time, see levelSampleInterval
	short    bool
	told     float64 // share at the last call of Dropped that returned true for it, 1 while it is not short

	offered, admitted int64 // counts that daemons reported here
}

// source is what is known of a sender of reports.
type source struct {
	incarnation uint64
	sequence    uint64 // of the newest report
	seenAt      time.Time
	reporters   int
	counts      map[ID]counted // of the reports that the sender may not know to have arrived
}

type counted struct {
	sequence          uint64
	offered, admitted int64
}

// link is the state of the reports to another aggregator.
type link struct {
	sequence, acked uint64
	usedAt, ackedAt time.Time
	sent, ackedSums map[ID][2]int64 // offered and admitted
}

// SetLimits replaces the limits. The level of an account that stays is bounded by its new
// burst.
func (l *Ledger) SetLimits(limits []Limit, now time.Time) {
	m := make(map[ID]*total, len(limits))
	for _, v := range limits {
		if v.Rate <= 0 {
			continue
		}
		i := NewID(v.Account)
		t := l.accounts[i]
		if t == nil {
			t = &total{filled: now, demandAt: now, told: 1}
		}
		t.fill(l.part, now)
		t.limit = v
		t.level = min(t.level, v.Burst)
		m[i] = t
	}
	l.accounts = m
	l.computed = time.Time{}
}

// fill adds the tokens of the time since the last call. The bucket has the part of the
// quota that isolated daemons do not use.
func (t *total) fill(part float64, now time.Time) {
	if d := now.Sub(t.filled).Seconds(); d > 0 {
		t.level = min(t.level+d*t.limit.Rate*part, t.limit.Burst*part)
		t.filled = now
	}
}

// lose takes the part of daemons that were lost out of the bucket: that of the tokens that
// were saved up when they reported last, and that of the rate in the time missed since then.
func (t *total) lose(part float64, missed time.Duration) {
	if part > 0 {
		t.level -= part * (max(0, slices.Max(t.levels[:])) + t.limit.Rate*missed.Seconds())
	}
}

// add counts requests.
func (t *total) add(offered, admitted int64, now time.Time) {
	t.decay(now)
	t.demand = max(0, t.demand+float64(offered)/demandTime.Seconds())
	t.level -= float64(admitted)
}

// addRecent counts requests that a daemon admitted lately and reported to an aggregator
// that is gone, against the daemon's part of the rate in that time. Without that, a new
// aggregator would know of no debt.
func (t *total) addRecent(admitted int64, in time.Duration, known int) {
	t.level += min(in, adoptTime).Seconds()*t.limit.Rate/float64(max(1, known)) - float64(admitted)
}

func (t *total) decay(now time.Time) {
	d := now.Sub(t.demandAt)
	if d <= 0 {
		return
	}
	t.demandAt = now
	if t.demand *= math.Exp(-d.Seconds() / demandTime.Seconds()); t.demand < demandMin {
		t.demand = 0
	}
}

// share returns the part of the demand that the quota has room for. The load that it
// answers: an account whose callers send several times its rate for seconds, at all
// daemons, gets its rate all the time and neither more nor less. An account that is not
// short becomes so only if chance does not explain its demand or its debt.
func (t *total) share(part float64) float64 {
	rate := t.limit.Rate * part
	room := max(rate+t.level/settleTime.Seconds(), rateShareMin*rate)
	low := t.demand
	if !t.short && t.level > -debtMax-debtRateMax*rate {
		low -= demandDeviations * math.Sqrt(t.demand/(2*demandTime.Seconds()))
	}
	if low <= room {
		return 1
	}
	return room / t.demand
}

// Report applies the report r of a daemon and returns the answer to it. The fleet has
// known instances that share the quotas.
func (l *Ledger) Report(r Report, known int, now time.Time) Answer {
	if now.Sub(l.touchedAt) > gapMax {
		l.restart(now)
	}
	l.touchedAt = now
	if l.reporters == nil {
		l.reporters = make(map[string]*source)
	}
	l.apply(l.reporters, r, known, now, true)
	l.compute(known, now)
	return l.answer
}

// Combine applies the report r of another aggregator.
func (l *Ledger) Combine(r Report, known int, now time.Time) {
	if l.peers == nil {
		l.peers = make(map[string]*source)
	}
	l.apply(l.peers, r, known, now, false)
	l.compute(known, now)
}

// restart forgets the levels after a time in which others may have taken over. No level
// starts above zero: other daemons may have used up the bursts.
func (l *Ledger) restart(now time.Time) {
	for _, t := range l.accounts {
		t.level, t.filled = min(t.level, 0), now
		t.demand, t.demandAt = 0, now
		t.short, t.told, t.levels = false, 1, [levelSamples]float64{}
	}
	l.reporters, l.peers = nil, nil
	l.freshEnd = now.Add(adoptTime)
	l.answer, l.computed = Answer{}, time.Time{}
}

// apply counts the new part of the report r once. The sums of daemons that report here
// are kept for the other aggregators; own is true for those.
func (l *Ledger) apply(sources map[string]*source, r Report, known int, now time.Time, own bool) {
	s := sources[r.From]
	first := s == nil || s.incarnation < r.Incarnation
	if first {
		s = &source{incarnation: r.Incarnation}
		sources[r.From] = s
		l.adopt(r.Told, now)
	}
	if r.Incarnation < s.incarnation || r.Sequence <= s.sequence {
		return // arrived late
	}
	if r.Base >= s.sequence {
		s.counts = nil // the sender knows that all its reports arrived
	}
	s.sequence, s.seenAt, s.reporters = r.Sequence, now, r.Reporters
	if len(r.Counts) > 0 && s.counts == nil {
		s.counts = make(map[ID]counted, len(r.Counts))
	}
	// Two aggregators without contact use their own parts of the quotas. What they admit
	// in that time is no debt of the other.
	old := !own && (first || r.Age > gapMax)
	for _, c := range r.Counts {
		offered, admitted := c.NewOffered, c.NewAdmitted
		if o, ok := s.counts[c.Account]; ok && o.sequence > r.Base {
			offered, admitted = c.Offered-o.offered, c.Admitted-o.admitted // the answer to that report was lost
		}
		t := l.accounts[c.Account]
		if t == nil {
			continue // of another version
		}
		s.counts[c.Account] = counted{r.Sequence, c.Offered, c.Admitted}
		if old {
			continue
		}
		t.fill(l.part, now)
		t.add(offered, admitted, now)
		if first && own && r.RecentTime > 0 && now.Before(l.freshEnd) {
			t.addRecent(c.Recent-admitted, r.RecentTime, known)
		}
		if own {
			t.offered += offered
			t.admitted += admitted
		}
	}
}

// adopt takes the lowest level that others state, while this aggregator is new.
func (l *Ledger) adopt(told []Share, now time.Time) {
	if !now.Before(l.freshEnd) {
		return
	}
	for _, s := range told {
		if t := l.accounts[s.Account]; t != nil {
			t.fill(l.part, now)
			t.level = min(t.level, s.Level)
		}
	}
}

// compute computes the part of the quotas for the reporting daemons and the shares of the
// accounts that are short.
func (l *Ledger) compute(known int, now time.Time) {
	if now.Sub(l.computed) < computeInterval {
		return
	}
	l.computed = now
	part := min(1, float64(l.Reporters(now)+l.peerReporters(now))/float64(max(1, known)))
	lost := max(0, l.part-part)
	missed := ReporterLifetime
	heard := count(l.peers, peerLifetime, now, func(*source) int { return 1 })
	if heard < l.heard {
		missed = peerLifetime // another aggregator is lost with its daemons
	}
	sampled := now.Sub(l.sampled) >= levelSampleInterval
	for _, t := range l.accounts {
		t.fill(l.part, now) // until now with the part of before
		t.lose(lost, missed)
		t.level = min(t.level, t.limit.Burst*part)
		if sampled {
			copy(t.levels[:], t.levels[1:])
			t.levels[len(t.levels)-1] = t.level
		}
	}
	if sampled {
		l.sampled = now
	}
	l.part, l.heard = part, heard
	var s []Share
	for i, t := range l.accounts {
		t.decay(now)
		v := t.share(part)
		if v < 1 {
			s = append(s, Share{i, v, t.level})
		}
		if v < t.told*tellFactor {
			t.told = v
			l.dropped = true
		}
		if v >= 1 {
			t.told = 1
		}
		if t.short != (v < 1) {
			t.short = v < 1
			l.changed = append(l.changed, Change{t.limit.Account, t.short, t.demand, t.level})
		}
	}
	slices.SortFunc(s, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Share, b.Share), cmp.Compare(a.Account, b.Account))
	})
	l.answer = Answer{Short: s[:min(len(s), shortMax)]}
}

// Reporters returns the number of daemons that use the shares of this aggregator. It
// forgets senders that have been silent for long.
func (l *Ledger) Reporters(now time.Time) int {
	return count(l.reporters, ReporterLifetime, now, func(*source) int { return 1 })
}

// peerReporters returns the number of daemons that report to the other aggregators.
func (l *Ledger) peerReporters(now time.Time) int {
	return count(l.peers, peerLifetime, now, func(s *source) int { return s.reporters })
}

func count(sources map[string]*source, lifetime time.Duration, now time.Time, value func(*source) int) int {
	var n int
	for k, s := range sources {
		a := now.Sub(s.seenAt)
		if a < lifetime {
			n += value(s)
		}
		if a > sourceLifetime {
			delete(sources, k)
		}
	}
	return n
}

// Receiver is a daemon that reports to an aggregator.
type Receiver struct {
	Name     string
	Sequence uint64 // of its last report
}

// Receivers returns the daemons that report here, for an answer without a report.
func (l *Ledger) Receivers(now time.Time) []Receiver {
	var r []Receiver
	for k, s := range l.reporters {
		if now.Sub(s.seenAt) < ReporterLifetime {
			r = append(r, Receiver{k, s.sequence})
		}
	}
	slices.SortFunc(r, func(a, b Receiver) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

// Senders returns the other aggregators that sent a report lately.
func (l *Ledger) Senders(now time.Time) []string {
	var r []string
	for k, s := range l.peers {
		if now.Sub(s.seenAt) < ReporterLifetime {
			r = append(r, k)
		}
	}
	slices.Sort(r)
	return r
}

// Answer returns the shares as of the last computation.
func (l *Ledger) Answer() Answer { return l.answer }

// Changes returns the changes since the last call.
func (l *Ledger) Changes() []Change {
	r := l.changed
	l.changed = nil
	return r
}

// Dropped reports whether the share of an account fell by much since the last call.
func (l *Ledger) Dropped() bool {
	r := l.dropped
	l.dropped = false
	return r
}

// IsAlone reports whether at most one daemon uses the shares of the aggregators that are
// in contact.
func (l *Ledger) IsAlone(now time.Time) bool {
	return l.Reporters(now)+l.peerReporters(now) <= 1
}

// IsActive reports whether daemons report to this aggregator.
func (l *Ledger) IsActive(now time.Time) bool { return now.Sub(l.touchedAt) < ReporterLifetime }

// Message returns the report for another aggregator, with what was counted here since the
// last one that it acknowledged. One that is new takes the levels instead of the history.
func (l *Ledger) Message(to string, now time.Time) Report {
	if l.links == nil {
		l.links = make(map[string]*link)
	}
	k := l.links[to]
	if k == nil || now.Sub(k.usedAt) > sourceLifetime {
		k = &link{ackedSums: make(map[ID][2]int64, len(l.accounts)), sequence: uint64(now.UnixNano()), ackedAt: now}
		k.acked = k.sequence
		for i, t := range l.accounts {
			k.ackedSums[i] = [2]int64{t.offered, t.admitted}
		}
		l.links[to] = k
	}
	k.sequence++
	k.usedAt = now
	k.sent = make(map[ID][2]int64)
	r := Report{Sequence: k.sequence, Base: k.acked, Age: now.Sub(k.ackedAt), Reporters: l.Reporters(now), Told: l.answer.Short}
	for i, t := range l.accounts {
		a := k.ackedSums[i]
		if t.offered == a[0] && t.admitted == a[1] {
			continue
		}
		k.sent[i] = [2]int64{t.offered, t.admitted}
		r.Counts = append(r.Counts, Count{Account: i, Offered: t.offered, Admitted: t.admitted, NewOffered: t.offered - a[0], NewAdmitted: t.admitted - a[1]})
	}
	return r
}

// Acknowledged records that the other aggregator received the report of that sequence.
func (l *Ledger) Acknowledged(to string, sequence uint64) {
	k := l.links[to]
	if k == nil || k.sequence != sequence {
		return
	}
	k.acked, k.ackedAt = sequence, k.usedAt
	for i, v := range k.sent {
		k.ackedSums[i] = v
	}
	k.sent = nil
}
