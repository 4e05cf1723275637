package upstream_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/upstream"
)

// TestBacklogEndsWithTheLoad guards against an estimate of the link's backlog that grows
// without bound under small answers, which do not wait: they use the whole link for ten
// minutes, of which the gate counts nine tenths. A large answer then has to wait no longer
// than the link can still be busy, and not for the sum of the errors.
func TestBacklogEndsWithTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size, d = 1e6, 2000, 10 * time.Minute
		g := &upstream.Gate{}
		g.SetLimits(9, 9, time.Now())
		g.SetLink(rate)
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(size * time.Second / rate) {
			if c := g.EnterLink(t.Context(), time.Now(), upstream.AdmissionRequest{Answer: &upstream.Answer{}}, size, size); c != 0 {
				t.Fatalf("a small answer got %s", c)
			}
		}
		began := time.Now()
		if c := g.EnterLink(t.Context(), began, upstream.AdmissionRequest{Answer: &upstream.Answer{}}, 16<<10, 90_000); c != 0 {
			t.Errorf("a large answer got %s", c)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("a large answer waited %s after the load, want at most 1s", took)
		}
	})
}

// TestLargeAnswerPassesSteadySmallOnes guards against a large answer that is ready and never
// delivered, since small ones, which do not wait, use all that the gate counts of the link:
// a twentieth of the link is left.
func TestLargeAnswerPassesSteadySmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size, part = 1e6, 2000, 16 << 10
		g := &upstream.Gate{}
		g.SetLimits(9, 9, time.Now())
		g.SetLink(rate)
		x, stop := context.WithCancel(t.Context())
		var small sync.WaitGroup
		defer small.Wait()
		defer stop()
		small.Go(func() {
			for ; x.Err() == nil; time.Sleep(size * time.Second / (rate * 95 / 100)) {
				_ = g.EnterLink(x, time.Now(), upstream.AdmissionRequest{Answer: &upstream.Answer{}}, size, size)
			}
		})
		time.Sleep(10 * time.Second)
		y, end := context.WithTimeout(x, 4*time.Second)
		defer end()
		q := upstream.AdmissionRequest{Answer: &upstream.Answer{}}
		for rest := int64(90_000); rest > 0; rest -= min(rest, part) {
			if c := g.EnterLink(y, time.Now(), q, min(rest, part), rest); c != 0 {
				t.Fatalf("%s with %d bytes left", c, rest)
			}
		}
	})
}
