package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["get-twice"] = getTwice }

// getTwice lets clients send GET requests of a route that allows one run, while half of the
// workers lose the answers of a few runs: they run the request, and its connection ends
// without an answer.
func getTwice(f *fleet, trouble bool) (int, error) {
	const (
		clients  = 12
		requests = 200 // of each client, one after the other
		lostOf   = 34  // at half of the workers, one in so many runs loses its answer
	)
	f.store.put("config", "main", configuration("r7", []route{{prefix: "/fee/", service: "ledger", attempts: 3, timeout: 3}}))
	var losses, count atomic.Int64
	for i, z := range []string{"z1", "z2", "z3", "z1"} {
		m, err := f.add(z, "ledger")
		if err != nil {
			return cantRun, err
		}
		m.worker.work = func(*http.Request) time.Duration { return 10 * time.Millisecond }
		m.worker.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Figwheel-Attempt-Id")
			if trouble && i%2 == 0 && count.Add(1)%lostOf == 0 {
				losses.Add(1)
				f.rec.add("the answer of %s to %s is lost", m.worker.id, id)
				panic(http.ErrAbortHandler) // closes the connection
			}
			_, _ = fmt.Fprint(w, answerOf("ledger", id, r.RequestURI))
		}
	}
	if err := f.start(); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	type sent struct {
		uri, id string
		answer  answer
	}
	all := make([][]sent, clients)
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			for j := range requests {
				q := sent{uri: fmt.Sprintf("/fee/%d/%d", i, j), id: newID()}
				q.answer = f.ask(f.machines[i%len(f.machines)], http.MethodGet, q.uri, q.id, 2*time.Second)
				all[i] = append(all[i], q)
			}
		})
	}
	g.Wait()
	twice := 0
	for _, l := range all {
		for _, q := range l {
			r := f.runs.of(q.id)
			if len(r) < 2 {
				continue
			}
			twice++
			f.rec.say("GET %s (%s) of a non-idempotent route ran %d times, at %s and %.3f s later at %s; the client got %d",
				q.uri, q.id, len(r), r[0].Worker, r[1].At.Sub(r[0].At).Seconds(), r[1].Worker, q.answer.Status)
		}
	}
	f.rec.say("TWICE: %d of %d non-idempotent requests ran more than once; %d answers were lost", twice, clients*requests, losses.Load())
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
