package upstream

import (
	"time"

	"figwheel/contract"
)

// Health is a worker's response to a health check.
type Health struct {
	ID     string // of the current start of the worker, empty if it is not ready
	Notice contract.Notice
}

// Notice is the last notice of a worker, with the announcement of the start that
// it came from.
type Notice struct {
	contract.Notice
	Worker Announcement
}

// Notice returns the last notice of the current start of the worker, and whether
// the start has answered a request yet.
func (k *Worker) Notice() (Notice, bool) {
	n := k.notice.Load()
	if n == nil {
		return Notice{}, false
	}
	return *n, true
}

// Sent returns the number of requests that were sent to the worker.
func (k *Worker) Sent() int64 { return k.sentCount.Load() }

// RecordHealth records the notice in the response h of the worker. After a start of
// the daemon this is the first that it learns of a worker that was running before.
func (k *Worker) RecordHealth(h Health, now time.Time) {
	a := Announcement{ID: h.ID}
	if s := k.state.Load(); s != nil && h.ID == "" {
		a = s.Announcement
	}
	k.recordNotice(a, h.Notice, now)
}

// recordNotice records the notice in an answer of the worker that announced a, and
// applies its rate limit to the gate. One that cannot be read changes no limit.
func (k *Worker) recordNotice(a Announcement, n contract.Notice, now time.Time) {
	if o := k.notice.Load(); o != nil && o.Notice == n {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.state.Load(); s != nil && s.Service != "" && (s.IsOtherStart(a) || a.IsOtherStart(s.Announcement)) {
		return // the answer of an earlier start came late
	}
	o := k.notice.Swap(&Notice{n, a})
	switch l, limited, err := n.RequestsPerSecond(); {
	case err != nil: // logged when Noticed is called
	case limited:
		k.gate.SetRateLimit(l, now)
	default:
		k.gate.ClearRateLimit(now)
	}
	if (o != nil || n != contract.Notice{}) && k.Noticed != nil {
		k.Noticed()
	}
}

// forgetOtherNotice removes the notice and the rate limit of a start other than the
// one that announced a. It keeps them while no start has announced itself.
func (k *Worker) forgetOtherNotice(a Announcement, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.notice.Load()
	if n == nil || n.Worker.ID == "" || a.Service == "" || !a.IsOtherStart(n.Worker) {
		return
	}
	k.notice.Store(nil)
	k.gate.ClearRateLimit(now)
}
