package poison

import (
	"slices"
	"time"
)

const (
	// crashTime is how long before a crash was noticed a request may have broken
	// off by it: until the next connection fails, or the worker is back.
	crashTime = 3 * time.Second
	// brokenMax bounds the requests remembered for one crash.
	brokenMax = 64
)

// Watch follows the requests at one worker that ended without an answer. It is
// not safe for concurrent use; the zero value has seen none.
type Watch struct {
	broken []broken
}

type broken struct {
	request Fingerprint
	level   int
	at      time.Time
}

// Broken notes at now that the connection of a request broke. The level is what
// was known of it when it was sent to the worker.
func (w *Watch) Broken(f Fingerprint, level int, now time.Time) {
	if len(w.broken) < brokenMax {
		w.broken = append(w.broken, broken{f, level, now})
	}
}

// Alive notes that the worker answered a request that was sent to it at the
// time t: what broke before that broke by itself.
func (w *Watch) Alive(t time.Time) {
	w.broken = slices.DeleteFunc(w.broken, func(b broken) bool { return b.at.Before(t) })
}

// Crashed returns what follows from a crash of the worker that was noticed at
// now: each request that broke off by it is suspected one level more.
func (w *Watch) Crashed(now time.Time) []Suspect {
	var r []Suspect
	for _, b := range w.broken {
		if now.Sub(b.at) < crashTime {
			r = append(r, Suspect{Request: b.request, Level: b.level + 1})
		}
	}
	w.broken = nil
	return r
}
