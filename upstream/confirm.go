package upstream

import "time"

// Confirmation decides which announcements apply after a start of the daemon. An
// earlier process may have acknowledged that the worker leaves, and an announcement
// from before that may arrive late. So the first announcement that a worker is ready is
// held until the worker itself answers a health check with the same id. After that,
// History alone decides. The zero value holds all of them.
type Confirmation struct {
	done      bool
	id        string       // of the start that answered the last health check, empty if none is ready
	held      Announcement // the newest one that is held, its ID is empty if there is none
	arrivedAt time.Time    // of held
}

// Hold reports whether the announcement a that arrives at now must not be applied before
// the worker confirms it, and keeps it until then.
func (c *Confirmation) Hold(a Announcement, now time.Time) bool {
	switch {
	case c.done || a.ID == "":
		return false
	case a.State != readyState:
		if a.ID == c.held.ID {
			c.held = Announcement{}
		}
		if a.ID == c.id {
			c.id = ""
		}
		return false
	case a.ID == c.id:
		c.done = true
		return false
	}
	if a.ID != c.held.ID || a.IsOtherStart(c.held) || a.Sequence > c.held.Sequence {
		c.held, c.arrivedAt = a, now
	}
	return true
}

// Answer records the worker's answer to a health check: the id of the start that is
// ready, empty if it is not ready. It returns the announcement that was held, whose ID is
// empty if there was none, when it arrived, and whether it may be applied. It holds none
// afterwards.
func (c *Confirmation) Answer(id string) (a Announcement, arrivedAt time.Time, confirmed bool) {
	a, arrivedAt = c.held, c.arrivedAt
	c.held, c.id = Announcement{}, id
	confirmed = id != "" && a.ID == id
	c.done = c.done || confirmed
	return a, arrivedAt, confirmed
}

// Waive lets all announcements apply, for a worker that has no health check. It returns
// the one that was held like Answer.
func (c *Confirmation) Waive() (a Announcement, arrivedAt time.Time) {
	a, arrivedAt, _ = c.Answer("")
	c.done = true
	return a, arrivedAt
}

// Held returns the announcement that is held, unless it arrived longer than lapse before
// now. Its ID is empty if there is none.
func (c *Confirmation) Held(now time.Time, lapse time.Duration) Announcement {
	if now.Sub(c.arrivedAt) >= lapse {
		return Announcement{}
	}
	return c.held
}
