package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/upstream"
)

// overload is twice the work that two workers of 9 slots can do, for some
// seconds, from callers that come back once when they are refused.
const (
	overloadSlots          = 9
	overloadServiceTime    = 100 * time.Millisecond
	overloadGoal           = 200 * time.Millisecond
	overloadDeadline       = 800 * time.Millisecond
	overloadCallsPerSecond = 360 // callers a second, where 180 can be served
	overloadTime           = 10 * time.Second
)

// simulateOverload returns the shares of callers that were answered within their
// goal, counted from the first try, and later, when refused ones return after
// what wait says.
func simulateOverload(wait func(r *rand.Rand) time.Duration) (inGoal, late float64) {
	r := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var all sync.WaitGroup
	var gates [2]upstream.Gate
	for i := range gates {
		gates[i].SetLimits(overloadSlots, 8*overloadSlots, time.Now())
	}
	draw := func(f func(r *rand.Rand) time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return f(r)
	}
	work := func(r *rand.Rand) time.Duration {
		return time.Duration((0.5 + r.Float64()) * float64(overloadServiceTime))
	}
	try := func() bool {
		now := time.Now()
		x, stop := context.WithDeadline(context.Background(), now.Add(overloadDeadline))
		defer stop()
		a, b := &gates[0], &gates[1]
		if b.InFlight() < a.InFlight() {
			a = b
		}
		if a.Enter(x, now, upstream.Ask{Kind: "k", Goal: now.Add(overloadGoal), Deadline: now.Add(overloadDeadline)}) != 0 {
			return false
		}
		d := draw(work)
		time.Sleep(d)
		a.Leave(time.Now(), "k", d, upstream.Answered)
		return true
	}
	n, good, slow := 0, 0, 0
	for end := time.Now().Add(overloadTime); time.Now().Before(end); n++ {
		all.Add(1)
		go func() {
			defer all.Done()
			first := time.Now()
			if !try() {
				time.Sleep(draw(wait))
				if !try() {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if time.Since(first) <= overloadGoal {
				good++
			} else {
				slow++
			}
		}()
		time.Sleep(time.Second / overloadCallsPerSecond)
	}
	all.Wait()
	return float64(good) / float64(n), float64(slow) / float64(n)
}

// TestReturnUnderOverload plays an overload that lasts. As many are served
// whatever the wait of the refused is, for the slots are never idle; those who
// return while the goal can be reached are served in time.
func TestReturnUnderOverload(t *testing.T) {
	const servedMin, inGoalMin = 0.45, 0.45 // of all callers: nine tenths of those that can be served
	synctest.Test(t, func(t *testing.T) {
		good, late := simulateOverload(func(r *rand.Rand) time.Duration { return retryAfterOverload(overloadGoal, overloadServiceTime, r) })
		t.Logf("in goal %.2f, late %.2f", good, late)
		if good < inGoalMin || good+late < servedMin {
			t.Errorf("in goal %.2f and late %.2f of all, want %.2f in goal and %.2f in all", good, late, inGoalMin, servedMin)
		}
		// After the time that a request takes: what callers were told before.
		good, late = simulateOverload(func(r *rand.Rand) time.Duration { return jitter(overloadServiceTime/2, overloadServiceTime, r) })
		t.Logf("in goal %.2f, late %.2f when they return after a request's time", good, late)
	})
}
