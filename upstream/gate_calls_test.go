package upstream_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/upstream"
)

// slotLoad is a kind of request that holds a slot for the time work, on average.
type slotLoad struct {
	kind           string
	rank           int
	perSecond      float64
	work           time.Duration
	goal, deadline time.Duration
}

// slotCounts says how the requests of a kind ended.
type slotCounts struct {
	asked, inGoal, late, rejected int
	givenUp                       int           // of those rejected, after more than an eighth of the goal
	waited                        time.Duration // of all that got a slot
	longest                       time.Duration // of these
}

// playSlots sends the requests of loads for the time d to the gate of a worker with the
// given slots, and returns what became of those of each kind.
func playSlots(t *testing.T, slots int, loads []slotLoad, d time.Duration) map[string]*slotCounts {
	g := &upstream.Gate{}
	g.SetLimits(slots, 8*slots, time.Now())
	got := make(map[string]*slotCounts)
	var mu sync.Mutex
	serve := func(v slotLoad, work time.Duration, c *slotCounts) {
		began := time.Now()
		x, stop := context.WithTimeout(t.Context(), v.deadline)
		defer stop()
		r := g.Enter(x, began, upstream.AdmissionRequest{Kind: v.kind, Rank: v.rank, Goal: began.Add(v.goal), Deadline: began.Add(v.deadline)})
		waited := time.Since(began)
		mu.Lock()
		defer mu.Unlock()
		c.asked++
		if r != 0 {
			c.rejected++
			if waited > v.goal/8 {
				c.givenUp++
			}
			return
		}
		c.waited += waited
		c.longest = max(c.longest, waited)
		mu.Unlock()
		time.Sleep(work)
		g.Leave(time.Now(), v.kind, work, upstream.Answered)
		mu.Lock()
		if time.Since(began) <= v.goal {
			c.inGoal++
		} else {
			c.late++
		}
	}
	var all sync.WaitGroup
	for i, v := range loads {
		c := &slotCounts{}
		got[v.kind] = c
		all.Go(func() {
			r := rand.New(rand.NewPCG(2, uint64(i)))
			for end := time.Now().Add(d); time.Now().Before(end); {
				work := time.Duration(min(4, 0.5+0.5*r.ExpFloat64()) * float64(v.work))
				all.Go(func() { serve(v, work, c) })
				time.Sleep(time.Duration(r.ExpFloat64() / v.perSecond * float64(time.Second)))
			}
		})
	}
	all.Wait()
	return got
}

// TestCallsPassLongWork guards against calls of 81 ms with a goal of 300 ms that wait for
// work of 810 ms: each of them holds a slot of another worker meanwhile. Work with a goal of
// 4 s asks for 1.35 times the slots and calls for a quarter of them. It also guards against a
// reserve that work pays for where it gains nobody a goal: where the work has no time
// to wait, or is not much longer than the calls.
func TestCallsPassLongWork(t *testing.T) {
	const slots = 18
	work := slotLoad{"work", 2, 1.35 * slots / 0.81, 810 * time.Millisecond, 4 * time.Second, 8 * time.Second}
	call := slotLoad{"call", 0, 0.25 * slots / 0.081, 81 * time.Millisecond, 300 * time.Millisecond, time.Second}
	hasty := slotLoad{"work", 1, 1.35 * slots / 0.38, 380 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second}
	short := slotLoad{"work", 2, 1.35 * slots / 0.2, 200 * time.Millisecond, 4 * time.Second, 8 * time.Second}
	cases := []struct {
		name      string
		loads     []slotLoad
		waitMax   time.Duration // mean of the calls
		callShare float64       // of the calls that meet their goal, at least
		workShare float64       // of the slots that is used by work that meets its goal, at least
	}{
		{"patient work", []slotLoad{work, call}, 25 * time.Millisecond, 0.98, 0.55},
		{"work that has no time", []slotLoad{hasty, call}, 60 * time.Millisecond, 0.9, 0.55},
		{"short work", []slotLoad{short, call}, 60 * time.Millisecond, 0.95, 0.65},
		{"no calls", []slotLoad{work}, 0, 0, 0.85},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const d = 30 * time.Second
				got := playSlots(t, slots, c.loads, d)
				w := got["work"]
				used := float64(w.inGoal) * c.loads[0].work.Seconds() / (slots * d.Seconds())
				t.Logf("work %+v, %.2f of the slots in goal", *w, used)
				if used < c.workShare {
					t.Errorf("work that met its goal used %.2f of the slots, want %.2f", used, c.workShare)
				}
				if k := got["call"]; k != nil {
					share, wait := float64(k.inGoal)/float64(k.asked), k.waited/time.Duration(k.inGoal+k.late)
					t.Logf("calls %+v, %.3f in goal, mean wait %s", *k, share, wait)
					if share < c.callShare || wait > c.waitMax {
						t.Errorf("%.3f of the calls met their goal after a mean wait of %s, want %.3f and %s", share, wait, c.callShare, c.waitMax)
					}
				}
			})
		})
	}
}

// TestOvertakenWorkIsRejectedAtOnce guards against requests that wait in a queue, are
// overtaken by more important ones that arrive later, and are rejected when their goals
// have come near: they could have been rejected on arrival. Work of 550 ms with a goal of 1 s
// asks for 0.9 of the slots, and less important work of 420 ms with a goal of 1.2 s for 0.4.
func TestOvertakenWorkIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 18
		got := playSlots(t, slots, []slotLoad{
			{"first", 0, 0.9 * slots / 0.55, 550 * time.Millisecond, time.Second, 4 * time.Second},
			{"second", 1, 0.4 * slots / 0.42, 420 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second},
		}, 60*time.Second)
		a, b := got["first"], got["second"]
		t.Logf("first %+v, second %+v", *a, *b)
		if b.givenUp > b.asked/20 {
			t.Errorf("%d of %d were rejected after a long wait, want at most a twentieth", b.givenUp, b.asked)
		}
		if a.inGoal < a.asked*3/4 {
			t.Errorf("%d of %d of the more important met their goals, want three quarters", a.inGoal, a.asked)
		}
	})
}
