package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
	"figwheel/upstream"
)

// TestAnnounceHandlerRejectsInvalid guards against malformed announcements being
// accepted: each is answered with 400 and its code, and is not passed on.
func TestAnnounceHandlerRejectsInvalid(t *testing.T) {
	const ready = `{"Service": "s", "Address": "127.0.0.1:80", "State": "Ready", "Slots": 3}`
	cases := []struct {
		name, method, body string
		want               int
	}{
		{"ready", "POST", ready, 204},
		{"not sent by POST", "GET", "", 400},
		{"not JSON", "POST", "Ready", 400},
		{"an unknown field", "POST", `{"Service": "s", "Colour": "red"}`, 400},
		{"no service", "POST", `{"Address": "127.0.0.1:80", "State": "Ready"}`, 400},
		{"no address", "POST", `{"Service": "s", "State": "Ready"}`, 400},
		{"an unknown state", "POST", `{"Service": "s", "Address": "127.0.0.1:80", "State": "ready"}`, 400},
		{"slots below 0", "POST", strings.Replace(ready, "3", "-3", 1), 400},
		{"too large", "POST", `{"Service": "` + strings.Repeat("s", 20_000) + `"}`, 400},
	}
	for _, c := range cases {
		var accepted []upstream.Announcement
		h := upstream.AnnounceHandler{
			Take: func(a upstream.Announcement, _ time.Time) { accepted = append(accepted, a) },
			Now:  time.Now,
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, upstream.AnnouncePath, strings.NewReader(c.body)))
		if w.Code != c.want || (len(accepted) > 0) != (c.want == http.StatusNoContent) {
			t.Errorf("%s: status %d, accepted %v", c.name, w.Code, accepted)
		}
		if c.want != http.StatusNoContent && !strings.Contains(w.Body.String(), result.BadAnnouncement.String()) {
			t.Errorf("%s: %s", c.name, w.Body)
		}
	}
}

// TestGateKeepsToLimits guards the counts of slots and of waiting requests. It
// lets requests enter, wait, give up and leave one after the other, and checks
// each decision.
func TestGateKeepsToLimits(t *testing.T) {
	var g upstream.Gate
	now := time.Now()
	x := context.Background()
	if c := g.Enter(x, now, upstream.AdmissionRequest{}); c != result.Overloaded {
		t.Errorf("the zero gate answered %s, want a rejection", c)
	}
	g.SetLimits(1, 2, now)
	if c := g.Enter(x, now, upstream.AdmissionRequest{}); c != 0 {
		t.Fatal(c)
	}
	y, stop := context.WithCancel(x)
	in := make(chan result.Code)
	go func() { in <- g.Enter(y, now, upstream.AdmissionRequest{}) }()
	waitFor(t, &g, 2)
	go func() { in <- g.Enter(x, now, upstream.AdmissionRequest{}) }()
	waitFor(t, &g, 3)
	late, end := context.WithDeadline(x, time.Now().Add(-time.Second))
	defer end()
	got := []result.Code{g.Enter(x, now, upstream.AdmissionRequest{})} // the queue is full
	stop()
	got = append(got, <-in) // the first in the queue gives up
	got = append(got, g.Enter(late, now, upstream.AdmissionRequest{}))
	g.Leave(now, "", time.Millisecond, upstream.Answered)
	got = append(got, <-in) // the second gets the slot
	g.SetLimits(2, 0, now)
	got = append(got, g.Enter(x, now, upstream.AdmissionRequest{}), g.Enter(x, now, upstream.AdmissionRequest{}))
	want := []result.Code{result.Overloaded, result.CallerGone, result.DeadlineExceeded, 0, 0, result.Overloaded}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	g.Leave(now, "", time.Millisecond, upstream.Answered)
	g.Leave(now, "", time.Millisecond, upstream.Answered)
	if n := g.InFlight(); n != 0 {
		t.Errorf("%d in flight at the end", n)
	}
}

// waitFor waits until n requests are in flight at the gate.
func waitFor(t *testing.T, g *upstream.Gate, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); g.InFlight() != n; {
		if time.Now().After(end) {
			t.Fatalf("%d in flight, want %d", g.InFlight(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOtherStart guards against a restart of the worker that is taken for the
// same start, and the reverse: ids and start times may each be missing or
// equal.
func TestOtherStart(t *testing.T) {
	known := upstream.Announcement{ID: "w", Born: 100}
	cases := []struct {
		name string
		from upstream.Announcement
		now  upstream.Announcement
		want bool
	}{
		{"the same", known, known, false},
		{"another id", known, upstream.Announcement{ID: "v", Born: 100}, true},
		{"the same id, started again", known, upstream.Announcement{ID: "w", Born: 101}, true},
		{"its start time was not known", upstream.Announcement{ID: "w"}, known, false},
		{"neither has an id", upstream.Announcement{}, upstream.Announcement{}, false},
	}
	for _, c := range cases {
		if got := c.now.IsOtherStart(c.from); got != c.want {
			t.Errorf("%s: IsOtherStart is %t", c.name, got)
		}
	}
}
