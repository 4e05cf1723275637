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
	// suspectsPerMessageMax bounds the suspects in one message.
	suspectsPerMessageMax = 32
	// suspectSendsPerDoubling is how often news of a suspect is handed out for each
	// doubling of the fleet.
	suspectSendsPerDoubling = 2
)

// mergeSuspects takes in news of requests that crash workers and hands it on. The
// cause is empty for what other daemons told.
func (c *control) mergeSuspects(news []poison.Suspect, cause string) {
	l, fresh := c.suspects.With(c.d.now(), news...)
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

// suspectsToSend returns the suspects that others may not have heard of, and counts
// them as handed out once more.
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

// workerCrashed suspects what was at the worker when it broke off.
func (c *control) workerCrashed(now time.Time, cause string) {
	c.mergeSuspects(c.d.worker.Crashed(now), cause)
}

// reportCleared is told by calls that a worker answered a suspected request.
func (d *Daemon) reportCleared(f poison.Fingerprint) {
	select {
	case d.clearedRequests <- f:
	default: // the next answer says it again
	}
}
