package caller_test

import (
	"net/http"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/link"
	"figwheel/upstream"
)

// TestAnswerThatEndsBeforeItsBodyIsFailure guards against a caller's connection that is closed without an answer, though nothing of one was sent to it.
func TestAnswerThatEndsBeforeItsBodyIsFailure(t *testing.T) {
	for name, length := range map[string]string{"long": "102400", "without a length": ""} {
		t.Run(name, func(t *testing.T) {
			w := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			e := newNode(t)
			s := snapshot(t, 7)
			v, _ := s.Service("s")
			e.worker.Set(upstream.Announcement{Service: "s", Address: address(w), State: "Ready"}, v, time.Now())
			e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{{Name: "0", Slots: 2, SameSite: true, Local: true, Peer: &link.Peer{}}})}))
			g := send(t, request(t, e, http.MethodPost, "/", nil))
			if g.Status != http.StatusBadGateway || g.Outcome != "unknown" || g.Cut {
				t.Errorf("got %+v, want 502 and the outcome unknown", g)
			}
		})
	}
}
