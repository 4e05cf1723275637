package upstream

import (
	"testing"
	"time"
)

// TestGateWithReserveSetsNoTimer guards against a gate that wakes itself without a pause:
// a request waits because the free slots are reserved for more important ones, and the
// rate limit, which would admit it, has no time to wait for. The end of a request wakes it.
func TestGateWithReserveSetsNoTimer(t *testing.T) {
	const slots = 18
	now := time.Now()
	work := AdmissionRequest{Kind: "work", Rank: 2, Goal: now.Add(8 * time.Second), Arrived: now}
	call := AdmissionRequest{Kind: "call", Goal: now.Add(300 * time.Millisecond), Arrived: now}
	g := &Gate{}
	g.SetLimits(slots, slots, now)
	run := func(q AdmissionRequest, held time.Duration) {
		if c := g.Enter(t.Context(), now, q); c != 0 {
			t.Fatalf("%s got %s, want a slot", q.Kind, c)
		}
		g.Leave(now, q.Kind, held, Answered)
	}
	run(work, 810*time.Millisecond)
	for range 60 {
		run(call, 81*time.Millisecond)
	}
	free := g.reserve(work, now)
	if free == 0 {
		t.Fatal("no slot is reserved for the calls")
	}
	for range slots - free {
		_ = g.Enter(t.Context(), now, work)
	}
	g.SetRateLimit(1000, now)
	now = now.Add(time.Second)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c := g.Enter(t.Context(), now, work); c != 0 {
			t.Errorf("the request that waits got %s", c)
		}
	}()
	for g.InFlight() <= slots-free {
		time.Sleep(time.Millisecond)
	}
	g.mu.Lock()
	isSet := g.wake != nil
	g.mu.Unlock()
	if isSet {
		t.Error("a timer runs although the rate limit admits the request that waits")
	}
	g.Leave(now, "work", 810*time.Millisecond, Answered)
	<-ended
}
