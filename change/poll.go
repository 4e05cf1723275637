package change

import (
	"math"
	"time"
)

// Poll is when a daemon reads a configuration that others write. Some few of
// the fleet read it at a fixed pace, the rest hear from them. A read is the
// store's word on what is newest; a watch may stay silent for seconds without
// breaking, and costs a call for each change and watcher. The zero value has
// read nothing.
type Poll struct {
	confirmed time.Time // when the store was last known to have nothing newer
	read      time.Time // when this daemon read last
	failures  int       // of reads in a row
}

const (
	// Pollers is how many daemons read at the fixed pace: with two of them cut
	// off from the store or paused one is left.
	Pollers = 3
	// PollTime is the pace of one of them. Three are not in step, so that a
	// change is seen after a third of it on average and after all of it at worst.
	PollTime = 750 * time.Millisecond
	// TrustTime is the age of the newest confirmation above which a daemon reads
	// for itself: then those that should have told it are gone or cut off.
	TrustTime = 1250 * time.Millisecond

	// AskTime is the age above which a daemon asks another for a younger one: a
	// read of the store costs more than a message, and is left for when no peer has a younger one.
	AskTime = 800 * time.Millisecond
	// askedBy is how many daemons ask one of the first. Those ask the ones that
	// read, and do so earlier.
	askedBy = 16

	// storeShare is what all daemons together may read a second when none of
	// them is confirmed, far below the rate of the store.
	storeShare  = 100
	pollWaitMax = 5 * time.Second
)

// Confirmation says that at a time nothing newer than a version was accepted.
type Confirmation struct {
	Number uint64
	At     time.Time
}

// After tells whether c says more than o.
func (c Confirmation) After(o Confirmation) bool {
	return c.Number > o.Number || c.Number == o.Number && c.At.After(o.At)
}

// Confirm notes that the store had nothing newer than what is known here at
// the time t.
func (p *Poll) Confirm(t time.Time) {
	if t.After(p.confirmed) {
		p.confirmed = t
	}
}

// Began notes that a read starts at now.
func (p *Poll) Began(now time.Time) { p.read = now }

// Ended notes how a read ended that began at the time t.
func (p *Poll) Ended(t time.Time, ok bool) {
	if !ok {
		p.failures++
		return
	}
	p.failures = 0
	p.Confirm(t)
}

// Age returns how long ago the newest confirmation was; false without one.
func (p *Poll) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(p.confirmed), !p.confirmed.IsZero()
}

// Due tells whether to read at now. The rank is the daemon's place among the
// live, below 0 if it has none, and jitter a random number from 0 to 1, drawn
// for each read, that keeps daemons from reading in step.
func (p *Poll) Due(now time.Time, rank, live int, jitter float64) bool {
	if p.read.IsZero() {
		return true
	}
	wait := float64(PollTime)
	if rank < 0 || rank >= Pollers {
		if now.Sub(p.confirmed) < TrustTime {
			return false
		}
		wait = max(wait, float64(live)/storeShare*float64(time.Second))
	}
	if p.failures > 0 {
		wait = min(wait*math.Pow(2, float64(p.failures-1)), float64(pollWaitMax))
		wait *= 0.5 + jitter // apart, also when all failed at one time
	}
	return now.Sub(p.read) >= time.Duration(wait)
}

// Ask returns among how many of the first by rank to ask one for a younger
// confirmation at now, 0 for not at all. It answers a fleet whose calls are too
// few to carry confirmations about: no daemon is asked by all others.
func (p *Poll) Ask(now time.Time, rank, live int) int {
	first := max(Pollers, live/askedBy)
	age := now.Sub(p.confirmed)
	switch {
	case rank >= 0 && rank < Pollers:
		return 0
	case rank >= 0 && rank < first:
		if age >= AskTime/2 {
			return Pollers
		}
	case age >= AskTime:
		return first
	}
	return 0
}
