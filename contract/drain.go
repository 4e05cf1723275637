package contract

import "time"

const (
	// AnswerTime is how long before its end a stopping daemon gives up the requests
	// that still wait, so that their answers are written before it closes the
	// connections.
	AnswerTime = 300 * time.Millisecond
	// lateTimeFactor is how many times its expected time must be left for a request
	// that begins after the drain was announced: times vary about their mean, and a
	// request that does not end in time is cut off.
	lateTimeFactor = 4
)

// Drain describes when a stopping daemon breaks off the requests in flight. The
// zero value is that of a daemon that does not stop.
type Drain struct {
	End       time.Time // when the connections of callers are closed
	Announced bool      // whether callers and other daemons had time to learn of the drain
}

// Allows reports whether a request with the deadline, zero for none, that is
// expected to take so long, 0 if that is unknown, may begin at now. Until the drain is
// announced, it may unless it is expected to be cut off. After that it may only if
// it will have ended by then, or is expected to with a margin.
func (d Drain) Allows(now, deadline time.Time, expected time.Duration) bool {
	switch {
	case d.End.IsZero(), !deadline.IsZero() && !deadline.After(d.WaitEnd()):
		return true
	case !d.Announced:
		return expected <= d.End.Sub(now)
	}
	return expected > 0 && lateTimeFactor*expected <= d.WaitEnd().Sub(now)
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

// Text explains that a request which is expected to take so long, 0 if that is
// unknown, may not begin at now.
func (d Drain) Text(now time.Time, expected time.Duration) string {
	t := "how long the request takes is unknown"
	if expected > 0 {
		t = "the request is expected to take " + expected.Round(time.Millisecond).String()
	}
	return "the daemon stops in " + d.End.Sub(now).Round(time.Millisecond).String() + ", " + t
}
