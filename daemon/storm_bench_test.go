package daemon

import (
	"testing"
	"time"
)

// BenchmarkStorm kills all daemons and restarts them at the same time at their
// addresses. It measures the time until they serve the version in force and agree
// on the membership, and the control bytes and platform calls until then.
func BenchmarkStorm(b *testing.B) {
	eachSize(b, storm)
}

func storm(b *testing.B, n int) {
	f := startBenchFleet(b, n)
	time.Sleep(rosterInterval * 2) // the rosters are complete then
	for _, d := range f.daemons {
		d.kill()
	}
	for i := range f.daemons {
		f.stop(i)
	}
	c := f.store.Counts()
	t := time.Now()
	for i, d := range f.daemons {
		f.start(i, d.Settings())
	}
	f.waitServing(1)
	b.ReportMetric(time.Since(t).Seconds(), "serving-s")
	f.wait("all know each other", func() bool { return f.all(func(c *control) bool { return c.table.Count() == n }) })
	f.waitAgreed()
	b.ReportMetric(time.Since(t).Seconds(), "agreed-s")
	b.ReportMetric(float64(f.controlBytes())/float64(n)/1024, "control-KB/instance")
	e := f.store.Counts()
	b.ReportMetric(float64(e.Calls()-c.Calls())/float64(n), "platform-calls/instance")
	b.Logf("%+v", e)
	f.close()
}
