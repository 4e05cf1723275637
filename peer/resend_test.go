package peer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"figwheel/peer"
	"figwheel/peer/peerpb"
)

// TestMessageWhoseAnswerIsLostIsSentOnce guards against a message that the transport sends again
// after its answer was lost: the other daemon may have acted on it.
func TestMessageWhoseAnswerIsLostIsSentOnce(t *testing.T) {
	const together, messages = 2, 20
	var received atomic.Int64
	var arrived sync.WaitGroup // messages that are answered together
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Exchange") {
			arrived.Done()
			arrived.Wait()
			w.Header().Set("Content-Type", "application/proto")
			return
		}
		received.Add(1)
		panic(http.ErrAbortHandler) // closes the connection
	}))
	defer s.Close()
	a := strings.TrimPrefix(s.URL, "http://")
	k := peer.NewClient(&peer.Meter{}, nil)
	defer k.Close()
	for range messages {
		arrived.Add(together)
		var g sync.WaitGroup
		for range together {
			g.Go(func() {
				if _, err := k.Exchange(t.Context(), a, &peerpb.ExchangeRequest{From: "b"}); err != nil {
					t.Errorf("exchange: %v", err)
				}
			})
		}
		g.Wait()
		if _, err := k.Deliver(t.Context(), a, &peerpb.DeliverRequest{}); err == nil {
			t.Error("a message without an answer succeeded")
		}
	}
	if n := received.Load(); n != messages {
		t.Errorf("%d messages arrived of %d", n, messages)
	}
}
