package link_test

import (
	"testing"
	"time"

	"figwheel/link"
)

// BenchmarkTransit measures one sample and one estimate, by all processors at once as for the link of a daemon.
func BenchmarkTransit(b *testing.B) {
	var t link.Transit
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		at := now
		for p.Next() {
			at = at.Add(10 * time.Microsecond)
			t.Observe(5*time.Millisecond, at)
			_ = t.Estimate(at)
		}
	})
}
