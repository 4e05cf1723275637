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

// Decision is what this daemon did with one request, and what it went by.
type Decision struct {
	RequestID string
	Route     string
	Service   string
	Version   string   // of the configuration that it went by
	Asked     []string // instances, the last ones if some were asked twice
	Sent      int      // workers that it may have reached before the last
	Rank      int
	Code      result.Code
	Outcome   contract.Outcome
	Status    int // of the worker's answer, 0 without one
	Text      string
	Took      time.Duration
	Limit     string        // that the caller set, in milliseconds
	Left      time.Duration // until the deadline when it ended
}

func (h *Handler) record(r *http.Request, c *call, f hop.Result, began time.Time) {
	if h.Record == nil {
		return
	}
	now := h.Now()
	d := Decision{
		RequestID: r.Header.Get(h.Headers.RequestID),
		Version:   c.view.Version(),
		Limit:     r.Header.Get(h.Headers.Deadline),
		Asked:     c.tried,
		Sent:      c.sent,
		Code:      f.Code,
		Outcome:   f.Outcome,
		Status:    f.Status,
		Text:      f.Text,
		Took:      now.Sub(began),
	}
	if c.route != nil {
		d.Route, d.Service, d.Rank = c.route.Name, c.service.Name, c.route.Rank
	}
	if !c.deadline.IsZero() {
		d.Left = c.deadline.Sub(now)
	}
	h.Record.Call(d.Service, f.Code, f.Outcome, d.Took)
	h.Record.Decision(d)
}

// retryAfter returns when a refused caller should come back, spread so that those
// who were refused together do not return together.
func (h *Handler) retryAfter(c *call, f hop.Result) time.Duration {
	switch {
	case f.Outcome != contract.NotRun:
		return 0
	case f.Code == result.CrashesWorkers:
		return cmp.Or(c.refused, poison.RefuseTime)
	case f.Code == result.Overloaded:
		return returnTime(c.route.Goal, c.view.Candidates[c.service.Name].Work(c.ask.Kind, h.Now()), c.random)
	}
	return spread(retryAfterMin, 2*retryAfterMin, c.random)
}

const (
	// retryAfterMin is how long news of another instance may take to come.
	retryAfterMin = 50 * time.Millisecond
	// returnSoonest and returnLatest are the parts of the spare time to its goal
	// after which a caller returns.
	returnSoonest = 0.1
	returnLatest  = 0.5
)

// returnTime returns when a caller should come back that was refused for want of
// slots. It answers an overload that lasts: slots are passed on all the while, and
// who returns has the chance that anybody has, which is worth most while the goal
// can still be reached. The hold is how long a request takes; where it leaves no
// time, the slots are passed on about once.
func returnTime(goal, hold time.Duration, r *rand.Rand) time.Duration {
	if spare := goal - hold; goal > 0 && spare > 0 {
		return spread(time.Duration(returnSoonest*float64(spare)), time.Duration(returnLatest*float64(spare)), r)
	}
	return spread(max(retryAfterMin, hold/2), max(2*retryAfterMin, hold), r)
}

// spread returns a time from low to high.
func spread(low, high time.Duration, r *rand.Rand) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
