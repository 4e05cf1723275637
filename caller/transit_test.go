package caller_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
)

// delayedConn is a net.Conn whose bytes and close arrive at the other side after the time delay.
type delayedConn struct {
	net.Conn
	delay time.Duration
	sent  chan delayed
	once  *sync.Once
}

// delayed are bytes that arrive at the time at; nil closes the connection.
type delayed struct {
	at    time.Time
	bytes []byte
}

func newDelayedConn(c net.Conn, delay time.Duration) delayedConn {
	d := delayedConn{Conn: c, delay: delay, sent: make(chan delayed, 1000), once: &sync.Once{}}
	go func() {
		defer func() { _ = c.Close() }()
		for p := range d.sent {
			time.Sleep(time.Until(p.at))
			if _, err := c.Write(p.bytes); p.bytes == nil || err != nil {
				return
			}
		}
	}()
	return d
}

// Write implements net.Conn.
func (c delayedConn) Write(b []byte) (int, error) {
	c.sent <- delayed{time.Now().Add(c.delay), append([]byte{}, b...)}
	return len(b), nil
}

// Close implements net.Conn.
func (c delayedConn) Close() error {
	c.once.Do(func() { c.sent <- delayed{at: time.Now().Add(c.delay)} })
	return nil
}

// pipes is a listener for connections that are sent to it.
type pipes struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (pipes) Close() error { return nil }

// slowLink is a daemon that reaches a second one over a link with a delay, in a bubble of synctest.
type slowLink struct {
	handler   *caller.Handler
	bodyBytes int // of the calls

	mu       sync.Mutex
	older    bool        // whether the second daemon states no time in its load reports
	arrivals []time.Time // of the requests at the second daemon
	limits   []time.Time // until when the second daemon lets its worker take for each
}

// olderWriter cuts load reports to those of an older build.
type olderWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w olderWriter) WriteHeader(s int) {
	if l, ok := link.ParseLoad(w.Header().Get(contract.LoadHeader)); ok {
		l.Took = 0
		w.Header().Set(contract.LoadHeader, l.String())
	}
	w.ResponseWriter.WriteHeader(s)
}

func (s *slowLink) ServeHTTP(w http.ResponseWriter, r *http.Request, next http.Handler) {
	ms, _ := strconv.Atoi(r.Header.Get(contract.DeadlineHeader))
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.limits = append(s.limits, time.Now().Add(time.Duration(ms)*time.Millisecond))
	if s.older {
		w = olderWriter{w}
	}
	s.mu.Unlock()
	next.ServeHTTP(w, r)
}

// slowLinkDelay is the delay of each direction of a slowLink.
const slowLinkDelay = 400 * time.Millisecond

// newSlowLink returns a link that delays requests to the instance far, and none to the
// instance near.
func newSlowLink(t *testing.T) *slowLink {
	t.Helper()
	f, p := site.Check(site.Bundle{Base: site.File{Name: "base.yaml", Text: "Organisation: o\nSites: [a]\nServices:\n  far: {Deadline: 10s, Slots: 90, Connections: 90, Queue: 9}\n  near: {Deadline: 10s, Slots: 90, Connections: 90, Queue: 9}\nRoutes:\n  f: {Host: far.example, PathPrefix: /, Service: far}\n  n: {Host: near.example, PathPrefix: /, Service: near}\n"}}, time.Time{})
	if len(p) > 0 {
		t.Fatal(p)
	}
	v, err := f.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	n, far := &node{}, &node{}
	l := make(map[string]link.Candidates)
	for _, name := range []string{"far", "near"} {
		l[name] = link.NewCandidates([]link.Candidate{{Name: name, Address: name + ":1", Slots: 90, SameSite: true, Peer: &link.Peer{}}})
	}
	n.view.Store(caller.NewView(v, l))
	far.view.Store(caller.NewView(v, nil))
	s := &slowLink{}
	h := &caller.LinkHandler{Daemon: far, Worker: &far.worker, Headers: contract.OwnHeaders(), Now: time.Now}
	q := pipes{conns: make(chan net.Conn)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r, h) }), ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(q)
	}()
	tr := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
		d := slowLinkDelay
		if address == "near:1" {
			d = 0
		}
		a, b := net.Pipe()
		q.conns <- newDelayedConn(b, d)
		return newDelayedConn(a, d), nil
	}}
	t.Cleanup(func() {
		tr.CloseIdleConnections()
		close(q.conns)
		<-done
		_ = server.Close()
		synctest.Wait()
		time.Sleep(10 * time.Second) // until all connections are closed
	})
	s.handler = &caller.Handler{Daemon: n, Worker: &n.worker, Transport: tr, Headers: contract.OwnHeaders(), Now: time.Now, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}}
	return s
}

// call sends a request to far for a caller that waits for the time limit.
func (s *slowLink) call(t *testing.T, limit time.Duration) (status int, code string) {
	t.Helper()
	return s.callTo(t, "far", limit)
}

// callTo is like call, for an instance.
func (s *slowLink) callTo(t *testing.T, instance string, limit time.Duration) (status int, code string) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPut, "http://"+instance+".example/", bytes.NewReader(make([]byte, s.bodyBytes)))
	r.Header.Set(contract.DeadlineHeader, strconv.FormatInt(limit.Milliseconds(), 10))
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	p := w.Result()
	_, _ = io.Copy(io.Discard, p.Body)
	return p.StatusCode, p.Header.Get(contract.CodeHeader)
}

// fill makes calls with time enough, one after the other within the transit time of the
// first, on new connections or on those of an earlier fill.
func (s *slowLink) fill(t *testing.T) {
	t.Helper()
	var g sync.WaitGroup
	for i := range 3 {
		g.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			s.call(t, 9*time.Second)
		})
	}
	g.Wait()
}

// sentOn returns the times since the last reset at which requests arrived, and until when the other daemon lets its worker take for each.
func (s *slowLink) sentOn() (arrivals, limits []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals), slices.Clone(s.limits)
}

// reset forgets the requests so far.
func (s *slowLink) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals, s.limits = nil, nil
}

// TestSlowLinkOutlivesNoDeadline guards against requests that reach a worker after the deadline of their caller, or with more time than is left, because a link delays them.
func TestSlowLinkOutlivesNoDeadline(t *testing.T) {
	for _, limit := range []time.Duration{171 * time.Millisecond, 455 * time.Millisecond, 799 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSlowLink(t)
				s.fill(t)
				s.fill(t)
				s.reset()
				began := time.Now()
				status, code := s.call(t, limit)
				time.Sleep(2 * slowLinkDelay) // until a request that was given up would have arrived
				arrivals, limits := s.sentOn()
				sent := len(arrivals)
				if limit < 2*slowLinkDelay && (sent > 0 || status != http.StatusServiceUnavailable || code != result.DeadlineExceeded.String()) {
					t.Errorf("%d requests were sent on, and the answer was %d %s", sent, status, code)
				}
				if limit > 2*slowLinkDelay && sent == 0 {
					t.Errorf("no request was sent on, and the answer was %d %s", status, code)
				}
				for i, a := range arrivals {
					if d := limits[i].Sub(began); d > limit {
						t.Errorf("arrived after %s and may take until %s, %s after the deadline", a.Sub(began), d, d-limit)
					}
				}
			})
		})
	}
}

// TestSlowLinkTakesNoTimeFromOtherInstances guards against requests to one instance that are rejected, or sent with less time, because of the way to another one.
func TestSlowLinkTakesNoTimeFromOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlowLink(t)
		s.callTo(t, "near", time.Second)
		s.fill(t)
		s.fill(t)
		s.reset()
		const limit = 300 * time.Millisecond
		began := time.Now()
		s.callTo(t, "near", limit)
		arrivals, limits := s.sentOn()
		if len(arrivals) != 1 || limits[0].Sub(began) != limit {
			t.Errorf("arrivals %v, limits %v; want one with %s", arrivals, limits, limit)
		}
	})
}

// TestSlowLinkIsTriedAgain guards against a daemon that sends nothing over a link any more because of what it measured before.
func TestSlowLinkIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlowLink(t)
		s.fill(t)
		s.fill(t)
		s.reset()
		s.call(t, 300*time.Millisecond)
		if a, _ := s.sentOn(); len(a) > 0 {
			t.Fatalf("%d requests were sent on", len(a))
		}
		time.Sleep(time.Second)
		s.call(t, 300*time.Millisecond)
		time.Sleep(400 * time.Millisecond)
		if a, _ := s.sentOn(); len(a) != 1 {
			t.Errorf("%d requests were sent on after a second, want 1", len(a))
		}
	})
}

// TestNoTransitFromOtherTimes guards against requests that are not sent because of round trips that say nothing of the transit time, or of a daemon of an older build.
func TestNoTransitFromOtherTimes(t *testing.T) {
	for _, c := range []struct {
		name      string
		older     bool
		bodyBytes []int // of the calls before
	}{
		{"the other daemon states no times", true, []int{0, 0}},
		{"on new connections", false, []int{0}},
		{"with large bodies", false, []int{0, 16 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSlowLink(t)
				s.older = c.older
				for _, s.bodyBytes = range c.bodyBytes {
					s.fill(t)
				}
				s.reset()
				s.bodyBytes = 0
				s.call(t, 500*time.Millisecond)
				synctest.Wait()
				if a, _ := s.sentOn(); len(a) != 1 {
					t.Errorf("%d requests were sent on, want 1", len(a))
				}
			})
		})
	}
}
