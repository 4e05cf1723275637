package link_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/link"
)

// TestLostPacketIsNoTransit guards against requests that are rejected for one late sample or after a pause, and against an estimate that no longer ends.
func TestLostPacketIsNoTransit(t *testing.T) {
	type sample struct{ at, took time.Duration }
	const ms, s = time.Millisecond, time.Second
	for _, c := range []struct {
		name    string
		samples []sample
		at      time.Duration
		want    time.Duration
	}{
		{"no sample", nil, 0, 0},
		{"one late sample", []sample{{0, s}}, 0, 0},
		{"one late sample among others", []sample{{0, 4 * ms}, {10 * ms, s}, {250 * ms, 5 * ms}}, 250 * ms, 4 * ms},
		{"answers that are read together after a pause", []sample{{0, 2 * s}, {0, 2 * s}, {ms, 2 * s}}, ms, 0},
		{"answers that are read together after a pause, across two windows", []sample{{249 * ms, 2 * s}, {250 * ms, 2 * s}, {260 * ms, 2 * s}}, 260 * ms, 0},
		{"the first answer after a pause", []sample{{0, 2 * s}, {0, 2 * s}, {300 * ms, ms}}, 300 * ms, ms},
		{"a queue that lasts", []sample{{0, 600 * ms}, {200 * ms, 500 * ms}, {449 * ms, 700 * ms}}, 449 * ms, 500 * ms},
		{"a queue that has gone", []sample{{0, 600 * ms}, {250 * ms, 500 * ms}, {260 * ms, ms}}, 260 * ms, ms},
		{"over all windows", []sample{{0, 400 * ms}, {750 * ms, 600 * ms}}, 999 * ms, 400 * ms},
		{"the older sample has passed", []sample{{0, 400 * ms}, {750 * ms, 600 * ms}}, 1000 * ms, 0},
		{"the oldest of three windows has passed", []sample{{0, ms}, {300 * ms, 600 * ms}, {500 * ms, 500 * ms}}, 1000 * ms, 500 * ms},
		{"all windows have passed", []sample{{0, ms}, {300 * ms, 600 * ms}}, 1250 * ms, 0},
		{"a window is used again", []sample{{0, ms}, {s, 300 * ms}, {s + 250*ms, 200 * ms}}, s + 250*ms, 200 * ms},
		{"a sample of a window that has passed", []sample{{s, 300 * ms}, {s + 250*ms, 400 * ms}, {0, ms}}, s + 250*ms, 300 * ms},
		{"clocks of unequal steps", []sample{{0, -ms}, {250 * ms, -ms}}, 250 * ms, 0},
		{"out of range", []sample{{0, 1000 * time.Hour}, {250 * ms, 2000 * time.Hour}}, 250 * ms, 10 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k link.Transit
			for _, v := range c.samples {
				k.Observe(v.took, windowStart().Add(v.at))
			}
			if got := k.Estimate(windowStart().Add(c.at)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// windowStart returns a time at which a window of link.Transit begins: windows count from the start of the process.
func windowStart() time.Time { return link.Origin.Add(time.Hour) }

// TestLoadReportsOfOlderBuilds guards against reports that one of two builds cannot read.
func TestLoadReportsOfOlderBuilds(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name, text string
		want       link.Load
	}{
		{"older", "7 1000 2000", link.Load{InFlight: 7, Hold: ms, Work: 2 * ms}},
		{"older with a rate limit", "7 1000 2000 4500 6000", link.Load{InFlight: 7, Hold: ms, Work: 2 * ms, RateLimit: 4.5, Wait: 6 * ms}},
		{"this", "7 1000 2000 0 0 3000", link.Load{InFlight: 7, Hold: ms, Work: 2 * ms, Took: 3 * ms}},
		{"this with a rate limit", "7 1000 2000 4500 6000 3000", link.Load{InFlight: 7, Hold: ms, Work: 2 * ms, RateLimit: 4.5, Wait: 6 * ms, Took: 3 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := link.ParseLoad(c.text)
			if d := cmp.Diff(c.want, got); d != "" || !ok {
				t.Errorf("%v (-want +got)\n%s", ok, d)
			}
			if s := got.String(); s != c.text {
				t.Errorf("got %q, want %q", s, c.text)
			}
			if got, ok = link.ParseLoad(c.text + " 9 x"); !ok || got.InFlight != 7 {
				t.Errorf("with further fields: got %+v, %v", got, ok)
			}
		})
	}
	// An older build takes the first three fields, and a fourth of 0 for no rate limit.
	if s := (link.Load{InFlight: 1, Took: ms}).String(); !strings.HasPrefix(s, "1 0 0 0 ") {
		t.Errorf("got %q", s)
	}
}
