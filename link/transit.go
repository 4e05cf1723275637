package link

import (
	"sync/atomic"
	"time"
)

const (
	// transitWindow is the length of the windows over which a transit time is a
	// minimum.
	transitWindow = 125 * time.Millisecond
	// transitWindows is the number of windows after which a sample no longer counts,
	// so that an instance that gets no request because of it is tried again.
	transitWindows = 8
	// transitWindowsApart is how many windows the first and the last sample must lie
	// apart, so that a transit time is known: after a pause of this process, answers
	// that have waited for it are read together, in one window or in two that adjoin.
	transitWindowsApart = 2
	// transitMax bounds a transit time so that it fits into transitMicrosBits.
	transitMax = 10 * time.Minute
)

// The parts of a window in a Transit, from the highest bit: its number, whether it has
// samples, and their minimum in microseconds.
const (
	transitMicrosBits = 30
	transitSampledBit = 1 << transitMicrosBits
	transitNumberBit  = transitMicrosBits + 2
)

// Transit estimates the time that a request and the head of its answer spend
// between two daemons, as the minimum of the samples of the last second: a queue on the
// way that lasts delays all of them. The zero value is ready to use and safe for
// concurrent use.
type Transit struct{ windows [transitWindows]atomic.Uint64 }

// Observe adds the sample d, taken at now.
func (t *Transit) Observe(d time.Duration, now time.Time) {
	w := windowOf(now)
	us := uint64(min(max(0, d), transitMax).Microseconds())
	s := &t.windows[w%transitWindows]
	for {
		o := s.Load()
		v, sampled, m := unpackWindow(o)
		if sampled && int32(w-v) < 0 {
			return // of a window that has passed
		}
		if sampled && v == w {
			us = min(us, m)
		}
		p := uint64(w)<<transitNumberBit | transitSampledBit | us
		if p == o || s.CompareAndSwap(o, p) {
			return
		}
	}
}

// Estimate returns the transit time at now, 0 if it is unknown.
func (t *Transit) Estimate(now time.Time) time.Duration {
	w := windowOf(now)
	var oldest uint32 // in windows before w
	newest := uint32(transitWindows)
	least := uint64(transitMax.Microseconds())
	for i := range t.windows {
		v, sampled, m := unpackWindow(t.windows[i].Load())
		if age := w - v; sampled && age < transitWindows {
			oldest, newest = max(oldest, age), min(newest, age)
			least = min(least, m)
		}
	}
	if oldest < newest+transitWindowsApart {
		return 0
	}
	return time.Duration(least) * time.Microsecond
}

// windowOf returns the number of the window that holds now.
func windowOf(now time.Time) uint32 { return uint32(int64(instantOf(now)) / int64(transitWindow)) }

func unpackWindow(p uint64) (number uint32, sampled bool, micros uint64) {
	return uint32(p >> transitNumberBit), p&transitSampledBit != 0, p & (transitSampledBit - 1)
}
