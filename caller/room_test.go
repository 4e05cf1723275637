package caller_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/link"
	"figwheel/upstream"
)

// startLarge returns the address of a worker whose answers have size bytes.
func startLarge(t testing.TB, size int) string {
	t.Helper()
	b := []byte(strings.Repeat("x", size))
	return address(start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(b)
	})))
}

// TestLargeAnswerIsPacedOnLinkOnly guards against large answers that fill the instance's
// link, and against those to callers on the same machine that wait for it although they
// do not use it. An answer of 150 KB takes a link of 1 MB/s at least 100 ms.
func TestLargeAnswerIsPacedOnLinkOnly(t *testing.T) {
	const size, paced = 150_000, 80 * time.Millisecond
	for _, local := range []bool{true, false} {
		t.Run("local "+strconv.FormatBool(local), func(t *testing.T) {
			a := startLarge(t, size)
			e, r := mesh(t, a)
			n := r[0]
			if local {
				v, _ := snapshot(t, 7).Service("s")
				e.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready"}, v, time.Now())
				e.view.Store(caller.NewView(snapshot(t, 7), map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{{Name: "0", Slots: 2, Local: true, SameSite: true, Peer: &link.Peer{}}})}))
				n = e
			}
			n.worker.SetLink(1e6)
			began := time.Now()
			g := send(t, request(t, e, http.MethodGet, "/", nil))
			took := time.Since(began)
			if g.Status != http.StatusOK || g.Cut || len(g.Body) != size {
				t.Fatalf("status %d, cut %t, %d bytes, want %d", g.Status, g.Cut, len(g.Body), size)
			}
			if b := n.worker.LinkLoad(time.Now()).Backlog; local && b > 0 {
				t.Errorf("an answer to a local caller keeps the link busy for %s", b)
			}
			if !local && took < paced {
				t.Errorf("it took %s, want at least %s", took, paced)
			}
		})
	}
}
