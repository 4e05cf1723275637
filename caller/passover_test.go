package caller_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/upstream"
)

// TestSlowLinksLeaveLocalWorker guards against requests that are rejected because many instances are too far away, though the worker of this daemon has room.
func TestSlowLinksLeaveLocalWorker(t *testing.T) {
	w := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, far := range []int{7, 8, 20} {
		t.Run(fmt.Sprint(far), func(t *testing.T) {
			e := newNode(t)
			s := snapshot(t, 7)
			v, _ := s.Service("s")
			e.worker.Set(upstream.Announcement{Service: "s", Address: address(w), State: "Ready"}, v, time.Now())
			now := time.Now()
			near := link.Candidate{Name: "near", Slots: 2, SameSite: true, Local: true, Peer: &link.Peer{}}
			near.Peer.Report(link.Load{InFlight: 1, Hold: 20 * time.Millisecond}, "r", now)
			l := []link.Candidate{near}
			for i := range far {
				p := &link.Peer{}
				for at := range 4 {
					p.Transit.Observe(400*time.Millisecond, now.Add(-time.Duration(at)*240*time.Millisecond))
				}
				p.Report(link.Load{Hold: time.Millisecond}, "r", now)
				l = append(l, link.Candidate{Name: fmt.Sprint("far", i), Address: refusingAddress(t), Slots: 2, SameSite: true, Peer: p})
			}
			e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)}))
			q := request(t, e, http.MethodGet, "/", nil)
			q.Header.Set(contract.DeadlineHeader, strconv.Itoa(300))
			if g := send(t, q); g.Status != http.StatusOK {
				t.Errorf("got %+v", g)
			}
		})
	}
}
