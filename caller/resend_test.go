package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/upstream"
)

// slowRunTime is how long a worker is busy with a request with the path /alone/slow.
const slowRunTime = 5 * time.Millisecond

// forgetfulWorkers are workers that run each request and answer it, except that the first
// run of a request whose path ends with /lost gets no answer.
type forgetfulWorkers struct {
	mu   sync.Mutex
	runs map[string][]string // addresses of the workers that ran a request, by its id
}

// start returns the address of one of the workers, which ends connections with lose in place
// of an answer.
func (k *forgetfulWorkers) start(t *testing.T, lose func(c *net.TCPConn)) string {
	return platformWorker(t, new(atomic.Int64), func(c net.Conn, q *http.Request) {
		id := q.Header.Get("Figwheel-Attempt-Id")
		k.mu.Lock()
		k.runs[id] = append(k.runs[id], c.LocalAddr().String())
		n := len(k.runs[id])
		k.mu.Unlock()
		switch q.URL.Path {
		case "/alone/slow":
			time.Sleep(slowRunTime)
		case "/alone/lost", "/patient/lost":
			if n == 1 {
				lose(c.(*net.TCPConn))
				_ = c.Close()
				return
			}
		}
		reply(c, "200 OK", "Figwheel-Attempt-Id: "+id+"\r\nFigwheel-Server-Seal: s\r\n", "")
	})
}

// resendMesh returns a daemon with one instance for each address, at other daemons; with
// own set, the first one is its own worker.
func resendMesh(t *testing.T, own bool, addresses ...string) *node {
	t.Helper()
	e := platformMesh(t, addresses...)
	if !own {
		return e
	}
	v := e.view.Load()
	s, _ := v.Snapshot.Service("s")
	e.worker.Set(upstream.Announcement{Service: "s", Address: addresses[0], State: "Ready", Slots: 2, ID: "i-0"}, s, time.Now())
	l := []link.Candidate{{Name: "0", Slots: 2, SameSite: true, Peer: &link.Peer{}, Local: true}}
	for i, a := range addresses[1:] {
		n := platformNode(t)
		n.view.Store(caller.NewView(v.Snapshot, nil))
		n.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 2, ID: fmt.Sprintf("i-%d", i+1)}, s, time.Now())
		l = append(l, link.Candidate{Name: fmt.Sprint(i + 1), Address: address(n.link), Slots: 2, SameSite: true, Peer: &link.Peer{}})
	}
	w := caller.NewView(v.Snapshot, map[string]link.Candidates{"s": link.NewCandidates(l)})
	w.Origin, w.Retries = v.Origin, v.Retries
	e.view.Store(w)
	return e
}

// fillConnections sends requests to the node at the same time, so that several connections to
// each daemon and worker become idle.
func fillConnections(t *testing.T, e *node, round int) {
	t.Helper()
	var g sync.WaitGroup
	for i := range 8 {
		g.Go(func() {
			q := request(t, e, http.MethodPost, "/alone/slow", nil)
			q.Header.Set("Figwheel-Attempt-Id", fmt.Sprintf("slow-%d-%d", round, i))
			if a := send(t, q); a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
				t.Errorf("a request that is not lost: %+v", a)
			}
		})
	}
	g.Wait()
}

// TestLostAnswerIsRepeatedByRouteOnly guards against a request of a non-idempotent route that
// runs twice after its answer was lost, because its method or headers are those of requests
// that net/http resends. Requests of idempotent routes must still be repeated, once, at the
// other worker, and within the retry budget.
func TestLostAnswerIsRepeatedByRouteOnly(t *testing.T) {
	type observed struct {
		Status, Runs, Workers int
	}
	routes := []struct {
		name, path string
		retries    contract.RetryLimits
		want       observed
	}{
		{"non-idempotent", "/alone/lost", contract.RetryLimits{Percent: 100, Burst: 10}, observed{502, 1, 1}},
		{"idempotent", "/patient/lost", contract.RetryLimits{Percent: 100, Burst: 10}, observed{200, 2, 2}},
		{"idempotent, budget used up", "/patient/lost", contract.RetryLimits{}, observed{502, 1, 1}},
	}
	requests := []struct {
		method, key string // key is the name of a header
		body        string
	}{
		{method: http.MethodGet},
		{method: http.MethodGet, key: "Idempotency-Key"},
		{method: http.MethodGet, body: "body"},
		{method: http.MethodOptions},
		{method: http.MethodPost},
		{method: http.MethodPost, key: "Idempotency-Key"},
		{method: http.MethodPost, key: "X-Idempotency-Key"},
		{method: http.MethodPost, key: "Idempotency-Key", body: "body"},
		{method: http.MethodPut, key: "Idempotency-Key"},
		{method: http.MethodDelete, key: "Idempotency-Key"},
	}
	for _, own := range []bool{false, true} {
		for name, lose := range map[string]func(c *net.TCPConn){
			"closed": func(*net.TCPConn) {},
			"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0) },
		} {
			for _, route := range routes {
				t.Run(fmt.Sprintf("%s, own worker %t, %s", route.name, own, name), func(t *testing.T) {
					t.Parallel()
					k := &forgetfulWorkers{runs: make(map[string][]string)}
					e := resendMesh(t, own, k.start(t, lose), k.start(t, lose))
					e.view.Load().Retries = route.retries
					for i, r := range requests {
						fillConnections(t, e, i)
						q := request(t, e, r.method, route.path, nil)
						if r.body != "" {
							q.Body = io.NopCloser(bytes.NewReader([]byte(r.body)))
							q.ContentLength = int64(len(r.body))
						}
						id := fmt.Sprintf("id-%d", i)
						q.Header.Set("Figwheel-Attempt-Id", id)
						if r.key != "" {
							q.Header.Set(r.key, "k")
						}
						a := send(t, q)
						k.mu.Lock()
						got := observed{a.Status, len(k.runs[id]), len(slices.Compact(slices.Sorted(slices.Values(k.runs[id]))))}
						k.mu.Unlock()
						if d := cmp.Diff(route.want, got); d != "" {
							t.Errorf("%+v (-want +got)\n%s", r, d)
						}
					}
				})
			}
		}
	}
}
