package poison

import (
	"slices"
	"time"
)

const (
	// crashWindow is how long before a crash is detected it may have broken the
	// connection of a request although the worker gave a sign of life after that, which
	// may have been late. A crash is detected when a connection is refused, the worker
	// announces its restart, or its announcements lapse.
	crashWindow = 3 * time.Second
	// failuresMax bounds the requests that are recorded for one crash.
	failuresMax = 64
)

// Watch records the requests at one worker that ended without an answer. It is
// not safe for concurrent use. The zero value has recorded none.
type Watch struct {
	failures []failure
}

// failure is a request whose connection broke before its answer.
type failure struct {
	request Fingerprint
	level   int
	at      time.Time
}

// RecordFailure records that the connection of a request broke at the time now,
// before its answer. The level is that of the request when it was sent to the
// worker.
func (w *Watch) RecordFailure(f Fingerprint, level int, now time.Time) {
	if len(w.failures) < failuresMax {
		w.failures = append(w.failures, failure{f, level, now})
	}
}

// RecordAnswer records that the worker answered a request that was sent to it
// at the time t: connections that broke before t did not break because of a
// crash.
func (w *Watch) RecordAnswer(t time.Time) {
	w.failures = slices.DeleteFunc(w.failures, func(b failure) bool { return b.at.Before(t) })
}

// Crashed returns the suspects after a crash of the worker that was detected
// at the time now, when its last sign of life was at the time aliveAt: each request whose
// connection may have been broken by the crash, one level higher than before. It forgets
// all recorded requests.
func (w *Watch) Crashed(now, aliveAt time.Time) []Suspect {
	var r []Suspect
	for _, b := range w.failures {
		if now.Sub(b.at) < crashWindow || !b.at.Before(aliveAt) {
			r = append(r, Suspect{Request: b.request, Level: b.level + 1})
		}
	}
	w.failures = nil
	return r
}
