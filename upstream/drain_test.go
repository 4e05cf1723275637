package upstream_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/contract"
	"figwheel/result"
	"figwheel/upstream"
)

// TestGateAnswersWaitingRequestsWhenWaitsEnd guards against requests and bodies that wait until a stopping daemon closes their connections.
func TestGateAnswersWaitingRequestsWhenWaitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		g := busy(now, map[string]time.Duration{"k": 100 * time.Millisecond})
		g.SetLink(1000)
		if c := g.EnterBody(t.Context(), now, upstream.AdmissionRequest{Kind: "k"}, 9000); c != 0 {
			t.Fatal(c)
		}
		var got [2]result.Code
		var done sync.WaitGroup
		done.Go(func() { got[0] = g.Enter(t.Context(), now, upstream.AdmissionRequest{Kind: "k"}) })
		done.Go(func() { got[1] = g.EnterBody(t.Context(), now, upstream.AdmissionRequest{Kind: "k"}, 9000) })
		synctest.Wait()
		if n := g.Load(now, "k").InFlight; n != 4 {
			t.Fatalf("%d requests are in flight or wait, want 4", n)
		}
		g.EndWaits()
		done.Wait()
		if want := [2]result.Code{result.Leaving, result.Leaving}; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if c := g.Enter(t.Context(), now, upstream.AdmissionRequest{Kind: "k"}); c != result.Leaving {
			t.Errorf("a later request: got %s, want %s", c, result.Leaving)
		}
		if c := g.EnterBody(t.Context(), now, upstream.AdmissionRequest{Kind: "k"}, 9000); c != result.Leaving {
			t.Errorf("a later body: got %s, want %s", c, result.Leaving)
		}
		if n := g.Load(now, "k").InFlight; n != 2 {
			t.Errorf("%d requests are in flight, want the 2 that did not wait", n)
		}
	})
}

// TestGateAdmitsNoRequestThatTheDrainCutsOff guards against a request that waits and gets a slot just before the end of a drain.
func TestGateAdmitsNoRequestThatTheDrainCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		g := busy(now, map[string]time.Duration{"short": 10 * time.Millisecond, "long": time.Second})
		got := make(map[string]result.Code)
		var mu sync.Mutex
		var done sync.WaitGroup
		for _, k := range []string{"short", "long"} {
			done.Go(func() {
				c := g.Enter(t.Context(), now, upstream.AdmissionRequest{Kind: k})
				mu.Lock()
				defer mu.Unlock()
				got[k] = c
			})
		}
		synctest.Wait()
		now = now.Add(time.Millisecond)
		g.SetDrain(contract.Drain{End: now.Add(5 * time.Second), AnnouncedAt: now}, now)
		synctest.Wait()
		if g.InFlight() != 3 {
			t.Fatalf("%d in flight or waiting, want 3: both fit", g.InFlight())
		}
		now = now.Add(3 * time.Second)
		g.Leave(now, "short", 10*time.Millisecond, upstream.Answered)
		synctest.Wait()
		g.Leave(now, "short", 10*time.Millisecond, upstream.Answered)
		done.Wait()
		if got["short"] != 0 || got["long"] != result.Leaving {
			t.Errorf("got %v, want a slot for short only", got)
		}
	})
}

// TestGateAdmitsNoBodyThatTheDrainCutsOff guards against a body that is sent just before the end of a drain.
func TestGateAdmitsNoBodyThatTheDrainCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		g := busy(now, map[string]time.Duration{"long": time.Second})
		g.SetLimits(9, 100, now)
		g.SetLink(1000)
		q := upstream.AdmissionRequest{Kind: "long"}
		if c := g.EnterBody(t.Context(), now, q, 9000); c != 0 {
			t.Fatal(c)
		}
		waiting := make(chan result.Code, 1)
		go func() { waiting <- g.EnterBody(t.Context(), now, q, 9000) }()
		synctest.Wait()
		now = now.Add(time.Millisecond)
		g.SetDrain(contract.Drain{End: now.Add(5 * time.Second), AnnouncedAt: now}, now)
		g.LeaveBody(now.Add(3*time.Second), 9000)
		if c := <-waiting; c != result.Leaving {
			t.Errorf("got %s, want %s", c, result.Leaving)
		}
	})
}
