package upstream_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/upstream"
)

// TestOneSlowRequestStarvesNoKind guards against a kind whose first request took 8 s, and
// whose later ones are rejected for that time for as long as others keep all slots in use:
// none is admitted that would correct it. Work asks for the given share of the slots; a
// request of the other kind takes 160 ms, has a goal of 600 ms and may have a large body.
func TestOneSlowRequestStarvesNoKind(t *testing.T) {
	const slots, work, d = 6, 210 * time.Millisecond, 60 * time.Second
	for _, c := range []struct {
		name string
		load float64
		body int64 // bytes
	}{
		{"all slots in use", 1, 0},
		{"overload", 1.4, 0},
		{"large bodies", 0.8, 100_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &upstream.Gate{}
				g.SetLimits(slots, 8*slots, time.Now())
				run := func(kind string, held time.Duration) (ok bool) {
					now := time.Now()
					q := upstream.AdmissionRequest{Kind: kind, Goal: now.Add(600 * time.Millisecond), Deadline: now.Add(3 * time.Second)}
					if kind == "other" && c.body > 0 {
						if g.EnterBody(t.Context(), now, q, c.body) != 0 {
							return false
						}
						g.LeaveBody(time.Now(), c.body)
					}
					if g.Enter(t.Context(), now, q) != 0 {
						return false
					}
					time.Sleep(held)
					g.Leave(time.Now(), kind, held, upstream.Answered)
					return true
				}
				run("work", work)
				run("other", 8*time.Second)
				var served atomic.Int64
				asked := int64(0)
				step := time.Duration(float64(work) / slots / c.load)
				for i := range int(d / step) {
					go run("work", time.Duration(float64(work)*(0.5+float64(i*7919%100)/100)))
					if i%10 == 0 {
						asked++
						go func() {
							if run("other", 160*time.Millisecond) {
								served.Add(1)
							}
						}()
					}
					time.Sleep(step)
				}
				time.Sleep(10 * time.Second)
				t.Logf("%d of %d served", served.Load(), asked)
				if served.Load() < asked*4/5 {
					t.Errorf("%d of %d requests of the kind were served, want four fifths", served.Load(), asked)
				}
			})
		})
	}
}
