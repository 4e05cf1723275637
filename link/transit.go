package link

import (
	"sync/atomic"
	"time"
)

const (
	// transitWindow is the length of the windows over which a transit time is a
	// minimum.
	transitWindow = 250 * time.Millisecond
	// transitWindows is the number of windows after which a transit time no longer
	// counts, so that an instance that gets no request because of it is tried again.
	transitWindows = 4
	// transitSamplesMin is the number of samples from which a transit time is
	// known: one alone may be that of a lost packet.
	transitSamplesMin = 2
	// transitMax bounds a transit time so that it fits into transitMicrosBits.
	transitMax = 10 * time.Minute
)

// The parts of a window in a Transit, from the highest bit: its number, the count of
// its samples up to transitSamplesMin, and their minimum in microseconds.
const (
	transitMicrosBits = 30
	transitCountBits  = 2
)

// Transit estimates the time that a request and the head of its answer spend
// between two daemons, as the minimum of the last samples: a queue on the way that
// lasts delays all of them. The newest window with samples enough counts, so that the
// estimate follows a queue that grows. The zero value is ready to use and safe for
// concurrent use.
type Transit struct{ windows [transitWindows]atomic.Uint64 }

// Observe adds the sample d, taken at now.
func (t *Transit) Observe(d time.Duration, now time.Time) {
	w := windowOf(now)
	us := uint64(min(max(0, d), transitMax).Microseconds())
	s := &t.windows[w%transitWindows]
	for {
		o := s.Load()
		v, n, m := unpackWindow(o)
		switch {
		case n > 0 && v == w:
			n, m = n+1, min(m, us)
		case n > 0 && int32(w-v) < 0:
			return // of a window that has passed
		default:
			n, m = 1, us
		}
		p := uint64(w)<<(transitCountBits+transitMicrosBits) | min(n, transitSamplesMin)<<transitMicrosBits | m
		if p == o || s.CompareAndSwap(o, p) {
			return
		}
	}
}

// Estimate returns the transit time at now, 0 if it is unknown.
func (t *Transit) Estimate(now time.Time) time.Duration {
	w := windowOf(now)
	var count, least uint64
	for i := range uint32(transitWindows) {
		v, n, m := unpackWindow(t.windows[(w-i)%transitWindows].Load())
		if n == 0 || v != w-i {
			continue
		}
		if count == 0 || m < least {
			least = m
		}
		if count += n; count >= transitSamplesMin {
			return time.Duration(least) * time.Microsecond
		}
	}
	return 0
}

// windowOf returns the number of the window that holds now.
func windowOf(now time.Time) uint32 { return uint32(int64(instantOf(now)) / int64(transitWindow)) }

func unpackWindow(p uint64) (number uint32, count, micros uint64) {
	return uint32(p >> (transitCountBits + transitMicrosBits)), p >> transitMicrosBits & (1<<transitCountBits - 1), p & (1<<transitMicrosBits - 1)
}
