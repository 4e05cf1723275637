package hop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/platform"
	"figwheel/result"
)

// dialTimeout is long, since requests that are answered together all have to arrive.
const dialTimeout = 10 * time.Second

// losingWorker is a worker, or a daemon, that counts what it runs and loses the answers to
// requests with the path /lost.
type losingWorker struct {
	lose func(c *net.TCPConn) // ends the connection in place of an answer

	mu       sync.Mutex
	runs     map[string]int // by request id
	accepted int            // number of connections
	waiting  int            // requests that still have to arrive before any of them is answered
	arrived  chan struct{}  // closed once waiting is 0
}

// await makes the worker answer the next n requests with the path /wait or /wrong together.
func (k *losingWorker) await(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting, k.arrived = n, make(chan struct{})
}

// arrive records a request for which await waits, and returns a channel that is closed when all
// of them have arrived.
func (k *losingWorker) arrive() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiting--; k.waiting == 0 {
		close(k.arrived)
	}
	return k.arrived
}

// begin records a run.
func (k *losingWorker) begin(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs[id]++
}

// runsOf returns the number of runs of the request.
func (k *losingWorker) runsOf(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[id]
}

// connections returns the number of connections so far.
func (k *losingWorker) connections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.accepted
}

// serve serves one connection.
func (k *losingWorker) serve(c net.Conn) {
	k.mu.Lock()
	k.accepted++
	k.mu.Unlock()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if q.Header.Get("Expect") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		k.begin(q.Header.Get("Id"))
		id, exchange := q.Header.Get("Figwheel-Attempt-Id"), q.Header.Get(contract.ExchangeHeader)
		switch q.URL.Path {
		case "/lost":
			k.lose(c.(*net.TCPConn))
			return
		case "/wait":
			<-k.arrive()
		case "/wrong":
			<-k.arrive()
			id, exchange = "other", "other"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\nFigwheel-Exchange: %s\r\nContent-Length: 0\r\n\r\n", id, exchange)
	}
}

// fill makes n connections of the hop idle at the same time. If wrong is set, they take no
// further request.
func (k *losingWorker) fill(t *testing.T, h hop.Hop, n int, wrong bool) {
	t.Helper()
	if n == 0 {
		return
	}
	path := "/wait"
	if wrong {
		path = "/wrong"
	}
	k.await(n)
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() {
			f, _ := sendTo(t, h, http.MethodPut, fmt.Sprintf("fill-%d", i), path, "", false)
			if f.OK() == wrong {
				t.Errorf("%s %d: %+v", path, i, f)
			}
		})
	}
	g.Wait()
}

// resendable is a request that net/http may resend by itself, or one that it may not.
type resendable struct {
	method, key, body string // key is the name of a header
	chunked           bool
}

// resendables returns requests with each method and header by which net/http chooses, and
// without.
func resendables() []resendable {
	var l []resendable
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, "PURGE"} {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, size := range []int{0, 10, 10_000, 600_000} {
				for _, chunked := range []bool{false, true} {
					if size > 10 && key != "" || size == 600_000 && chunked {
						continue // the header counts only without a body
					}
					l = append(l, resendable{m, key, strings.Repeat("x", size), chunked})
				}
			}
		}
	}
	return l
}

func (q resendable) String() string {
	return fmt.Sprintf("%s %s, %d bytes, chunked %t", q.method, q.key, len(q.body), q.chunked)
}

// send sends the request by h.
func (q resendable) send(x context.Context, t *testing.T, h hop.Hop, id, path string) hop.Result {
	t.Helper()
	r := httptest.NewRequest(q.method, "http://h.example"+path, strings.NewReader(q.body))
	r.Header.Set("Figwheel-Attempt-Id", id)
	r.Header.Set("Id", id) // reaches the worker on either interface
	if q.key != "" {
		r.Header.Set(q.key, "k")
	}
	if q.chunked {
		r.ContentLength = -1
	}
	w := httptest.NewRecorder()
	b := hop.NewBody(w, r)
	if err := b.Load(x); err != nil {
		t.Fatal(err)
	}
	return h.Do(x, w, r, b)
}

// hops returns a hop to each kind of destination at the address.
func hops(tr http.RoundTripper, address string) map[string]hop.Hop {
	var echoes atomic.Bool
	echoes.Store(true) // connections are kept
	return map[string]hop.Hop{
		"worker":                      {Transport: tr, Address: address, Headers: platform.Headers(), HoldBack: true},
		"daemon":                      {Transport: tr, Address: address, Headers: platform.Headers(), Daemon: true},
		"worker on the own interface": {Transport: tr, Address: address, Headers: contract.OwnHeaders(), Exchange: "e", Echoes: &echoes},
		"daemon on the own interface": {Transport: tr, Address: address, Headers: contract.OwnHeaders(), Daemon: true},
	}
}

// pools are the idle connections to an address that a request finds. Those that are retired
// come first.
var pools = []struct{ idle, retired int }{{0, 0}, {1, 0}, {2, 0}, {4, 0}, {0, 2}, {4, 3}}

// TestLostAnswerRunsOnce guards against a request that runs twice because the transport resends
// it on another connection after its answer was lost.
func TestLostAnswerRunsOnce(t *testing.T) {
	for name, lose := range map[string]func(c *net.TCPConn){
		"closed":        func(*net.TCPConn) {},
		"reset":         func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"cut":           func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"interim first": func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"silent":        nil,
	} {
		for to := range hops(nil, "") {
			for _, p := range pools {
				if p.retired > 0 && to == "daemon on the own interface" {
					continue // its answers name no request, so that none of them is another's
				}
				t.Run(fmt.Sprintf("%s, %s, %d idle, %d retired", name, to, p.idle, p.retired), func(t *testing.T) {
					t.Parallel()
					k := &losingWorker{lose: lose, runs: make(map[string]int)}
					lost := make(chan struct{}, 100) // with room for each run
					if lose == nil {
						k.lose = func(c *net.TCPConn) {
							lost <- struct{}{}
							_, _ = io.Copy(io.Discard, c) // until the other side gives up
						}
					}
					a, stop := listen(t, k.serve)
					defer stop()
					tr := hop.NewTransport(0, dialTimeout, time.Minute)
					defer tr.CloseIdleConnections()
					h := hops(tr, a)[to]
					for i, q := range resendables() {
						if p.idle == 0 {
							tr.CloseIdleConnections()
						}
						k.fill(t, h, p.idle+p.retired, false)
						k.fill(t, h, p.retired, true)
						x, cancel := context.WithCancel(t.Context())
						id, want := fmt.Sprintf("id-%d", i), result.AnswerLost
						if lose == nil {
							want = result.CallerGone
							go func() {
								<-lost
								cancel()
							}()
						}
						f := q.send(x, t, h, id, "/lost")
						cancel()
						if f.Code != want || f.Outcome == contract.NotRun || f.Begun {
							t.Errorf("%v: %+v", q, f)
						}
						if n := k.runsOf(id); n != 1 {
							t.Errorf("%v: run %d times, want 1", q, n)
						}
					}
				})
			}
		}
	}
}

// TestUnsentRequestTakesNextConnection guards against a request that fails, although nothing of
// it was written, because it may be written once only.
func TestUnsentRequestTakesNextConnection(t *testing.T) {
	for _, to := range []string{"worker", "daemon", "worker on the own interface"} {
		for _, p := range []struct{ idle, retired int }{{0, 1}, {3, 1}, {0, 3}, {3, 3}, {0, 20}, {3, 20}} {
			t.Run(fmt.Sprintf("%s, %d idle, %d retired", to, p.idle, p.retired), func(t *testing.T) {
				t.Parallel()
				k := &losingWorker{runs: make(map[string]int)}
				a, stop := listen(t, k.serve)
				defer stop()
				tr := hop.NewTransport(0, dialTimeout, time.Minute)
				defer tr.CloseIdleConnections()
				h := hops(tr, a)[to]
				for i, q := range resendables() {
					if p.idle == 0 {
						tr.CloseIdleConnections()
					}
					k.fill(t, h, p.idle+p.retired, false)
					k.fill(t, h, p.retired, true)
					id := fmt.Sprintf("id-%d", i)
					if f := q.send(t.Context(), t, h, id, "/"); !f.OK() {
						t.Errorf("%v: %+v", q, f)
					}
					if n := k.runsOf(id); n != 1 {
						t.Errorf("%v: run %d times, want 1", q, n)
					}
				}
			})
		}
	}
}

// TestLostAnswerKeepsIdleConnections guards against a lost answer that costs all idle
// connections to the address, on which the transport tries to resend the request in turn, or one
// of a limited number of connections for good.
func TestLostAnswerKeepsIdleConnections(t *testing.T) {
	const idle = 20
	for name, connectionsMax := range map[string]int{"any number": 0, "limited": idle} {
		t.Run(name, func(t *testing.T) {
			k := &losingWorker{lose: func(*net.TCPConn) {}, runs: make(map[string]int)}
			a, stop := listen(t, k.serve)
			defer stop()
			tr := hop.NewTransport(connectionsMax, dialTimeout, time.Minute)
			defer tr.CloseIdleConnections()
			h := hops(tr, a)["worker"]
			for i, q := range resendables() {
				k.fill(t, h, idle, false)
				before := k.connections()
				q.send(t.Context(), t, h, fmt.Sprintf("id-%d", i), "/lost")
				k.fill(t, h, idle, false)
				// One connection is lost with the answer, and another may be closed when the
				// transport has taken it for the resend.
				if n := k.connections() - before; n > 2 {
					t.Errorf("%v: %d new connections after its answer was lost, want 2 at most", q, n)
				}
			}
		})
	}
}

// TestForeignTransportRunsOnce guards against a resend by a transport whose connections do not
// count writes.
func TestForeignTransportRunsOnce(t *testing.T) {
	k := &losingWorker{lose: func(*net.TCPConn) {}, runs: make(map[string]int)}
	a, stop := listen(t, k.serve)
	defer stop()
	tr := &http.Transport{MaxIdleConnsPerHost: 4}
	defer tr.CloseIdleConnections()
	h := hops(tr, a)["worker"]
	for i, q := range resendables() {
		k.fill(t, h, 4, false)
		id := fmt.Sprintf("id-%d", i)
		if f := q.send(t.Context(), t, h, id, "/lost"); f.OK() || f.Outcome == contract.NotRun {
			t.Errorf("%v: %+v", q, f)
		}
		if n := k.runsOf(id); n != 1 {
			t.Errorf("%v: run %d times, want 1", q, n)
		}
	}
}
