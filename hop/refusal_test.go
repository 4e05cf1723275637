package hop_test

import (
	"bufio"
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

// repeatingWorker is a worker that refuses the first request on each connection and
// runs the others. It writes the refusal of a connection once more at the moment
// that it is named for.
type repeatingWorker struct {
	moment  string
	refusal func(id string) string

	mu   sync.Mutex
	runs map[string]int // by path
}

// The moments at which a repeatingWorker writes the copy.
const (
	behindFirst = "behind the refusal"
	beforeRead  = "before it reads the next request"
	afterHead   = "before it reads the body of the next request"
	duringRun   = "while it runs the next request"
	behindHints = "behind an interim answer to the next request"
	never       = "never"
)

// serve serves one connection.
func (k *repeatingWorker) serve(c net.Conn) {
	b := bufio.NewReader(c)
	refusal := ""
	write := func(moment string) {
		if moment == k.moment {
			_, _ = io.WriteString(c, refusal)
		}
	}
	for n := 0; ; n++ {
		if _, err := b.Peek(1); err != nil {
			return
		}
		if n > 0 {
			write(beforeRead)
		}
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if n > 0 {
			write(afterHead)
		}
		d, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("Figwheel-Attempt-Id")
		if n == 0 {
			refusal = k.refusal(id)
			_, _ = io.WriteString(c, refusal)
			write(behindFirst)
			continue
		}
		k.mu.Lock()
		k.runs[q.URL.Path]++
		k.mu.Unlock()
		write(duringRun)
		if k.moment == behindHints {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nFigwheel-Not-Executed: 1\r\n\r\n"+refusal)
		}
		own := fmt.Sprintf("%s %s %s", id, q.URL.Path, d)
		length := len(own)
		if q.Method == http.MethodHead {
			own = ""
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: %s%s\r\nContent-Length: %d\r\n\r\n%s", id, id, q.URL.Path, length, own)
	}
}

// listen serves the connections to the returned address until stop, which returns
// when all connections have ended.
func listen(t *testing.T, serve func(c net.Conn)) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() {
				defer func() { _ = c.Close() }()
				serve(c)
			})
		}
	})
	return l.Addr().String(), func() { _ = l.Close(); g.Wait() }
}

// sendTo sends a request by h and returns the result and the answer to the caller.
func sendTo(t *testing.T, h hop.Hop, method, id, path, body string, chunked bool) (hop.Result, *httptest.ResponseRecorder) {
	t.Helper()
	r := httptest.NewRequest(method, "http://h.example"+path, strings.NewReader(body))
	if chunked {
		r.ContentLength = -1
	}
	if id != "" {
		r.Header.Set("Figwheel-Attempt-Id", id)
	}
	w := httptest.NewRecorder()
	b := hop.NewBody(w, r)
	if err := b.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return h.Do(t.Context(), w, r, b), w
}

// refusal returns a function that returns a refusal with the status, the request's
// id if withID is set, and the body.
func refusal(status int, withID bool, body string) func(id string) string {
	return func(id string) string {
		f := "Figwheel-Not-Executed: 1\r\nServer-Limit: 0.5\r\n"
		if withID {
			f += "Figwheel-Attempt-Id: " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sContent-Length: %d\r\n\r\n%s", status, f, len(body), body)
	}
}

// TestSecondCopyOfRefusalProvesNothing guards against callers that are told that a
// request was not run although a worker runs it: the copy of an earlier refusal
// arrives on the kept connection where the answer to the request is expected. The
// request may be another one, or the refused one that is offered again.
func TestSecondCopyOfRefusalProvesNothing(t *testing.T) {
	rounds := map[string]int{behindFirst: 20} // the copy races with the next request
	refusals := map[string]func(id string) string{
		"503 with id":               refusal(503, true, ""),
		"503 with id and body":      refusal(503, true, "busy"),
		"429 with id":               refusal(429, true, ""),
		"421 with id":               refusal(421, true, ""),
		"400 without id":            refusal(400, false, ""),
		"400 without id, with body": refusal(400, false, "no id"),
		"421 without id": func(string) string {
			return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		},
	}
	requests := []struct {
		method, body string
		chunked      bool
	}{
		{http.MethodGet, "", false},
		{http.MethodHead, "", false},
		{http.MethodPost, "a body", false},
		{http.MethodPost, "chunks", true},
	}
	for name, f := range refusals {
		for _, moment := range []string{behindFirst, beforeRead, afterHead, duringRun, behindHints, never} {
			for second, ids := range map[string][3]string{
				"the refused request":      {"a", "a", "c"},
				"another request":          {"a", "b", "c"},
				"one after one without id": {"", "b", "c"},
				"no ids":                   {"", "", ""},
			} {
				t.Run(name+", "+moment+", "+second, func(t *testing.T) {
					t.Parallel()
					for _, q := range requests {
						for range max(1, rounds[moment]) {
							k := &repeatingWorker{moment: moment, refusal: f, runs: make(map[string]int)}
							k.check(t, ids[:], q.method, q.body, q.chunked)
						}
					}
				})
			}
		}
	}
}

// check sends the worker a request with each of the ids, and reports each result
// that the answers and runs of the worker do not justify.
func (k *repeatingWorker) check(t *testing.T, ids []string, method, body string, chunked bool) {
	t.Helper()
	tr := hop.NewTransport(0, time.Second, time.Minute)
	a, stop := listen(t, k.serve)
	h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
	results := make(map[string]hop.Result)
	for n, id := range ids {
		path := fmt.Sprintf("/%d", n)
		f, w := sendTo(t, h, method, id, path, body, chunked)
		results[path] = f
		if seal := w.Header().Get("Figwheel-Server-Seal"); f.OK() && seal != id+path {
			t.Errorf("%s %s got the answer to %s", method, path, seal)
		}
		if n == 0 && f.Outcome != contract.NotRun {
			t.Errorf("%s %s was refused: %+v", method, path, f)
		}
	}
	tr.CloseIdleConnections()
	stop()
	for path, f := range results {
		if f.Outcome == contract.NotRun && k.runs[path] > 0 {
			t.Errorf("%s %s ran: %+v", method, path, f)
		}
		if f.Outcome != contract.NotRun && f.Notice != (contract.Notice{}) {
			t.Errorf("%s %s has the notice of a refusal: %+v", method, path, f)
		}
	}
}

// TestRefusalOfThisRequestIsProof guards against refusals that are not believed, and
// against a new connection for each refusal of a worker that is full.
func TestRefusalOfThisRequestIsProof(t *testing.T) {
	var connections atomic.Int64
	a, stop := listen(t, func(c net.Conn) {
		connections.Add(1)
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, refusal(503, true, "")(q.Header.Get("Figwheel-Attempt-Id")))
		}
	})
	defer stop()
	tr := hop.NewTransport(0, time.Second, time.Minute)
	defer tr.CloseIdleConnections()
	h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
	cases := []struct {
		name, id            string
		requests            int
		connectionsExpected int64
	}{
		{"first requests", "a%d", 100, 1},
		{"further requests", "b%d", 100, 0},
		{"requests that are offered again", "b%d", 100, 1},
		{"many requests", "c%d", 1000, 4},
	}
	for _, c := range cases {
		before, notRun := connections.Load(), 0
		for i := range c.requests {
			if f, _ := sendTo(t, h, http.MethodGet, fmt.Sprintf(c.id, i), "/", "", false); f.Outcome == contract.NotRun && f.Code == result.WorkerRefused {
				notRun++
			}
		}
		if n := connections.Load() - before; notRun != c.requests || n != c.connectionsExpected {
			t.Errorf("%s: %d of %d not run on %d new connections, want all on %d", c.name, notRun, c.requests, n, c.connectionsExpected)
		}
	}
}

// TestOwnInterfaceHasNoRefusals guards against an answer of a worker on figwheel's own
// interface that is taken as proof that it did not run the request, and against a
// notice that is taken from a copy of an earlier answer.
func TestOwnInterfaceHasNoRefusals(t *testing.T) {
	answer := func(status int, exchange string) string {
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\nFigwheel-Exchange: %s\r\nFigwheel-Not-Executed: 1\r\nFigwheel-Outcome: not-run\r\nFigwheel-Code: FW3004\r\nFigwheel-Leaving: 1\r\nContent-Length: 0\r\n\r\n", status, exchange)
	}
	for _, status := range []int{400, 421, 429, 503} {
		a, stop := listen(t, func(c net.Conn) {
			b := bufio.NewReader(c)
			earlier := ""
			for {
				q, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				own := answer(status, q.Header.Get("Figwheel-Exchange"))
				_, _ = io.WriteString(c, earlier+own)
				earlier = own
			}
		})
		tr := hop.NewTransport(0, time.Second, time.Minute)
		var echoes atomic.Bool
		for i := range 10 {
			h := hop.Hop{Transport: tr, Address: a, Headers: contract.OwnHeaders(), Exchange: fmt.Sprint(i), Echoes: &echoes}
			f, _ := sendTo(t, h, http.MethodPost, "", "/", "", false)
			if f.Outcome == contract.NotRun || f.OK() != f.Notice.IsLeaving() {
				t.Errorf("%d: %+v", status, f)
			}
		}
		tr.CloseIdleConnections()
		stop()
	}
}
