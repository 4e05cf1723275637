package hoptest

import (
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// samplePause is the time between two samples of the memory.
	samplePause = 5 * time.Millisecond
	// collectorShare is the share of the memory that the collector may let grow, so that
	// garbage does not count: a daemon has such a limit below that of its instance.
	collectorShare = 0.75
)

// LimitMemory samples the memory of the process, which should not grow by more than most bytes,
// until the returned function is called. That returns by how much it has grown.
func LimitMemory(most int64) (grown func() int64) {
	debug.FreeOSMemory()
	before, peak := memoryBytes(), int64(0)
	limit := debug.SetMemoryLimit(before + int64(collectorShare*float64(most)))
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			peak = max(peak, memoryBytes()-before)
			select {
			case <-stop:
				return
			case <-time.After(samplePause):
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-done
		debug.SetMemoryLimit(limit)
		return peak
	}
}

// memoryBytes returns the memory that the process has of the system.
func memoryBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys - m.HeapReleased)
}
