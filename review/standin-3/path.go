package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["path-twice"] = pathTwice }

// pathTwice lets clients send requests whose path has a percent-encoded slash, and whose
// route allows one run, while half of the workers lose the answers of a few runs.
func pathTwice(f *fleet, trouble bool) (int, error) {
	const (
		clients  = 12
		requests = 100 // of each client, one after the other
		lostOf   = 34  // at half of the workers, one in so many runs loses its answer
	)
	f.store.put("config", "main", configuration("r7", []route{
		{prefix: "/", service: "bookings", attempts: 3, timeout: 3},
		{prefix: "/hire/", service: "bookings", repeats: true, attempts: 3, timeout: 3},
	}))
	var losses, count atomic.Int64
	for i, z := range []string{"z1", "z2", "z3", "z1"} {
		m, err := f.add(z, "bookings")
		if err != nil {
			return cantRun, err
		}
		m.worker.work = func(*http.Request) time.Duration { return 10 * time.Millisecond }
		m.worker.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Figwheel-Attempt-Id")
			if trouble && i%2 == 0 && count.Add(1)%lostOf == 0 {
				losses.Add(1)
				f.rec.add("the answer of %s to %s is lost", m.worker.id, id)
				panic(http.ErrAbortHandler) // it ran, and its connection breaks
			}
			_, _ = fmt.Fprint(w, answerOf("bookings", id, r.RequestURI))
		}
	}
	if err := f.start(); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var twice atomic.Int64
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			for j := range requests {
				id := newID()
				uri := fmt.Sprintf("/hire%%2F%d/%d/book", i, j)
				a := f.ask(f.machines[i%len(f.machines)], http.MethodPost, uri, id, 2*time.Second)
				if l := f.runs.of(id); len(l) > 1 {
					twice.Add(1)
					f.rec.say("POST %s (%s), a request of the non-idempotent route /, ran %d times, at %s and %s; the client got %d", uri, id, len(l), l[0].Worker, l[1].Worker, a.Status)
				}
			}
		})
	}
	g.Wait()
	f.rec.say("TWICE: %d of %d non-idempotent requests ran more than once; %d answers were lost", twice.Load(), clients*requests, losses.Load())
	if twice.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
