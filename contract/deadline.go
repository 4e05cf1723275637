package contract

import (
	"strconv"
	"time"

	"figwheel/result"
)

// CallDepthMax limits how deep calls may nest: a request at this depth or
// beyond is rejected, which stops services that call each other in a loop.
const CallDepthMax = 16

// Deadline returns the time by which a call that arrives at now must be
// answered: after limit, or after the caller's remaining time if that is
// shorter. The text is the value of the deadline header in milliseconds, empty
// if the request has none. If the text is not a number of milliseconds, the
// error has the code BadDeadline.
func Deadline(now time.Time, limit time.Duration, text string) (time.Time, error) {
	d := now.Add(limit)
	if text == "" {
		return d, nil
	}
	m, err := strconv.ParseInt(text, 10, 64)
	if err != nil || m < 0 {
		return d, result.New(result.BadDeadline, "%s is %q, not a number of milliseconds", DeadlineHeader, text)
	}
	if m > limit.Milliseconds() { // also prevents an overflow of the product below
		return d, nil
	}
	return now.Add(time.Duration(m) * time.Millisecond), nil
}

// RemainingMs returns the time from now to the deadline in milliseconds, at least
// 0, as the text of a header of a request that is forwarded at now. It rounds
// down, so that a deadline never grows from one hop to the next.
func RemainingMs(now, deadline time.Time) string {
	return strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10)
}

// Depth returns the depth of a request whose depth header has the value text: 0
// without the header, and one more for each call that is made while another one
// is served. If the text is not a number from 0 to below CallDepthMax, the
// error has the code TooDeep.
func Depth(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	d, err := strconv.Atoi(text)
	if err != nil || d < 0 || d >= CallDepthMax {
		return 0, result.New(result.TooDeep, "the request went through %s daemons, at most %d are allowed", text, CallDepthMax)
	}
	return d, nil
}
