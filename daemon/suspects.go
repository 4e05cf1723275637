package daemon

import (
	"fmt"
	"log/slog"
	"math/bits"
	"time"

	"figwheel/event"
	"figwheel/poison"
)

const (
	suspectsPerMessageMax = 32
	// suspectSendsPerDoubling is how often each daemon sends a changed suspect to
	// peers, for each doubling of the fleet.
	suspectSendsPerDoubling = 2
)

// mergeSuspects merges suspects, which are requests that may crash workers, and
// requests gossip of those that changed. It logs them with the cause, which is
// empty for suspects from other daemons: those are not logged.
func (c *control) mergeSuspects(suspects []poison.Suspect, cause string) {
	l, fresh := c.suspects.With(c.d.now(), suspects...)
	if len(fresh) == 0 {
		return
	}
	c.suspects = l
	for _, s := range fresh {
		c.suspectSendsLeft[s.Request] = suspectSendsPerDoubling * bits.Len(uint(c.table.Count()))
		if cause == "" {
			continue
		}
		i := event.RequestSuspected
		if s.Cleared {
			i = event.RequestCleared
		}
		c.d.event(c.x, i, slog.String("Fingerprint", fmt.Sprintf("%016x", uint64(s.Request))), slog.Int("Level", s.Level), slog.String("Cause", cause))
	}
	c.markChanged()
}

// suspectsToSend returns up to suspectsPerMessageMax suspects that are still to
// be sent to peers, and counts each as sent once more.
func (c *control) suspectsToSend() []poison.Suspect {
	var r []poison.Suspect
	for f, n := range c.suspectSendsLeft {
		if len(r) == suspectsPerMessageMax {
			break
		}
		s, ok := c.suspects.Get(f)
		if ok {
			r = append(r, s)
		}
		if c.suspectSendsLeft[f] = n - 1; n <= 1 || !ok {
			delete(c.suspectSendsLeft, f)
		}
	}
	return r
}

// workerCrashed suspects the requests that were at the worker when it crashed.
func (c *control) workerCrashed(now time.Time, cause string) {
	c.mergeSuspects(c.d.worker.Crashed(now, c.announcedAt), cause)
}

// reportCleared reports to the control goroutine that a worker answered the
// suspected request of that fingerprint. It does not block: it is called on the
// path of calls.
func (d *Daemon) reportCleared(f poison.Fingerprint) {
	select {
	case d.clearedRequests <- f:
	default: // another report is queued; the next answer to the request repeats this one
	}
}
