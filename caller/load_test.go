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

// The simulated overload: twice the work that two workers of 9 slots can do, for
// 10 seconds, from callers that retry once when they are rejected.
const (
	overloadSlots          = 9
	overloadServiceTime    = 100 * time.Millisecond
	overloadGoal           = 200 * time.Millisecond
	overloadDeadline       = 800 * time.Millisecond
	overloadCallsPerSecond = 360 // callers a second, where 180 can be served
	overloadTime           = 10 * time.Second
)

// simulateOverload returns the shares of callers that were answered within the
// latency target, counted from their first attempt, and after it. Rejected
// callers retry after the time that wait returns.
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
		if a.Enter(x, now, upstream.AdmissionRequest{Kind: "k", Goal: now.Add(overloadGoal), Deadline: now.Add(overloadDeadline)}) != 0 {
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

// TestReturnUnderOverload guards against Retry-After times under a lasting
// overload that make callers retry too late for the latency target. The slots are
// never idle, so the time does not change how many callers are served, but only
// how many of them are served within the target.
func TestReturnUnderOverload(t *testing.T) {
	const servedMin, inGoalMin = 0.45, 0.45 // shares of all callers: nine tenths of those that can be served
	synctest.Test(t, func(t *testing.T) {
		good, late := simulateOverload(func(r *rand.Rand) time.Duration { return retryAfterOverload(overloadGoal, overloadServiceTime, r) })
		t.Logf("%.2f within the target, %.2f late", good, late)
		if good < inGoalMin || good+late < servedMin {
			t.Errorf("%.2f of all callers within the target and %.2f late, want at least %.2f within the target and %.2f in all", good, late, inGoalMin, servedMin)
		}
		// For comparison: retries after half to one service time, without regard to
		// the target.
		good, late = simulateOverload(func(r *rand.Rand) time.Duration { return jitter(overloadServiceTime/2, overloadServiceTime, r) })
		t.Logf("%.2f within the target, %.2f late when callers retry after half to one service time", good, late)
	})
}
