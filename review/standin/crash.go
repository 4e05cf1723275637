package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["crash"] = crashingRequest }

const (
	// workerDownTime is how long a worker that crashed is gone.
	workerDownTime = 4 * time.Second
	// crashInterval is the time between two sends of the request.
	crashInterval = 7 * time.Second
	// crashRetries is how many retries of a request that crashes workers may reach them.
	crashRetries = 3
)

// crashingRequest: a request that crashes workers comes again and again.
func crashingRequest(s setup) (bool, error) {
	d := s.d
	for i, z := range []string{"sam-son", "ba-dinh", "tho-xuan", "sam-son", "ba-dinh", "tho-xuan"} {
		m, err := d.addMachine(z, "lot-ledger")
		if err != nil {
			return false, err
		}
		k, err := d.addWorker(m, fmt.Sprintf("i-%d-1", i+1), "lot-ledger")
		if err != nil {
			return false, err
		}
		go d.startAgain(m, k, i+1)
	}
	if err := d.store.writeConfig(config(1, []string{"lot-ledger"}, route{"/r/", "lot-ledger", "idempotent", 2}, route{crashPrefix, "lot-ledger", "non_idempotent", 2})); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var cs []*client
	for i, m := range d.machines {
		cs = append(cs, newClient(fmt.Sprintf("c%d", i+1), m.callAddress(), s.rec))
	}
	if err := awaitServed("/r/20", cs...); err != nil {
		return false, err
	}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	for _, c := range cs {
		c.load(x, 100*time.Millisecond, "GET", 2*time.Second, func(int) string { return "/r/20" })
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		for n := range 8 {
			cs[n%len(cs)].do("POST", crashPrefix+"7", "the same body", 2*time.Second)
			time.Sleep(crashInterval)
		}
	}
	stop()
	for _, c := range cs {
		c.answers()
	}
	var third time.Time
	n, late := 0, 0
	for _, r := range d.runs.list() {
		if r.path != crashPrefix+"7" {
			continue
		}
		if n++; n == 3 {
			third = r.at
		}
		if n > 3 && r.at.After(third.Add(stableTime)) {
			late++
			s.rec.line("run %d of the request, %.1f s after the third crash", n, r.at.Sub(third).Seconds())
		}
	}
	s.rec.result("the request crashed %d workers, %d of them later than %.0f s after the third crash", n, late, stableTime.Seconds())
	return late > crashRetries, nil
}
