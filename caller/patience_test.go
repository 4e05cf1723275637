package caller_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/link"
)

// TestPatience sends requests to two workers of which one hangs. One that may
// repeat is tried at the other in good time; one that may not is not.
func TestPatience(t *testing.T) {
	cases := []struct {
		name, path string
		want       got
		runs       int64 // at the worker that hangs
	}{
		{"may repeat", "/", got{Status: 200, Outcome: "run", Body: "ok"}, 1},
		{"once", "/once", got{Status: 504, Outcome: "unknown", Code: "FW3005"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var hung, runs atomic.Int64
			hangs := raw(t, &hung, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
			answers := raw(t, &runs, func(c net.Conn) {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			})
			e, n := mesh(t, hangs, answers)
			v := e.View()
			l := []link.Candidate{
				{Name: "0", Address: address(n[0].link), Slots: 2, SameSite: true, Peer: &link.Peer{}},
				{Name: "1", Address: address(n[1].link), Slots: 2, Peer: &link.Peer{}},
			}
			for _, k := range l {
				k.Peer.Report(link.Load{Hold: 10 * time.Millisecond}, time.Now())
			}
			e.view.Store(caller.NewView(v.Snapshot, map[string]link.Candidates{"s": link.NewCandidates(l)}))
			g := send(t, request(t, e, "GET", c.path, nil))
			if d := cmp.Diff(c.want, g); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if hung.Load() != c.runs {
				t.Errorf("%d runs at the worker that hangs, want %d", hung.Load(), c.runs)
			}
		})
	}
}
