package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
	"figwheel/upstream"
)

// busy returns a gate of one slot that is taken, at which requests of each kind
// are known to take the given time.
func busy(now time.Time, kinds map[string]time.Duration) *upstream.Gate {
	g := &upstream.Gate{}
	g.SetLimits(1, 100, now)
	for range 200 { // until the means have settled
		for k, t := range kinds {
			g.Enter(context.Background(), now, upstream.Ask{Kind: k})
			g.Leave(now, k, t, upstream.Answered)
		}
	}
	g.Enter(context.Background(), now, upstream.Ask{})
	return g
}

// TestGateOrder fills the queue behind a taken slot and shows in which order
// the slot is passed on when each request takes what its kind takes.
func TestGateOrder(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	in := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	kinds := map[string]time.Duration{"short": 10 * time.Millisecond, "long": 100 * time.Millisecond}
	cases := []struct {
		name string
		asks map[string]upstream.Ask
		in   []string // order of arrival
		want []string
	}{
		{
			"by rank, then by arrival",
			map[string]upstream.Ask{"a": {Rank: 2}, "b": {Rank: 1}, "c": {Rank: 1}, "d": {Rank: 0}},
			[]string{"a", "b", "c", "d"},
			[]string{"d", "b", "c", "a"},
		},
		{
			"the goal that is next",
			map[string]upstream.Ask{"far": {Kind: "long", Goal: in(900)}, "near": {Kind: "short", Goal: in(700)}},
			[]string{"far", "near"},
			[]string{"near", "far"},
		},
		{
			"those that cannot reach their goal last",
			map[string]upstream.Ask{"late": {Kind: "long", Goal: in(50)}, "good": {Kind: "long", Goal: in(900)}},
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
					if r := g.Enter(context.Background(), start, c.asks[n]); r == 0 {
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

// TestGateRefuses shows what is refused on arrival, behind a taken slot and one
// request of 100 ms that waits.
func TestGateRefuses(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	in := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	kinds := map[string]time.Duration{"long": 100 * time.Millisecond}
	cases := []struct {
		name string
		ask  upstream.Ask
		want result.Code
	}{
		{"another may have a slot", upstream.Ask{Kind: "long", NoWait: true}, result.Overloaded},
		{"it would miss its goal", upstream.Ask{Kind: "long", Goal: in(250), Deadline: in(2000)}, result.Overloaded},
		{"it would miss its deadline", upstream.Ask{Kind: "long", Deadline: in(200)}, result.Overloaded},
		{"it passes the one that waits", upstream.Ask{Kind: "long", Rank: -1, Goal: in(300), Deadline: in(2000)}, 0},
		{"it would only just reach its goal", upstream.Ask{Kind: "long", Goal: in(400), Deadline: in(2000)}, result.Overloaded},
		{"it reaches its goal", upstream.Ask{Kind: "long", Goal: in(500), Deadline: in(2000)}, 0},
		{"its goal has passed, its deadline not", upstream.Ask{Kind: "long", Goal: in(0), Deadline: in(2000)}, 0},
		{"it has all the time", upstream.Ask{Kind: "long"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := busy(start, kinds)
			x, stop := context.WithCancel(context.Background())
			done := make(chan result.Code, 2)
			go func() { done <- g.Enter(x, start, upstream.Ask{Kind: "long"}) }()
			waitFor(t, g, 2)
			go func() { done <- g.Enter(x, start, c.ask) }()
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

// TestFailingIsDear lets a worker fail half of its requests at once: it must not
// look fast, and one that was given up must not look like a failure.
func TestFailingIsDear(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	play := func(e upstream.Ending, held time.Duration) time.Duration {
		var g upstream.Gate
		g.SetLimits(1, 0, start)
		for i := range 200 {
			if c := g.Enter(context.Background(), start, upstream.Ask{Kind: "k"}); c != 0 {
				t.Fatal(c)
			}
			if i%2 == 0 {
				g.Leave(start, "k", 100*time.Millisecond, upstream.Answered)
			} else {
				g.Leave(start, "k", held, e)
			}
		}
		return g.Load("k").Work
	}
	cases := []struct {
		name      string
		ending    upstream.Ending
		held      time.Duration
		low, high time.Duration
	}{
		{"answers", upstream.Answered, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"fails at once", upstream.Failed, time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond},
		{"given up early", upstream.Abandoned, time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"given up late", upstream.Abandoned, 300 * time.Millisecond, 180 * time.Millisecond, 220 * time.Millisecond},
	}
	for _, c := range cases {
		if w := play(c.ending, c.held); w < c.low || w > c.high {
			t.Errorf("%s: %s, want %s to %s", c.name, w, c.low, c.high)
		}
	}
}
