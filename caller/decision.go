package caller

import (
	"cmp"
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

// retryAfter returns when a refused caller should come back: when each slot of
// the service has been passed on about once, spread so that those who were
// refused together do not return together.
func (h *Handler) retryAfter(c *call, f hop.Result) time.Duration {
	if f.Outcome != contract.NotRun {
		return 0
	}
	if f.Code == result.CrashesWorkers {
		return cmp.Or(c.refused, poison.RefuseTime)
	}
	low := retryAfterMin
	if f.Code == result.Overloaded {
		low = max(low, c.view.Candidates[c.service.Name].Hold(h.Now())/2)
	}
	return low + time.Duration(c.random.Int64N(int64(low)))
}

// retryAfterMin is how long news of another instance may take to come.
const retryAfterMin = 50 * time.Millisecond
