package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["lost"] = longRequest }

// longRequest: a request that the daemon takes during a stop is cut off.
func longRequest(s setup) (bool, error) {
	d := s.d
	for _, z := range []string{"sam-son", "ba-dinh", "tho-xuan"} {
		m, err := d.addMachine(z, "lot-ledger")
		if err != nil {
			return false, err
		}
		if _, err := d.addWorker(m, "i-"+z, "lot-ledger"); err != nil {
			return false, err
		}
	}
	if err := d.store.writeConfig(config(1, []string{"lot-ledger"}, route{"/lots/", "lot-ledger", "non_idempotent", 2.5})); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	a := newClient("a", d.machines[0].callAddress(), s.rec)
	b := newClient("b", d.machines[1].callAddress(), s.rec)
	if err := awaitServed("/lots/300", a, b); err != nil {
		return false, err
	}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	// One request in a hundred takes six times the mean, as in the site file.
	path := func(n int) string {
		if n%100 == 50 {
			return "/lots/1800"
		}
		return fmt.Sprintf("/lots/%d", 240+n*37%120)
	}
	for _, c := range []*client{a, b} {
		c.load(x, 100*time.Millisecond, "POST", 5*time.Second, path)
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		d.machines[0].signal(syscall.SIGTERM)
	}
	term := time.Now()
	// The platform asks each second whether the daemon takes requests. With one daemon
	// in the zone, the answers take no clients away.
	for t := 800 * time.Millisecond; t < 5*time.Second; t += time.Second {
		time.AfterFunc(t, func() { s.rec.line("the platform asks %s: ready %v", d.machines[0].name, d.machines[0].isReady()) })
	}
	time.Sleep(time.Until(term.Add(1650 * time.Millisecond)))
	a.start("POST", "/lots/1800", "", 5*time.Second)
	for t := 3250 * time.Millisecond; t <= 3350*time.Millisecond; t += 50 * time.Millisecond {
		time.Sleep(time.Until(term.Add(t)))
		a.start("POST", "/lots/1800", "", 5*time.Second)
	}
	time.Sleep(time.Until(term.Add(graceTime)))
	stop()
	if s.trouble {
		d.machines[0].kill()
	}
	lost := 0
	for _, v := range a.answers() {
		if v.cut && len(d.runs.of(v.id)) > 0 && v.sent.Sub(term) > excusedTime {
			lost++
			s.rec.result("%s was sent %.3f s after the SIGTERM, was run by a worker, and its connection ended %.3f s after the SIGTERM without an answer", v.id, v.sent.Sub(term).Seconds(), v.ended.Sub(term).Seconds())
		}
	}
	return lost > 0, nil
}
