package contract

import (
	"strconv"
	"time"

	"figwheel/result"
)

// DepthMax bounds the daemons that a call goes through one after the other.
const DepthMax = 16

// Deadline returns when a call that arrives at now has to be answered: the
// limit of the service, or what the caller has left if that is less. The text
// is the deadline header in milliseconds, empty when there is none.
func Deadline(now time.Time, limit time.Duration, text string) (time.Time, error) {
	d := now.Add(limit)
	if text == "" {
		return d, nil
	}
	m, err := strconv.ParseInt(text, 10, 64)
	if err != nil || m < 0 {
		return d, result.New(result.BadDeadline, "%s is %q, not a number of milliseconds", DeadlineHeader, text)
	}
	if m > limit.Milliseconds() { // also keeps the product below from overflowing
		return d, nil
	}
	return now.Add(time.Duration(m) * time.Millisecond), nil
}

// Remaining returns the deadline header for a request sent on at now. It
// rounds down, so that a deadline shrinks with each hop.
func Remaining(now, deadline time.Time) string {
	return strconv.FormatInt(max(0, deadline.Sub(now).Milliseconds()), 10)
}

// Depth returns the depth of a request whose depth header is text.
func Depth(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	d, err := strconv.Atoi(text)
	if err != nil || d < 0 || d >= DepthMax {
		return 0, result.New(result.TooDeep, "the request went through %s daemons, at most %d are allowed", text, DepthMax)
	}
	return d, nil
}
