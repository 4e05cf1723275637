package contract

import "time"

const (
	// AnswerTime is how long before its end a stopping daemon gives up the requests
	// that still wait, so that their answers are written before it closes the
	// connections.
	AnswerTime = 300 * time.Millisecond
	// expectedTimeFactor is how many times its expected time must be left for a request
	// that arrived before the drain was announced and begins after that: times vary about
	// their means.
	expectedTimeFactor = 4
)

// Drain describes when a stopping daemon breaks off the requests in flight. The
// zero value is that of a daemon that does not stop.
type Drain struct {
	End         time.Time // when the connections of callers are closed
	AnnouncedAt time.Time // from when callers and other daemons can know of the drain; zero if that is not known
}

// Begin describes a request that is about to begin while the daemon stops.
type Begin struct {
	Arrived  time.Time     // at this daemon
	Deadline time.Time     // zero for none
	Expected time.Duration // how long it is expected to take, 0 if that is unknown
	Nested   bool          // a call of this daemon's worker, for a request that is cut off no later than the call
}

// isAnnounced reports whether callers and other daemons can know of the drain at t.
func (d Drain) isAnnounced(t time.Time) bool {
	return !d.AnnouncedAt.IsZero() && !t.Before(d.AnnouncedAt)
}

// Allows reports whether the request b may begin at now. One that arrives once the drain
// is announced may only if its deadline is early enough: how long it takes cannot be told
// from others of its kind, and its caller can go elsewhere. One that arrived before may
// unless it is expected to be cut off, with a margin after the announcement.
func (d Drain) Allows(now time.Time, b Begin) bool {
	switch {
	case d.End.IsZero(), !b.Deadline.IsZero() && !b.Deadline.After(d.WaitEnd()):
		return true
	case !d.isAnnounced(now):
		return b.Expected <= d.End.Sub(now)
	case d.isAnnounced(b.Arrived) && !b.Nested:
		return false
	}
	return b.Expected > 0 && expectedTimeFactor*b.Expected <= d.WaitEnd().Sub(now)
}

// ForwardedWaitMax returns how long a request may wait at another daemon, from when it
// is sent, if the daemon that sends it stops within the limit. Whenever that daemon
// begins to stop, the request has then left the queue, and its answer has come or can
// no longer say that it was not run, before the connections of callers are closed.
func ForwardedWaitMax(limit time.Duration) time.Duration {
	return max(limit-AnswerTime, limit/2)
}

// WaitEnd returns the time until which a request may wait for a worker.
func (d Drain) WaitEnd() time.Time { return d.End.Add(-AnswerTime) }

// Text explains why the request b may not begin at now.
func (d Drain) Text(now time.Time, b Begin) string {
	t := "how long the request takes is unknown"
	if b.Expected > 0 {
		t = "the request is expected to take " + b.Expected.Round(time.Millisecond).String()
	}
	if !b.Deadline.IsZero() {
		t += " and may take " + b.Deadline.Sub(now).Round(time.Millisecond).String()
	}
	return "the daemon stops in " + d.End.Sub(now).Round(time.Millisecond).String() + ", " + t
}
