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
	if _, err := h.Accept(w(3, "Ready")); err != nil {
		t.Errorf("one that the worker confirms: %v", err)
	}
	if _, err := h.Apply(w(4, "Ready")); err != nil {
		t.Errorf("the next one: %v", err)
	}
	_, _ = h.Apply(w(2000, "Ready"))
	if a, err := h.Apply(w(5, "Draining")); err != nil || a.State != "Draining" {
		t.Errorf("its leaving: %+v, %v", a, err)
	}
	if _, err := h.Accept(w(6, "Ready")); result.CodeOf(err) != result.OldAnnouncement {
		t.Errorf("ready after it is leaving: %v, want %s", err, result.OldAnnouncement)
	}
}
