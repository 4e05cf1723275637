package upstream

import (
	"slices"
	"time"
)

// heldMax bounds the announcements that a Confirmation holds, one of each id.
const heldMax = 8

// Confirmation decides which announcements that a worker is ready need the worker's own
// word: all from a start that has not answered a health check yet, or not since it has
// announced that it leaves. Announcements may arrive late, after the daemon has acknowledged
// that the worker leaves, and may come from another writer; an answer at the worker's address
// may not. The zero value trusts no start.
type Confirmation struct {
	id      string // of the start that answered the last health check, empty if none is ready
	held    []heldAnnouncement
	asking  bool     // whether a health check runs
	leaving []string // ids that have announced that they leave since it began
}

// heldAnnouncement is the newest announcement of a start that awaits confirmation.
type heldAnnouncement struct {
	Announcement
	arrivedAt time.Time
}

// Hold reports whether the announcement a that arrives at now must not be applied before
// the worker confirms it, and keeps it until then.
func (c *Confirmation) Hold(a Announcement, now time.Time) bool {
	if a.ID == "" || a.State == readyState && a.ID == c.id {
		return false
	}
	i := slices.IndexFunc(c.held, func(h heldAnnouncement) bool { return h.ID == a.ID })
	switch {
	case a.State != readyState:
		if i >= 0 {
			c.held = slices.Delete(c.held, i, i+1)
		}
		if a.ID == c.id {
			c.id = ""
		}
		if c.asking && len(c.leaving) < heldMax {
			c.leaving = append(c.leaving, a.ID)
		}
		return false
	case i < 0:
		if len(c.held) == heldMax {
			c.held = slices.Delete(c.held, 0, 1)
		}
		c.held = append(c.held, heldAnnouncement{a, now})
	case a.IsOtherStart(c.held[i].Announcement) || a.Sequence > c.held[i].Sequence:
		c.held[i] = heldAnnouncement{a, now}
	}
	return true
}

// Ask records that a health check begins.
func (c *Confirmation) Ask() { c.asking, c.leaving = true, nil }

// Answer records the worker's answer to a health check: the id of the start that is
// ready, empty if it is not ready. It returns the announcement of that start that was held,
// with its arrival, and those that are dropped. If there is none of it, its ID is empty. An
// answer that may be from before the start announced that it leaves confirms nothing: what
// the start has announced since stays held.
func (c *Confirmation) Answer(id string) (a Announcement, arrivedAt time.Time, dropped []Announcement) {
	outdated := slices.Contains(c.leaving, id) || len(c.leaving) == heldMax
	c.asking, c.leaving = false, nil
	var kept []heldAnnouncement
	for _, h := range c.held {
		switch {
		case h.ID != id:
			dropped = append(dropped, h.Announcement)
		case outdated:
			kept = append(kept, h)
		default:
			a, arrivedAt = h.Announcement, h.arrivedAt
		}
	}
	c.held, c.id = kept, id
	if outdated {
		c.id = ""
	}
	return a, arrivedAt, dropped
}

// Drop drops the announcements that are held and returns them, without an answer of the
// worker.
func (c *Confirmation) Drop() (dropped []Announcement) {
	for _, h := range c.held {
		dropped = append(dropped, h.Announcement)
	}
	c.held, c.id = nil, ""
	return dropped
}

// Forget makes the start that answered the last health check answer another one before
// its next announcement is applied.
func (c *Confirmation) Forget() { c.id = "" }

// Held returns the last announcement that arrived of those that are held, unless that was
// longer than lapse before now. Its ID is empty if there is none.
func (c *Confirmation) Held(now time.Time, lapse time.Duration) Announcement {
	var l heldAnnouncement
	for _, h := range c.held {
		if now.Sub(h.arrivedAt) < lapse && !h.arrivedAt.Before(l.arrivedAt) {
			l = h
		}
	}
	return l.Announcement
}
