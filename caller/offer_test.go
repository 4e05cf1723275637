package caller_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
)

// TestSlowRejectionsEndOffers guards against requests that spend most of the time to their
// goals on offers to one full daemon after the other, each of which rejects them late, and
// against giving up after quick rejections, when another daemon may still have room, or on
// calls with short goals, with which the requests that make them fail.
func TestSlowRejectionsEndOffers(t *testing.T) {
	const rejecting = 6
	for _, v := range []struct {
		name        string
		goal, delay time.Duration // delay of a rejection
		least, most int64         // offers
	}{
		{"quick", time.Second, 0, 4, 8},
		{"slow", time.Second, 150 * time.Millisecond, 1, 2}, // a quarter of the goal is 250 ms
		{"slow, a short goal", 300 * time.Millisecond, 90 * time.Millisecond, 3, 8},
	} {
		t.Run(v.name, func(t *testing.T) {
			var offers atomic.Int64
			e := newNode(t)
			e.view.Store(caller.NewView(goalSnapshot(t, v.goal), map[string]link.Candidates{"s": rejectingCandidates(t, rejecting, v.delay, &offers)}))
			g := send(t, request(t, e, http.MethodGet, "/", nil))
			if g.Status != http.StatusServiceUnavailable || g.Code != result.Overloaded.String() {
				t.Errorf("got %+v, want 503 %s", g, result.Overloaded)
			}
			if n := offers.Load(); n < v.least || n > v.most {
				t.Errorf("%d offers, want %d to %d", n, v.least, v.most)
			}
		})
	}
}

// rejectingCandidates returns n candidates whose daemons count each offer and reject it after
// the given delay.
func rejectingCandidates(t testing.TB, n int, delay time.Duration, offers *atomic.Int64) link.Candidates {
	t.Helper()
	var l []link.Candidate
	for i := range n {
		a := listen(t, func(c net.Conn) {
			b := make([]byte, 4<<10)
			for {
				if _, err := c.Read(b); err != nil {
					return
				}
				offers.Add(1)
				time.Sleep(delay)
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nFigwheel-Load: 9 100000 100000\r\nFigwheel-Code: "+result.Overloaded.String()+"\r\nFigwheel-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			}
		})
		l = append(l, link.Candidate{Name: strconv.Itoa(i), Address: a, Slots: 10, SameSite: true, Peer: &link.Peer{}})
	}
	return link.NewCandidates(l)
}

// goalSnapshot returns a snapshot whose route has the goal.
func goalSnapshot(t testing.TB, goal time.Duration) *site.Snapshot {
	t.Helper()
	c := site.Table{
		Number:   7,
		Services: []site.Service{{Name: "s", Connections: 10}},
		Routes:   []site.Route{{Name: "r", Host: "h.example", PathPrefix: "/", Targets: []site.Split{{Service: "s", Weight: 1}}, Repeat: site.RepeatAllowed, Timeout: 4 * time.Second, Goal: goal}},
	}
	s, err := c.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSlowBodyLeavesOffers guards against a request that is rejected after its first offer
// since its body took long to arrive: that tells nothing about the daemons, of which another
// may have room.
func TestSlowBodyLeavesOffers(t *testing.T) {
	var offers atomic.Int64
	e := newNode(t)
	e.view.Store(caller.NewView(goalSnapshot(t, time.Second), map[string]link.Candidates{"s": rejectingCandidates(t, 6, 0, &offers)}))
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, "first")
		time.Sleep(350 * time.Millisecond) // a quarter of the goal is 250 ms
		_, _ = io.WriteString(w, "last")
		_ = w.Close()
	}()
	q := request(t, e, http.MethodPost, "/", r)
	q.ContentLength = int64(len("firstlast"))
	g := send(t, q)
	if g.Status != http.StatusServiceUnavailable || g.Code != result.Overloaded.String() {
		t.Errorf("got %+v, want 503 %s", g, result.Overloaded)
	}
	if n := offers.Load(); n < 4 {
		t.Errorf("%d offers, want at least 4", n)
	}
}
