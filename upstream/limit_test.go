package upstream_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/instance"
	"figwheel/result"
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

// TestGateAdmitsAtRateLimit sends requests at the time of a simulated clock. It
// guards against bursts above the limit, against requests that wait for the limit
// and are never admitted, and against a limit that outlasts its end.
func TestGateAdmitsAtRateLimit(t *testing.T) {
	type step struct {
		at    time.Duration
		limit float64 // negative: no limit
	}
	cases := []struct {
		name      string
		steps     []step
		want, max int           // admitted from the last step until the end, at least and at most
		end       time.Duration // of the test
	}{
		{"from its statement", []step{{0, 10}}, 38, 41, 4 * time.Second},
		{"after the worker was idle", []step{{-5 * time.Second, 10}, {0, 10}}, 43, 45, 4 * time.Second},
		{"a lower limit", []step{{-5 * time.Second, 50}, {0, 10}}, 38, 45, 4 * time.Second},
		{"a higher limit", []step{{-time.Second, 1}, {0, 50}}, 190, 225, 4 * time.Second},
		{"a fraction", []step{{0, 0.75}}, 2, 3, 4 * time.Second},
		{"none at all, which only an answer can end", []step{{0, 0}}, 1, 5, 4 * time.Second},
		{"more than a worker can serve", []step{{0, 1e300}}, 380, 1 << 20, 4 * time.Second},
		{"no limit any more", []step{{-time.Second, 1}, {0, -1}}, 380, 1 << 20, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g upstream.Gate
				g.SetLimits(8, 64, time.Now())
				for i, s := range c.steps {
					if i > 0 {
						time.Sleep(s.at - c.steps[i-1].at)
					}
					if s.limit < 0 {
						g.ClearRateLimit(time.Now())
					} else {
						g.SetRateLimit(s.limit, time.Now())
					}
				}
				end := time.Now().Add(c.end)
				var all sync.WaitGroup
				var mu sync.Mutex
				n := 0
				for time.Now().Before(end) {
					all.Go(func() {
						x, stop := context.WithDeadline(context.Background(), end)
						defer stop()
						if g.Enter(x, time.Now(), upstream.AdmissionRequest{Kind: "k", Deadline: end}) != 0 {
							return
						}
						mu.Lock()
						n++
						mu.Unlock()
						time.Sleep(time.Millisecond)
						g.Leave(time.Now(), "k", time.Millisecond, upstream.Answered)
					})
					time.Sleep(10 * time.Millisecond)
				}
				all.Wait()
				if n < c.want || n > c.max {
					t.Errorf("%d admitted, want %d to %d", n, c.want, c.max)
				}
				if f := g.InFlight(); f != 0 {
					t.Errorf("%d in flight at the end", f)
				}
			})
		})
	}
}

// TestGateKeepsRateLimitWhenTimesAreOutOfOrder guards against requests that read
// the clock before others and enter after them, for which the time between would
// be credited twice.
func TestGateKeepsRateLimitWhenTimesAreOutOfOrder(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	var g upstream.Gate
	g.SetLimits(1000, 0, start)
	g.SetRateLimit(10, start)
	n := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, d := range []time.Duration{0, -9 * time.Millisecond, 5 * time.Millisecond} {
			if g.Enter(context.Background(), now.Add(d), upstream.AdmissionRequest{NoWait: true}) == 0 {
				n++
			}
		}
	}
	if n > 41 {
		t.Errorf("%d admitted in 4 s, want at most 41", n)
	}
}

// TestGateRejectsWhatTheRateLimitMakesLate guards against requests that wait for
// the rate limit beyond their goals or deadlines, with and without a body to send.
func TestGateRejectsWhatTheRateLimitMakesLate(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	in := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name    string
		request upstream.AdmissionRequest
		want    bool // whether it is rejected on arrival
	}{
		{"another worker may take it", upstream.AdmissionRequest{NoWait: true}, true},
		{"it would miss its goal", upstream.AdmissionRequest{Goal: in(600), Deadline: in(5000)}, true},
		{"it would miss its deadline", upstream.AdmissionRequest{Deadline: in(500)}, true},
		{"it meets its goal", upstream.AdmissionRequest{Goal: in(2000), Deadline: in(5000)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g upstream.Gate
				g.SetLimits(8, 64, start)
				g.SetRateLimit(2, start) // one request each 500 ms
				x, stop := context.WithCancel(context.Background())
				done := make(chan result.Code, 2)
				go func() { done <- g.Enter(x, start, c.request) }()
				go func() { done <- g.EnterBody(x, start, c.request, 1<<20) }()
				synctest.Wait()
				stop()
				got := []result.Code{<-done, <-done}
				for _, r := range got {
					if rejected := r == result.Overloaded; rejected != c.want && (c.want || r != result.CallerGone && r != 0) {
						t.Errorf("got %s, want it to be rejected: %t", r, c.want)
					}
				}
			})
		})
	}
}

// TestWorkerFollowsItsNotice guards against a rate limit that outlasts its worker
// or is dropped because of an answer that says nothing about it.
func TestWorkerFollowsItsNotice(t *testing.T) {
	cases := []struct {
		name   string
		second string // rate limit in the second answer
		other  bool   // whether another start of the worker announces itself then
		want   float64
	}{
		{"the same limit", "20", false, 20},
		{"another limit", "5.5", false, 5.5},
		{"no limit any more", "", false, 0},
		{"a limit that cannot be read", "many", false, 20},
		{"a negative limit", "-3", false, 20},
		{"a limit that is not a number", "NaN", false, 20},
		{"another start of the worker", "20", true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := &limitedWorker{header: http.Header{contract.RateLimitHeader: {"20"}}}
			k := startLimited(t, l)
			serveOne(k)
			if r := k.Load(time.Now(), "k").RateLimit; r != 20 {
				t.Fatalf("limit %v after the first answer, want 20", r)
			}
			l.mu.Lock()
			l.header = http.Header{contract.RateLimitHeader: {c.second}}
			l.mu.Unlock()
			time.Sleep(60 * time.Millisecond) // until the limit admits one more request
			serveOne(k)
			if c.other {
				k.Set(upstream.Announcement{ID: "w-2", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 8}, nil, time.Now())
			}
			if r := k.Load(time.Now(), "k").RateLimit; r != c.want {
				t.Errorf("limit %v, want %v", r, c.want)
			}
		})
	}
}

// TestRateLimitOfHealthCheckHoldsForFirstRequests guards against a burst to a worker after a restart of its daemon.
func TestRateLimitOfHealthCheckHoldsForFirstRequests(t *testing.T) {
	for _, id := range []string{"w-1", ""} { // without an id if the worker rejects the health check
		l := &limitedWorker{header: http.Header{contract.RateLimitHeader: {"2"}}}
		s := httptest.NewServer(l)
		t.Cleanup(s.Close)
		now := time.Now()
		k := &upstream.Worker{Headers: contract.OwnHeaders()}
		k.Set(upstream.Announcement{}, nil, now)
		k.RecordHealth(upstream.Health{ID: id, Notice: contract.Notice{RateLimit: "2"}}, now)
		k.Set(upstream.Announcement{}, nil, now)
		k.Set(upstream.Announcement{ID: "w-1", Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), State: instance.Ready.String(), Slots: 8, Born: 5}, nil, now)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { serveOne(k) })
		}
		all.Wait()
		if n := l.most(now, time.Second); n > 1 {
			t.Errorf("id %q: %d requests at once, want at most 1", id, n)
		}
	}
}

// TestCallersUnderRateLimit plays three times the load that a worker takes. It guards against a limit that is not used whole, callers who wait and miss their goal, and callers who are rejected late.
func TestCallersUnderRateLimit(t *testing.T) {
	const (
		limit, length = 10.0, 20 * time.Second
		goal, work    = 500 * time.Millisecond, 160 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		var g upstream.Gate
		g.SetLimits(6, 48, time.Now())
		g.SetRateLimit(limit, time.Now())
		var all sync.WaitGroup
		var mu sync.Mutex
		var served, late, rejectedLate int
		r := rand.New(rand.NewPCG(1, 1))
		for end := time.Now().Add(length); time.Now().Before(end); {
			all.Go(func() {
				began := time.Now()
				c := g.Enter(context.Background(), began, upstream.AdmissionRequest{Kind: "k", Goal: began.Add(goal), Deadline: began.Add(4 * goal)})
				waited := time.Since(began)
				if c == 0 {
					time.Sleep(work)
					g.Leave(time.Now(), "k", work, upstream.Answered)
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case c != 0 && waited > goal/8:
					rejectedLate++
				case c == 0 && time.Since(began) > goal:
					late++
					served++
				case c == 0:
					served++
				}
			})
			time.Sleep(time.Duration(r.ExpFloat64() / (3 * limit) * float64(time.Second)))
		}
		all.Wait()
		if n := limit * length.Seconds(); float64(served) < 0.95*n || float64(served) > 1.05*n {
			t.Errorf("%d served, want about %.0f", served, n)
		}
		if late > served/50 || rejectedLate > served/50 {
			t.Errorf("%d of %d late, %d rejected late, want at most %d each", late, served, rejectedLate, served/50)
		}
	})
}
