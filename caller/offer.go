package caller

import "time"

const (
	// offersGoalShare is the share of its goal that a request may spend on offers which
	// are rejected for want of room. Where a rejection takes long, the next ones do too:
	// daemons are short of processor time, or their links are full. What is left is worth
	// more to the caller for its own retry.
	offersGoalShare = 0.25
	// offersTimeMin is the least of that time. Short goals are those of calls that running
	// requests make: nobody retries them, and the request fails with them.
	offersTimeMin = 250 * time.Millisecond
)

// offersEnd reports whether the offers of c that were rejected until now have taken too
// long for another one. The time in which its body arrived, or in which a worker failed,
// does not count: it tells nothing about the next daemon.
func (c *call) offersEnd() bool {
	a := c.admission
	limit := max(offersTimeMin, time.Duration(offersGoalShare*float64(a.Goal.Sub(a.Arrived))))
	return !a.Goal.IsZero() && c.rejectedFor > limit
}
