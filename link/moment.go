package link

import (
	"math"
	"sync/atomic"
	"time"
)

// origin is what moments count from; nothing depends on when it was.
var origin = time.Now()

// instant is a time by the steady clock, in nanoseconds after origin.
type instant int64

func at(t time.Time) instant { return instant(t.Sub(origin)) }

// Moment is a time that is safe for concurrent use. It is kept by the steady
// clock, so that a step of the time of day makes nothing look old or lying ahead.
// The zero value is a time long ago.
type Moment struct{ at atomic.Int64 }

// Set replaces the time.
func (m *Moment) Set(t time.Time) {
	n := int64(at(t))
	if n == 0 {
		n = 1 // 0 is the zero value
	}
	m.at.Store(n)
}

// Age returns how long ago the time is at now, below 0 if it lies ahead.
func (m *Moment) Age(now time.Time) time.Duration { return m.age(at(now)) }

func (m *Moment) age(now instant) time.Duration {
	t := m.at.Load()
	if t == 0 {
		return math.MaxInt64
	}
	return time.Duration(int64(now) - t)
}
