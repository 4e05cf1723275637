package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/instance"
	"figwheel/upstream"
)

// limitedWorker is a stand-in for a worker that states a rate limit and records
// when requests arrive.
type limitedWorker struct {
	mu       sync.Mutex
	header   http.Header // of its answers
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (l *limitedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	for k, v := range l.header {
		w.Header()[k] = v
	}
	l.mu.Unlock()
	w.Header().Set(contract.ExchangeHeader, r.Header.Get(contract.ExchangeHeader))
}

// most returns the largest number of requests that arrived within the time d,
// counted from the time t on.
func (l *limitedWorker) most(t time.Time, d time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, first := 0, 0
	for i, a := range l.arrivals {
		for l.arrivals[first].Before(t) && first < i || a.Sub(l.arrivals[first]) > d {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// startLimited returns a Worker that forwards to l.
func startLimited(t *testing.T, l *limitedWorker) *upstream.Worker {
	t.Helper()
	s := httptest.NewServer(l)
	t.Cleanup(s.Close)
	k := &upstream.Worker{Headers: contract.OwnHeaders()}
	k.Set(upstream.Announcement{ID: "w-1", Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), State: instance.Ready.String(), Slots: 8}, nil, time.Now())
	return k
}

// serveOne sends one request to k and returns its result.
func serveOne(k *upstream.Worker) hop.Result {
	x, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	r := httptest.NewRequest(http.MethodGet, "http://s.example/", http.NoBody)
	w := httptest.NewRecorder()
	d, _ := x.Deadline()
	return k.Serve(x, w, r, time.Now(), upstream.Request{
		AdmissionRequest: upstream.AdmissionRequest{Kind: "k", Deadline: d},
		Service:          "s",
		Body:             hop.NewBody(w, r),
		Now:              time.Now,
	})
}

// TestWorkerGetsNoMoreThanItsRateLimit guards against more requests than a worker says that it takes.
func TestWorkerGetsNoMoreThanItsRateLimit(t *testing.T) {
	const limit, window = 40, time.Second
	l := &limitedWorker{header: http.Header{contract.RateLimitHeader: {"40"}}}
	k := startLimited(t, l)
	serveOne(k)
	start := time.Now()
	var all sync.WaitGroup
	for range 16 {
		all.Go(func() {
			for time.Since(start) < 2*window {
				if !serveOne(k).OK() {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	all.Wait()
	n := l.most(start, window)
	if bound := int(1.5*limit*window.Seconds()) + 5; n > bound {
		t.Errorf("%d requests in %s, want at most %d", n, window, bound)
	}
	if n < limit/2 {
		t.Errorf("%d requests in %s, want at least %d", n, window, limit/2)
	}
}
