package link

import (
	"math"
	"sync/atomic"
	"time"
)

// Moment is a time that is safe for concurrent use. It keeps the reading of the
// steady clock, so that a step of the time of day makes nothing look old or
// lying ahead. The zero value is a time long ago.
type Moment struct{ at atomic.Pointer[time.Time] }

// Set replaces the time.
func (m *Moment) Set(t time.Time) { m.at.Store(&t) }

// Age returns how long ago the time is at now, below 0 if it lies ahead.
func (m *Moment) Age(now time.Time) time.Duration {
	t := m.at.Load()
	if t == nil {
		return math.MaxInt64
	}
	return now.Sub(*t)
}
