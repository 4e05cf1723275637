package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestCopyOfRefusalWhenOfferedAgain guards against a request that runs and is
// answered as not run. One worker refuses it, the daemon of the other one is full,
// and the first worker gets it again, on the connection on which a copy of the
// refusal arrives.
func TestCopyOfRefusalWhenOfferedAgain(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var runs, offers atomic.Int64
	first := listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		refused := false
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			if offers.Add(1) == 1 {
				_, _ = io.WriteString(c, refusal)
				refused = true
				continue
			}
			runs.Add(1)
			if refused {
				_, _ = io.WriteString(c, refusal)
			}
			reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", "whole")
		}
	})
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	var others atomic.Int64
	second := platformWorker(t, &others, func(net.Conn, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	e := platformMesh(t, first, second)
	full := e.view.Load().Candidates["s"].Choose(time.Now(), "", rand.New(rand.NewPCG(1, 1)), []string{"0"}, 0)
	for i := range cap(arrived) {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+full.Address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Figwheel-Attempt-Id", fmt.Sprintf("b%d", i))
		q.Header.Set("Figwheel-Service", "s")
		go send(t, q)
		<-arrived
	}
	q := request(t, e, http.MethodPost, "/once/", nil)
	q.Header.Set("Figwheel-Attempt-Id", "a1")
	g := send(t, q)
	if offers.Load() != 2 || runs.Load() != 1 {
		t.Fatalf("%d offers and %d runs, want 2 and 1: %+v", offers.Load(), runs.Load(), g)
	}
	if want := (received{Status: http.StatusOK, Outcome: "run", Body: "whole"}); g != want {
		t.Errorf("got %+v, want %+v", g, want)
	}
}

// TestCopyOfRefusalWithoutID guards against a request that runs and is answered as
// not run because a worker repeats its refusal of a request without an id.
func TestCopyOfRefusalWithoutID(t *testing.T) {
	const refusal = "HTTP/1.1 400 Bad Request\r\nFigwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var arrivals, runs atomic.Int64
	w := platformWorker(t, &arrivals, func(c net.Conn, q *http.Request) {
		id := q.Header.Get("Figwheel-Attempt-Id")
		if id != "" {
			runs.Add(1)
		}
		_, _ = io.WriteString(c, refusal)
		if id != "" {
			reply(c, "200 OK", "Figwheel-Attempt-Id: "+id+"\r\nFigwheel-Server-Seal: s\r\n", "whole")
		}
	})
	e := platformMesh(t, w)
	if g := send(t, request(t, e, http.MethodPost, "/once/", nil)); g.Status != http.StatusServiceUnavailable || g.Outcome != "not-run" {
		t.Errorf("a request without an id: %+v", g)
	}
	q := request(t, e, http.MethodPost, "/once/", nil)
	q.Header.Set("Figwheel-Attempt-Id", "a1")
	if g := send(t, q); runs.Load() != 1 || g.Status != http.StatusBadGateway || g.Outcome != "unknown" {
		t.Errorf("%d runs: %+v", runs.Load(), g)
	}
}
