package hop_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
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

// copyingWorker refuses some requests and runs the others. At random moments it writes
// copies of any refusal that it wrote on the connection before.
type copyingWorker struct {
	seed        uint64
	connections atomic.Uint64

	mu   sync.Mutex
	runs map[string]int // by request
}

// serve serves one connection.
func (k *copyingWorker) serve(c net.Conn) {
	r := rand.New(rand.NewPCG(k.seed, k.connections.Add(1)))
	b := bufio.NewReader(c)
	var refusals []string
	misbehave := func() {
		for len(refusals) > 0 && r.IntN(10) == 0 {
			_, _ = io.WriteString(c, refusals[r.IntN(len(refusals))])
		}
	}
	for {
		if _, err := b.Peek(1); err != nil {
			return
		}
		misbehave()
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		misbehave()
		id := q.Header.Get("Figwheel-Attempt-Id")
		refuse := func() {
			f := refusal([]int{400, 421, 429, 503}[r.IntN(4)], id != "" && r.IntN(8) > 0, "")(id)
			refusals = append(refusals, f)
			_, _ = io.WriteString(c, f)
		}
		early := r.IntN(8) == 0
		if early {
			refuse()
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if early {
			continue
		}
		if r.IntN(3) == 0 {
			refuse()
			misbehave()
			continue
		}
		k.mu.Lock()
		k.runs[q.URL.Path]++
		k.mu.Unlock()
		misbehave()
		if r.IntN(10) == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nFigwheel-Not-Executed: 1\r\n\r\n")
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(q.URL.Path), q.URL.Path)
		misbehave()
	}
}

// TestCopiesOfRefusalsInAnyOrder guards against requests that run although they are
// reported as not run, and that run twice because they are offered again.
func TestCopiesOfRefusalsInAnyOrder(t *testing.T) {
	const seeds, senders, requests, offersMax = 8, 4, 60, 4
	total := make(map[contract.Outcome]int)
	for seed := range uint64(seeds) {
		k := &copyingWorker{seed: seed, runs: make(map[string]int)}
		a, stop := listen(t, k.serve)
		tr := hop.NewTransport(0, time.Second, time.Minute)
		h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
		ends := make([]map[string]hop.Result, senders)
		var g sync.WaitGroup
		for n := range senders {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			ends[n] = make(map[string]hop.Result)
			g.Go(func() {
				for i := range requests {
					path, id := fmt.Sprintf("/%d-%d", n, i), fmt.Sprintf("%d-%d", n, i)
					if r.IntN(10) == 0 {
						id = ""
					}
					var f hop.Result
					for range 1 + r.IntN(offersMax) {
						var w *httptest.ResponseRecorder
						f, w = sendTo(t, h, http.MethodPost, id, path, strings.Repeat("x", r.IntN(3)*4000), r.IntN(3) == 0)
						if f.OK() && w.Body.String() != path {
							t.Errorf("seed %d: %s got the answer to %s", seed, path, w.Body)
						}
						if f.Outcome != contract.NotRun {
							break
						}
					}
					ends[n][path] = f
				}
			})
		}
		g.Wait()
		tr.CloseIdleConnections()
		stop()
		for _, e := range ends {
			for path, f := range e {
				total[f.Outcome]++
				if n := k.runs[path]; n > 1 || n > 0 && f.Outcome == contract.NotRun {
					t.Errorf("seed %d: %s ran %d times: %+v", seed, path, n, f)
				}
			}
		}
	}
	if total[contract.Run] == 0 || total[contract.NotRun] == 0 || total[contract.Unknown] == 0 {
		t.Errorf("outcomes %v, want each of them", total)
	}
}

// TestEarlyRefusalIsBelieved guards against a refusal that is not believed because it
// arrives while the body of its request is still being sent.
func TestEarlyRefusalIsBelieved(t *testing.T) {
	const bodyBytes = 400 << 10
	a, stop := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal(503, true, "")(q.Header.Get("Figwheel-Attempt-Id")))
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	})
	defer stop()
	tr := hop.NewTransport(0, time.Second, time.Minute)
	defer tr.CloseIdleConnections()
	h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
	for i := range 20 {
		f, _ := sendTo(t, h, http.MethodPost, fmt.Sprint(i), "/", strings.Repeat("x", bodyBytes), i%2 == 1)
		if f.Outcome != contract.NotRun || f.Code != result.WorkerRefused {
			t.Errorf("request %d: %+v", i, f)
		}
	}
}

// TestCopyOfRefusalOnLastConnection guards against a copy of a refusal that is believed
// because the request has avoided as many connections as it may.
func TestCopyOfRefusalOnLastConnection(t *testing.T) {
	const connections = 6 // more than a request may avoid
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var opened, runs atomic.Int64
		var arrived sync.WaitGroup
		arrived.Add(connections)
		a, stop := listen(t, func(c net.Conn) {
			opened.Add(1)
			b := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				if q.URL.Path == "/refused" {
					arrived.Done()
					arrived.Wait()
				} else {
					runs.Add(1)
				}
				_, _ = io.WriteString(c, refusal(503, true, "")("a"))
			}
		})
		tr := hop.NewTransport(0, time.Second, time.Minute)
		h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
		var g sync.WaitGroup
		for range connections {
			g.Go(func() {
				if f, _ := sendTo(t, h, http.MethodGet, "a", "/refused", "", false); f.Outcome != contract.NotRun {
					t.Errorf("the refusal of the request itself: %+v", f)
				}
			})
		}
		g.Wait()
		f, _ := sendTo(t, h, method, "a", "/", "", false)
		if n := opened.Load(); f.Outcome != contract.Unknown || runs.Load() != 1 || n != connections {
			t.Errorf("%s: %d runs, %d connections, want 1, %d: %+v", method, runs.Load(), n, connections, f)
		}
		tr.CloseIdleConnections()
		stop()
	}
}
