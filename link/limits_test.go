package link_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"figwheel/link"
)

// TestOddLoadReportIsIgnored guards against a number of requests in flight that overflows
// the mean load and the expected wait: the instance would look empty, or full for good.
func TestOddLoadReportIsIgnored(t *testing.T) {
	for _, n := range []int{math.MaxInt64, math.MaxInt64 / 1000, 1<<20 + 1} {
		if l, ok := link.ParseLoad(strconv.Itoa(n) + " 50000 50000"); ok {
			t.Errorf("got %+v for %d requests in flight, want none", l, n)
		}
	}
}

// TestPeerKeepsFewKinds guards against memory that grows with every route that a
// configuration ever had: versions of it add and remove routes for as long as an instance
// lives.
func TestPeerKeepsFewKinds(t *testing.T) {
	p, now := &link.Peer{}, time.Now()
	known := 0
	for i := range 3000 {
		k := strconv.Itoa(i)
		p.Report(link.Load{Work: time.Second}, k, now)
	}
	for i := range 3000 {
		if _, w := p.KindServiceTime(strconv.Itoa(i), now); w > 0 {
			known++
		}
	}
	if known == 0 || known > 1024 {
		t.Errorf("%d kinds are known, want at most 1024", known)
	}
}
