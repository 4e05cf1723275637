package upstream

import "figwheel/contract"

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

// recordNotice records the notice in an answer of the worker that announced a.
func (k *Worker) recordNotice(a Announcement, n contract.Notice) {
	o := k.notice.Load()
	if o != nil && o.Notice == n {
		return
	}
	if s := k.state.Load(); s.IsOtherStart(a) || a.IsOtherStart(s.Announcement) {
		return // the answer of an earlier start came late
	}
	k.notice.Store(&Notice{n, a})
	if (o != nil || n != contract.Notice{}) && k.Noticed != nil {
		k.Noticed()
	}
}
