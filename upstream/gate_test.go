package upstream_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
	"figwheel/upstream"
)

// busy returns a gate with one slot, which is in use, and with the given mean
// service times by kind.
func busy(now time.Time, kinds map[string]time.Duration) *upstream.Gate {
	g := &upstream.Gate{}
	g.SetLimits(1, 100, now)
	for range 200 { // until the means have converged
		for k, t := range kinds {
			g.Enter(context.Background(), now, upstream.AdmissionRequest{Kind: k})
			g.Leave(now, k, t, upstream.Answered)
		}
	}
	g.Enter(context.Background(), now, upstream.AdmissionRequest{})
	return g
}

// TestGateAdmitsInOrder guards the order of admission. It fills the queue of a
// gate whose only slot is in use, and checks which request gets the slot at
// each release.
func TestGateAdmitsInOrder(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	in := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	kinds := map[string]time.Duration{"short": 10 * time.Millisecond, "long": 100 * time.Millisecond}
	cases := []struct {
		name     string
		requests map[string]upstream.AdmissionRequest
		in       []string // order of arrival
		want     []string
	}{
		{
			"by rank, then by arrival",
			map[string]upstream.AdmissionRequest{"a": {Rank: 2}, "b": {Rank: 1}, "c": {Rank: 1}, "d": {Rank: 0}},
			[]string{"a", "b", "c", "d"},
			[]string{"d", "b", "c", "a"},
		},
		{
			"the earliest goal first",
			map[string]upstream.AdmissionRequest{"far": {Kind: "long", Goal: in(900)}, "near": {Kind: "short", Goal: in(700)}},
			[]string{"far", "near"},
			[]string{"near", "far"},
		},
		{
			"those that cannot meet their goals last",
			map[string]upstream.AdmissionRequest{"late": {Kind: "long", Goal: in(50)}, "good": {Kind: "long", Goal: in(900)}},
			[]string{"late", "good"},
			[]string{"good", "late"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := busy(start, kinds)
			got := make(chan string, len(c.in))
			for i, n := range c.in {
				go func() {
					if r := g.Enter(context.Background(), start, c.requests[n]); r == 0 {
						got <- n
					} else {
						got <- n + " " + r.String()
					}
				}()
				waitFor(t, g, i+2)
			}
			var have []string
			now := start
			for range c.in {
				g.Leave(now, "short", kinds["short"], upstream.Answered)
				have = append(have, <-got)
				now = now.Add(kinds["short"])
			}
			if d := cmp.Diff(c.want, have); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestGateRejectsOnArrival guards against requests that wait in vain, and against
// rejecting those that can still be served. The only slot is in use, and one
// request with a service time of 100 ms waits already.
func TestGateRejectsOnArrival(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	in := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	kinds := map[string]time.Duration{"long": 100 * time.Millisecond}
	cases := []struct {
		name    string
		request upstream.AdmissionRequest
		want    result.Code
	}{
		{"another worker may have a slot", upstream.AdmissionRequest{Kind: "long", NoWait: true}, result.Overloaded},
		{"it would miss its goal", upstream.AdmissionRequest{Kind: "long", Goal: in(250), Deadline: in(2000)}, result.Overloaded},
		{"it would miss its deadline", upstream.AdmissionRequest{Kind: "long", Deadline: in(200)}, result.Overloaded},
		{"it overtakes the waiting one", upstream.AdmissionRequest{Kind: "long", Rank: -1, Goal: in(300), Deadline: in(2000)}, 0},
		{"it would only just meet its goal", upstream.AdmissionRequest{Kind: "long", Goal: in(400), Deadline: in(2000)}, result.Overloaded},
		{"it meets its goal", upstream.AdmissionRequest{Kind: "long", Goal: in(500), Deadline: in(2000)}, 0},
		{"its goal has passed, its deadline not", upstream.AdmissionRequest{Kind: "long", Goal: in(0), Deadline: in(2000)}, 0},
		{"it has neither goal nor deadline", upstream.AdmissionRequest{Kind: "long"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := busy(start, kinds)
			x, stop := context.WithCancel(context.Background())
			done := make(chan result.Code, 2)
			go func() { done <- g.Enter(x, start, upstream.AdmissionRequest{Kind: "long"}) }()
			waitFor(t, g, 2)
			go func() { done <- g.Enter(x, start, c.request) }()
			got := result.Code(0)
			if c.want == 0 {
				waitFor(t, g, 3)
			} else {
				got = <-done
			}
			stop()
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// TestLoadRisesWithFailures guards against a worker that looks fast because
// half of its requests fail at once, and against counting abandoned requests
// as failures.
func TestLoadRisesWithFailures(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	load := func(e upstream.Ending, held time.Duration) time.Duration {
		var g upstream.Gate
		g.SetLimits(1, 0, start)
		for i := range 200 {
			if c := g.Enter(context.Background(), start, upstream.AdmissionRequest{Kind: "k"}); c != 0 {
				t.Fatal(c)
			}
			if i%2 == 0 {
				g.Leave(start, "k", 100*time.Millisecond, upstream.Answered)
			} else {
				g.Leave(start, "k", held, e)
			}
		}
		return g.Load(start, "k").Work
	}
	cases := []struct {
		name      string
		ending    upstream.Ending
		held      time.Duration
		low, high time.Duration
	}{
		{"answers", upstream.Answered, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"fails at once", upstream.Failed, time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond},
		{"abandoned early", upstream.Abandoned, time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"abandoned late", upstream.Abandoned, 300 * time.Millisecond, 180 * time.Millisecond, 220 * time.Millisecond},
	}
	for _, c := range cases {
		if w := load(c.ending, c.held); w < c.low || w > c.high {
			t.Errorf("%s: %s, want %s to %s", c.name, w, c.low, c.high)
		}
	}
}

// TestGateAdmitsBodies guards against large bodies that are sent when the link or
// the slots have no room for them. The gate has two slots, its link carries a
// megabyte per second, and the service time is 100 ms.
func TestGateAdmitsBodies(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	const kilobyte = 1000
	type body struct {
		kilobytes int64
		goal      time.Duration
		noWait    bool
	}
	waits := result.Code(-1) // for the bodies before it
	cases := []struct {
		name           string
		bytesPerSecond float64 // of the link
		slotsInUse     int
		bodies         []body // sent one after the other; none is received before the checks
		want           []result.Code
	}{
		{"free slots", 1000 * kilobyte, 0, []body{{10, time.Second, true}, {10, time.Second, true}}, []result.Code{0, 0}},
		{"as many as there are slots", 1000 * kilobyte, 1, []body{{1, time.Second, true}, {1, time.Second, true}}, []result.Code{0, result.Overloaded}},
		{"one that may wait for a slot", 1000 * kilobyte, 2, []body{{1, time.Second, true}, {1, time.Second, false}}, []result.Code{result.Overloaded, 0}},
		{"the link is busy, other workers may have room", 1000 * kilobyte, 0, []body{{60, time.Second, true}, {60, time.Second, true}}, []result.Code{0, result.Overloaded}},
		{"the link is busy", 1000 * kilobyte, 0, []body{{60, time.Second, false}, {60, time.Second, false}, {60, time.Second, false}}, []result.Code{0, waits, waits}},
		{"it would arrive too late", 1000 * kilobyte, 0, []body{{400, time.Second, false}, {400, time.Second, false}, {400, time.Second, false}}, []result.Code{0, waits, result.Overloaded}},
		{"the link's capacity is not known", 0, 0, []body{{60, time.Second, false}, {600, time.Second, false}}, []result.Code{0, 0}},
		{"too late in any case, but alone", 1000 * kilobyte, 0, []body{{2000, time.Second, false}}, []result.Code{0}},
		{"too many bytes at the same time", 0, 0, []body{{10_000, 0, false}, {10_000, 0, false}}, []result.Code{0, waits}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &upstream.Gate{}
				g.SetLimits(2, 10, start)
				g.SetLink(c.bytesPerSecond)
				for range 200 {
					g.Enter(t.Context(), start, upstream.AdmissionRequest{Kind: "k"})
					g.Leave(start, "k", 100*time.Millisecond, upstream.Answered)
				}
				for range c.slotsInUse {
					g.Enter(t.Context(), start, upstream.AdmissionRequest{Kind: "k"})
				}
				got := make([]result.Code, len(c.bodies))
				var waiting sync.WaitGroup
				for i, b := range c.bodies {
					q := upstream.AdmissionRequest{Kind: "k", NoWait: b.noWait}
					if b.goal > 0 {
						q.Goal = start.Add(b.goal)
					}
					got[i] = waits
					waiting.Go(func() { got[i] = g.EnterBody(t.Context(), start, q, b.kilobytes*kilobyte) })
					synctest.Wait()
				}
				if d := cmp.Diff(c.want, got); d != "" {
					t.Errorf("(-want +got)\n%s", d)
				}
				for i, b := range c.bodies { // each one received admits the next
					if got[i] == result.Overloaded {
						continue
					}
					if got[i] != 0 {
						t.Errorf("body %d still waits for the link", i)
					}
					g.LeaveBody(start, b.kilobytes*kilobyte)
					synctest.Wait()
				}
				waiting.Wait()
				if n := g.Load(time.Now(), "k").InFlight; n != c.slotsInUse {
					t.Errorf("a load of %d after all bodies were received, want %d", n, c.slotsInUse)
				}
			})
		})
	}
}

// TestGateLimitsBodiesOnLink guards against small requests that wait longer than
// 150 ms behind large bodies, and against an idle link while bodies wait. Uploads
// of 60 KB come a fifth faster than a link of 7 Mbit/s carries them.
func TestGateLimitsBodiesOnLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, goal = 60_000, 1200 * time.Millisecond
		link := 7e6 / 8.0 // bytes a second
		transfer := time.Duration(size / link * float64(time.Second))
		g := &upstream.Gate{}
		g.SetLimits(6, 24, time.Now())
		g.SetLink(link)
		var all sync.WaitGroup
		var mu sync.Mutex
		var free time.Time // when the link has transferred all bodies sent so far
		var carried, rejected int
		var queue time.Duration // longest wait of a small request behind bodies
		begin := time.Now()
		for i := range 200 { // a fifth more than the link carries
			time.Sleep(transfer * 5 / 6)
			all.Go(func() {
				now := time.Now()
				if g.EnterBody(t.Context(), now, upstream.AdmissionRequest{Kind: "k", Goal: now.Add(goal)}, size) != 0 {
					mu.Lock()
					rejected++
					mu.Unlock()
					return
				}
				mu.Lock()
				now = time.Now()
				if free.Before(now) {
					if i > 10 && now.Sub(free) > 10*time.Millisecond {
						t.Errorf("the link was idle for %s", now.Sub(free))
					}
					free = now
				}
				free = free.Add(transfer)
				queue = max(queue, free.Sub(now))
				carried++
				d := free.Sub(now)
				mu.Unlock()
				time.Sleep(d)
				g.LeaveBody(time.Now(), size)
			})
		}
		all.Wait()
		if queue > 150*time.Millisecond {
			t.Errorf("small requests waited %s behind bodies", queue)
		}
		if share := float64(carried) * size / link / time.Since(begin).Seconds(); share < 0.9 {
			t.Errorf("the link carried %.2f of its capacity", share)
		}
		t.Logf("carried %d, rejected %d, longest queue %s", carried, rejected, queue)
	})
}
