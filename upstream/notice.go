package upstream

import (
	"time"

	"figwheel/contract"
)

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

// recordNotice records the notice in an answer of the worker that announced a, and
// applies its rate limit to the gate. One that cannot be read changes no limit.
func (k *Worker) recordNotice(a Announcement, n contract.Notice, now time.Time) {
	if o := k.notice.Load(); o != nil && o.Notice == n {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.state.Load(); s.IsOtherStart(a) || a.IsOtherStart(s.Announcement) {
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

// forgetNotice removes the notice and the rate limit of an earlier start.
func (k *Worker) forgetNotice(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notice.Store(nil)
	k.gate.ClearRateLimit(now)
}
