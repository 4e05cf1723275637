package caller

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/poison"
	"figwheel/result"
)

// Decision is the record of how this daemon handled one request.
type Decision struct {
	RequestID string
	Route     string
	Service   string
	Account   string   // name of the client account, empty for none
	Version   string   // number of the configuration version that was used
	Asked     []string // instances that the request was offered to; if all were full, only those that it was then offered to again
	Sent      int      // attempts that may have reached a worker and after which a retry was considered
	Rank      int
	Code      result.Code // 0 for a complete answer
	Outcome   contract.Outcome
	Status    int // HTTP status of the worker's answer, 0 without an answer
	Text      string
	Stage     hop.Stage     // at which the request ended, see hop.Result
	InStage   time.Duration // for which it was at that stage
	Took      time.Duration // since the request was read
	Limit     string        // value of the caller's deadline header, in milliseconds
	Left      time.Duration // time from the end of the request to its deadline, negative after it
}

// record reports the end of a request that began at the given time.
func (h *Handler) record(r *http.Request, c *call, f hop.Result, began time.Time) {
	if h.Record == nil {
		return
	}
	now := h.Now()
	d := Decision{
		RequestID: r.Header.Get(h.Headers.RequestID),
		Account:   c.accountName(),
		Version:   c.view.Version(),
		Limit:     r.Header.Get(h.Headers.Deadline),
		Asked:     c.tried,
		Sent:      c.workersReached,
		Code:      f.Code,
		Outcome:   f.Outcome,
		Status:    f.Status,
		Text:      f.Text,
		Stage:     f.Stage,
		InStage:   f.InStage,
		Took:      now.Sub(began),
	}
	if c.route != nil {
		d.Route, d.Service, d.Rank = c.route.Name, c.service.Name, c.route.Rank
	}
	if !c.deadline.IsZero() {
		d.Left = c.deadline.Sub(now)
	}
	h.Record.RecordCall(d.Service, f.Code, f.Outcome, d.Took)
	h.Record.RecordDecision(d)
}

// retryAfter returns the time after which the caller of a rejected request
// should retry, 0 if the request may have run. The time has jitter, so that
// callers that were rejected together do not retry together.
func (h *Handler) retryAfter(c *call, f hop.Result) time.Duration {
	switch {
	case f.Outcome != contract.NotRun:
		return 0
	case f.Code == result.CrashesWorkers:
		return cmp.Or(c.refusedFor, poison.RefuseTime)
	case f.Code == result.QuotaExceeded:
		return c.quotaWait
	case f.Code == result.UnknownAccount:
		return 0 // a retry with the same key is rejected too
	case f.Code == result.Overloaded:
		return retryAfterOverload(c.route.Goal, c.view.Candidates[c.service.Name].KindServiceTime(c.admission.Kind, h.Now()), c.random)
	}
	return jitter(retryAfterMin, 2*retryAfterMin, c.random)
}

const (
	// retryAfterMin is the shortest time until a retry that does not depend on the
	// latency target: a state change of another instance may take this long to
	// propagate to this daemon.
	retryAfterMin = 50 * time.Millisecond
	// slackShareMin and slackShareMax bound the time until a retry under
	// overload, as shares of the slack: the time to the latency target less the
	// service time.
	slackShareMin = 0.1
	slackShareMax = 0.5
)

// retryAfterOverload returns the time after which the caller of a request that
// was rejected for lack of slots should retry. It is meant for an overload that
// lasts: slots become free all the time, so a retry has the same chance as any
// other request, and its answer is worth most while the latency target goal can
// still be met. If the service time leaves no slack to the target, the caller
// waits for about the time in which each slot becomes free once.
func retryAfterOverload(goal, serviceTime time.Duration, r *rand.Rand) time.Duration {
	if slack := goal - serviceTime; goal > 0 && slack > 0 {
		return jitter(time.Duration(slackShareMin*float64(slack)), time.Duration(slackShareMax*float64(slack)), r)
	}
	return jitter(max(retryAfterMin, serviceTime/2), max(2*retryAfterMin, serviceTime), r)
}

// jitter returns a random time from low to high.
func jitter(low, high time.Duration, r *rand.Rand) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
