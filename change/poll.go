package change

import "time"

// Poll schedules a daemon's reads of a configuration that another system
// writes. A few daemons, the pollers, read it at a fixed interval, and their
// confirmations are propagated to the rest. Reads are used instead of a watch:
// a read confirms which version is the newest, whereas a watch may deliver
// nothing for seconds without breaking, and costs one call per change and
// watcher. The zero value has read nothing.
type Poll struct {
	lastConfirmed time.Time // latest time at which the store is known to have had nothing newer
	lastRead      time.Time // start of this daemon's last read
	failed        bool      // whether that read failed
	missingSince  time.Time // since when a configuration that the daemon has heard of is not here, zero if none is
}

const (
	// Pollers is how many daemons read at the fixed interval. One is left if two
	// of them are paused or cut off from the store.
	Pollers = 3
	// PollInterval is the interval between two reads of a poller. The three
	// pollers do not read in step, so a change is seen after a third of the
	// interval on average, and after the whole interval at worst.
	PollInterval = 750 * time.Millisecond
	// ConfirmationAgeMax is the age of the newest confirmation from which a daemon
	// reads the store itself: the daemons that should have propagated a newer one
	// are then lost or cut off.
	ConfirmationAgeMax = 1250 * time.Millisecond

	// MissingTimeMax is how long the content of a configuration that a daemon has
	// heard of may be missing before the daemon reads the store itself: the peers
	// that should have sent it do not have it either, or are short of processor
	// time. They confirm the configuration all the same, so that the age of the
	// newest confirmation does not show it.
	MissingTimeMax = 400 * time.Millisecond

	// RefreshAge is the age of the newest confirmation from which a daemon
	// requests a newer one from a peer. It is less than ConfirmationAgeMax because
	// a read of the store costs more than a message, and is needed only if no peer
	// has a newer confirmation.
	RefreshAge = 800 * time.Millisecond
	// daemonsPerRelay is the number of live daemons for each relay. Relays are
	// the daemons of the lowest ranks, with the pollers among them. A relay that
	// is no poller requests a confirmation from a poller when its newest one is
	// half of RefreshAge old. The remaining daemons request one from a relay, at
	// RefreshAge.
	daemonsPerRelay = 16

	// storeReadsPerSecondMax bounds the reads of all daemons together while none
	// of them has a recent confirmation. It is far below what the store can serve.
	storeReadsPerSecondMax = 100
)

// Confirmation states that no version newer than Number had been accepted at the
// time At.
type Confirmation struct {
	Number uint64
	At     time.Time
}

// After reports whether c is newer than o: it confirms a higher version, or the
// same version at a later time.
func (c Confirmation) After(o Confirmation) bool {
	return c.Number > o.Number || c.Number == o.Number && c.At.After(o.At)
}

// Confirm records that at the time t the store had nothing newer than what this
// daemon knows.
func (p *Poll) Confirm(t time.Time) {
	if t.After(p.lastConfirmed) {
		p.lastConfirmed = t
	}
}

// SetMissing records whether the content of a configuration that the daemon has heard
// of is missing at now.
func (p *Poll) SetMissing(missing bool, now time.Time) {
	switch {
	case !missing:
		p.missingSince = time.Time{}
	case p.missingSince.IsZero():
		p.missingSince = now
	}
}

// MissingFor returns how long a content has been missing at now, 0 if none is.
func (p *Poll) MissingFor(now time.Time) time.Duration {
	if p.missingSince.IsZero() {
		return 0
	}
	return now.Sub(p.missingSince)
}

// ReadStarted records that a read starts at now.
func (p *Poll) ReadStarted(now time.Time) { p.lastRead = now }

// ReadEnded records the end of the read that started at t, and whether it
// succeeded. If it did, it confirms the time t.
func (p *Poll) ReadEnded(t time.Time, ok bool) {
	p.failed = !ok
	if ok {
		p.Confirm(t)
	}
}

// Age returns the age of the newest confirmation, and false if there is none.
func (p *Poll) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(p.lastConfirmed), !p.lastConfirmed.IsZero()
}

// Due reports whether the daemon should read at now. The rank is its rank among
// the live daemons, below 0 if it has none. The jitter is a random number from
// 0 to 1, drawn for each read; it spreads the retries of failed reads. Their interval does not
// grow: a store that is back may have a new version, and in a small fleet nobody else reads it.
func (p *Poll) Due(now time.Time, rank, live int, jitter float64) bool {
	if p.lastRead.IsZero() {
		return true
	}
	wait := float64(PollInterval)
	if rank < 0 || rank >= Pollers {
		if now.Sub(p.lastConfirmed) < ConfirmationAgeMax && p.MissingFor(now) < MissingTimeMax {
			return false
		}
		wait = max(wait, float64(live)/storeReadsPerSecondMax*float64(time.Second))
	}
	if p.failed {
		wait *= 0.5 + jitter // spreads retries if the reads of all daemons failed at the same time
	}
	return now.Sub(p.lastRead) >= time.Duration(wait)
}

// RefreshRanks returns n if this daemon should request a newer confirmation at now
// from one of the daemons of the ranks 0 to n-1, and 0 if it should not request
// one. The rank is its own, as in Due. Requests are needed in a fleet that has too
// few calls to piggyback confirmations on. They are spread over the relays so that
// no daemon receives requests from all others.
func (p *Poll) RefreshRanks(now time.Time, rank, live int) int {
	relays := max(Pollers, live/daemonsPerRelay)
	age := now.Sub(p.lastConfirmed)
	switch {
	case rank >= 0 && rank < Pollers:
		return 0
	case rank >= 0 && rank < relays:
		if age >= RefreshAge/2 {
			return Pollers
		}
	case age >= RefreshAge:
		return relays
	}
	return 0
}
