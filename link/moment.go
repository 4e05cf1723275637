package link

import (
	"math"
	"sync/atomic"
	"time"
)

// origin is the time from which instants count; its value does not matter.
var origin = time.Now()

// instant is a reading of the monotonic clock, in nanoseconds after origin.
type instant int64

// instantOf returns t as an instant.
func instantOf(t time.Time) instant { return instant(t.Sub(origin)) }

// Moment is a time that is safe for concurrent use. It is kept by the monotonic
// clock, so that a step of the wall clock changes no age. The zero value is a
// time in the distant past.
type Moment struct{ nanos atomic.Int64 }

// Set sets the moment to t.
func (m *Moment) Set(t time.Time) { m.set(instantOf(t)) }

func (m *Moment) set(t instant) {
	n := int64(t)
	if n == 0 {
		n = 1 // 0 stands for a moment that was never set
	}
	m.nanos.Store(n)
}

// Age returns the time from the moment to now; it is negative for a moment in the
// future.
func (m *Moment) Age(now time.Time) time.Duration { return m.age(instantOf(now)) }

func (m *Moment) age(now instant) time.Duration {
	t := m.nanos.Load()
	if t == 0 {
		return math.MaxInt64
	}
	return time.Duration(int64(now) - t)
}
