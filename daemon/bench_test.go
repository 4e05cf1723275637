package daemon

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"figwheel/platform/platformtest"
	"figwheel/settings"
)

const (
	benchSites        = 7
	benchServices     = 140
	benchChanges      = 10
	startupGossipTime = 8 * time.Second // for the updates of the start to reach all instances
	quietDuration     = 10 * time.Second
)

// eachSize runs f as a sub-benchmark for each size of fleet, in instances.
func eachSize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range benchSizes() {
		b.Run(fmt.Sprintf("instances=%d/way=figwheel", n), func(b *testing.B) {
			for range b.N {
				f(b, n)
			}
		})
	}
}

func benchSizes() []int { return []int{10, 50, 100, 200} }

func (f *fleet) controlBytes() int64 {
	var n int64
	for _, d := range f.daemons {
		in, out := d.ControlBytes()
		n += in + out
	}
	return n
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func startBenchFleet(b *testing.B, n int) *fleet {
	f := &fleet{t: b, store: &platformtest.Store{}, stageLimit: settings.Duration(30 * time.Second)}
	f.startAll(benchSites, n)
	f.announce("s-0")
	if p := last(f.submit(0, "first", bundle(benchSites, benchServices, 0))); p.step != stepInForce {
		b.Fatalf("%s %v", p.step, p.err)
	}
	f.waitServing(1)
	f.waitAgreed()
	return f
}

// BenchmarkConverge measures the time from the acceptance of a change until each
// daemon serves it, and the control bytes and platform calls of a change.
func BenchmarkConverge(b *testing.B) {
	eachSize(b, converge)
}

func converge(b *testing.B, n int) {
	f := startBenchFleet(b, n)
	time.Sleep(time.Second)
	var took []time.Duration
	var whole time.Duration
	w, c := f.controlBytes(), f.store.Counts().Calls()
	for i := range benchChanges {
		t := time.Now()
		took = append(took, f.change(uint64(i+2))...)
		whole += time.Since(t)
	}
	bytes := float64(f.controlBytes() - w)
	reportQuantiles(b, took)
	b.ReportMetric(float64(whole.Microseconds())/1000/benchChanges, "submit-ms")
	b.ReportMetric(bytes/benchChanges/float64(n), "change-B/instance")
	b.ReportMetric(float64(f.store.Counts().Calls()-c)/benchChanges, "platform-calls/change")
	f.close()
}

func reportQuantiles(b *testing.B, l []time.Duration) {
	slices.Sort(l)
	ms := func(q float64) float64 {
		return float64(l[min(len(l)-1, int(q*float64(len(l))))].Microseconds()) / 1000
	}
	b.ReportMetric(ms(0.5), "converge-p50-ms")
	b.ReportMetric(ms(0.99), "converge-p99-ms")
	b.ReportMetric(ms(1), "converge-max-ms")
}

// change submits version n and returns how long after its acceptance each daemon
// served it. It polls the view of each daemon, which is what calls read.
func (f *fleet) change(n uint64) []time.Duration {
	f.t.Helper()
	accepted := make(chan time.Time, 1)
	seen := make(chan time.Time, len(f.daemons))
	for _, d := range f.daemons {
		go func() {
			for d.View().Snapshot.Number() < n {
				time.Sleep(200 * time.Microsecond)
			}
			seen <- time.Now()
		}()
	}
	s := submission{id: fmt.Sprintf("change-%d", n), bundle: bundle(benchSites, benchServices, int(n)), began: time.Now()}
	ended := make(chan progress, 1)
	go func() {
		var end progress
		f.daemons[int(n)%len(f.daemons)].submit(context.Background(), s, func(p progress) {
			end = p
			if p.step == stepAccepted {
				accepted <- time.Now()
			}
		})
		ended <- end
	}()
	t := <-accepted
	var r []time.Duration
	for range f.daemons {
		r = append(r, max(0, (<-seen).Sub(t)))
	}
	if p := <-ended; p.step != stepInForce {
		f.t.Fatalf("%s %v", p.step, p.err)
	}
	slices.SortFunc(r, cmp.Compare[time.Duration])
	return r
}

// BenchmarkQuiet measures the control bytes, platform calls, processor time and
// memory of a fleet in which nothing changes.
func BenchmarkQuiet(b *testing.B) {
	eachSize(b, quiet)
}

func quiet(b *testing.B, n int) {
	f := startBenchFleet(b, n)
	time.Sleep(startupGossipTime)
	w, c, u := f.controlBytes(), f.store.Counts().Calls(), processorTime()
	t := time.Now()
	time.Sleep(quietDuration)
	s := time.Since(t).Seconds()
	k := float64(n)
	b.ReportMetric(float64(f.controlBytes()-w)/s/k, "control-B/instance/s")
	b.ReportMetric(float64(f.store.Counts().Calls()-c)/s, "platform-calls/s")
	b.ReportMetric((processorTime()-u).Seconds()/s/k*100, "core-%/instance")
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapInuse+m.StackInuse)/k/(1<<20), "heap-MB/instance")
	f.close()
}
