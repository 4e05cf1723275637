package upstream_test

import (
	"context"
	"fmt"
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

// TestConfirmationHoldsUnknownStarts guards against announcements that apply without the word of the worker, and against ones that displace the announcement that the worker will confirm.
func TestConfirmationHoldsUnknownStarts(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	a := func(id string, sequence uint64, state string) upstream.Announcement {
		return upstream.Announcement{ID: id, Sequence: sequence, State: state}
	}
	const lapse = time.Minute
	for _, c := range []struct {
		name string
		hold []upstream.Announcement
		id   string // in the answer
		want uint64 // sequence of the announcement that is confirmed, 0 if there is none
		drop int
	}{
		{"nothing held", nil, "w-1", 0, 0},
		{"confirmed", []upstream.Announcement{a("w-1", 3, "Ready")}, "w-1", 3, 0},
		{"not ready", []upstream.Announcement{a("w-1", 3, "Ready")}, "", 0, 1},
		{"another start", []upstream.Announcement{a("w-1", 3, "Ready")}, "w-2", 0, 1},
		{"two starts", []upstream.Announcement{a("w-1", 3, "Ready"), a("w-2", 1, "Ready")}, "w-1", 3, 1},
		{"the newest of a start", []upstream.Announcement{a("w-1", 3, "Ready"), a("w-1", 4, "Ready"), a("w-1", 2, "Ready")}, "w-1", 4, 0},
		{"it leaves meanwhile", []upstream.Announcement{a("w-1", 3, "Ready"), a("w-1", 4, "Draining")}, "w-1", 0, 0},
		{"another start leaves meanwhile", []upstream.Announcement{a("w-1", 3, "Ready"), a("w-2", 4, "Left")}, "w-1", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k upstream.Confirmation
			for _, v := range c.hold {
				if got, want := k.Hold(v, now), v.State == "Ready"; got != want {
					t.Errorf("%+v is held: %t, want %t", v, got, want)
				}
			}
			got, _, dropped := k.Answer(c.id)
			if got.Sequence != c.want || len(dropped) != c.drop {
				t.Errorf("got %+v and %d dropped, want the sequence %d and %d", got, len(dropped), c.want, c.drop)
			}
			if h := k.Held(now, lapse); h.ID != "" {
				t.Errorf("%+v is still held", h)
			}
			if c.id != "" && k.Hold(a(c.id, 9, "Ready"), now) {
				t.Error("a start that has answered is held")
			}
			k.Forget()
			if !k.Hold(a("w-1", 9, "Ready"), now) {
				t.Error("a start that has to answer again is not held")
			}
		})
	}
	var k upstream.Confirmation
	for i := range 1000 {
		k.Hold(a(fmt.Sprint(i), 1, "Ready"), now.Add(time.Duration(i)))
	}
	if h := k.Held(now.Add(1000), lapse); h.ID != "999" {
		t.Errorf("the last one held is %s", h.ID)
	}
	if h := k.Held(now.Add(lapse+1000), lapse); h.ID != "" {
		t.Errorf("%s is held beyond the lapse", h.ID)
	}
	if _, _, l := k.Answer(""); len(l) > 10 {
		t.Errorf("%d announcements were held", len(l))
	}
}

// TestHistoryAfterAnotherWriter guards against a worker whose check-ins are refused for good, so that its leaving is not acknowledged, because another writer has used its id with a higher sequence.
func TestHistoryAfterAnotherWriter(t *testing.T) {
	w := func(sequence uint64, state string) upstream.Announcement {
		return upstream.Announcement{ID: "w", Born: 100, Sequence: sequence, State: state}
	}
	var h upstream.History
	if _, err := h.Apply(w(1000, "Ready")); err != nil {
		t.Fatal(err)
	}
	if _, err := h.Apply(w(2, "Ready")); result.CodeOf(err) != result.OldAnnouncement {
		t.Errorf("a late one: %v, want %s", err, result.OldAnnouncement)
	}
	h.Accept(w(3, "Ready")) // the worker confirms it
	if _, err := h.Apply(w(4, "Ready")); err != nil {
		t.Errorf("the next one: %v", err)
	}
	_, _ = h.Apply(w(2000, "Ready"))
	if a, err := h.Apply(w(5, "Draining")); err != nil || a.State != "Draining" {
		t.Errorf("its leaving: %+v, %v", a, err)
	}
	if _, err := h.Apply(w(6, "Ready")); result.CodeOf(err) != result.OldAnnouncement || !h.IsLeaving("w") {
		t.Errorf("ready after it is leaving: %v, want %s", err, result.OldAnnouncement)
	}
	h.Accept(w(6, "Ready")) // the worker confirms that it is not leaving
	if h.IsLeaving("w") {
		t.Error("it is leaving after it has confirmed that it is not")
	}
	if _, err := h.Apply(w(7, "Ready")); err != nil {
		t.Errorf("the one after that: %v", err)
	}
}

// TestHistoryKnowsReplacedStarts guards against an id that is refused for good because an earlier start under it was replaced or has left, and against late announcements of that start.
func TestHistoryKnowsReplacedStarts(t *testing.T) {
	start := func(id string, born int64) upstream.Announcement {
		return upstream.Announcement{ID: id, Born: born, Sequence: 1, State: "Ready"}
	}
	var h upstream.History
	h.Accept(start("w-1", 100))
	h.Accept(start("w-2", 200))
	if _, err := h.Apply(upstream.Announcement{ID: "w-3", State: "Left"}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		a    upstream.Announcement
		want bool
	}{
		{"the replaced start", start("w-1", 100), true},
		{"one before it", start("w-1", 50), true},
		{"one after it", start("w-1", 300), false},
		{"one of an unknown time", start("w-1", 0), false},
		{"the current start", start("w-2", 200), false},
		{"another id that has left", start("w-3", 300), false},
		{"an unknown id", start("w-4", 10), false},
	} {
		if got := h.IsReplaced(c.a); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
	h.Accept(start("w-1", 300))
	if h.IsLeaving("w-1") || !h.IsReplaced(start("w-2", 200)) {
		t.Error("the start that the worker confirmed did not replace the other one")
	}
}

// TestConfirmationAfterLeaving guards against a worker that has announced that it leaves and is in use again because of a late announcement, and against one that is not in use again because its leaving was announced late or by another writer. Only an answer to a health check that began after that counts.
func TestConfirmationAfterLeaving(t *testing.T) {
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	ready := upstream.Announcement{ID: "w-1", Sequence: 3, State: "Ready"}
	left := upstream.Announcement{ID: "w-1", State: "Left"}
	other := upstream.Announcement{ID: "w-2", State: "Left"}
	for _, c := range []struct {
		name           string
		before, during []upstream.Announcement // the health check
		id             string                  // in the answer
		confirmed      bool
		held           bool // until the next health check
	}{
		{"asked after it", []upstream.Announcement{left, ready}, nil, "w-1", true, false},
		{"asked after it, not ready", []upstream.Announcement{left, ready}, nil, "", false, false},
		{"asked before it", []upstream.Announcement{}, []upstream.Announcement{left, ready}, "w-1", false, true},
		{"asked before it, after an announcement", []upstream.Announcement{ready}, []upstream.Announcement{left}, "w-1", false, false},
		{"asked before another one left", []upstream.Announcement{ready}, []upstream.Announcement{other}, "w-1", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k upstream.Confirmation
			for _, a := range c.before {
				k.Hold(a, now)
			}
			k.Ask()
			for _, a := range c.during {
				k.Hold(a, now)
			}
			a, _, _ := k.Answer(c.id)
			if got := a.ID != ""; got != c.confirmed {
				t.Errorf("confirmed: %t, want %t", got, c.confirmed)
			}
			if got := k.Held(now, time.Minute).ID != ""; got != c.held {
				t.Errorf("held: %t, want %t", got, c.held)
			}
			k.Ask()
			a, _, _ = k.Answer("w-1")
			if got := a.ID != ""; got != c.held {
				t.Errorf("confirmed by the next health check: %t, want %t", got, c.held)
			}
		})
	}
}
