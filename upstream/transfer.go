package upstream

import (
	"context"
	"time"

	"figwheel/result"
)

// transfer sends the answer to a request over the instance's link.
type transfer struct {
	Request
	gate      *Gate
	waited    time.Duration // for turns on the link
	isWaiting bool          // whether it waited for one when the request ended
	complete  bool          // whether the whole answer was sent
}

// beforePart returns the function for hop.Hop.BeforePart, which waits until x ends, or
// nil if the answer is not sent over the link.
func (t *transfer) beforePart(x context.Context) func(n int, rest int64) result.Code {
	if t.Answer == nil {
		return nil
	}
	return func(n int, rest int64) result.Code {
		now := t.Now()
		c := t.gate.EnterLink(x, now, t.AdmissionRequest, int64(n), rest)
		t.waited += t.Now().Sub(now)
		t.isWaiting = c != 0
		return c
	}
}

// end records that no more of the answer is sent.
func (t *transfer) end() { t.gate.LeaveLink(t.AdmissionRequest, t.waited, t.complete) }

// LinkLoad returns the load of answers on the instance's link.
func (k *Worker) LinkLoad(now time.Time) LinkLoad { return k.gate.LinkLoad(now) }
