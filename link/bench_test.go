package link_test

import (
	"math/rand/v2"
	"strconv"
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

// BenchmarkChoice measures one choice among the instances of a service that have all
// reported their load for two kinds of requests.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{48, 115} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var l []link.Candidate
			at := time.Now()
			for i := range n {
				p := &link.Peer{}
				for _, k := range []string{"short", "long"} {
					p.Report(link.Load{InFlight: i % 18, Hold: 300 * time.Millisecond, Work: 300 * time.Millisecond}, k, at)
				}
				l = append(l, link.Candidate{Name: "i-" + strconv.Itoa(i), Slots: 18, SameSite: i%4 == 0, Peer: p})
			}
			c := link.NewCandidates(l)
			r := rand.New(rand.NewPCG(1, 1))
			q := &link.Request{Kind: "long", Goal: time.Second, Far: 250 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				if c.ChooseFor(at, q, r) == nil {
					b.Fatal("no choice")
				}
			}
		})
	}
}
