package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["entry"] = otherEntry }

// otherEntry: an object of another writer lies among the daemons' own.
func otherEntry(s setup) (bool, error) {
	d := s.d
	services := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	var routes []route
	for i, v := range services {
		m, err := d.addMachine("sam-son", v)
		if err != nil {
			return false, err
		}
		if _, err := d.addWorker(m, fmt.Sprintf("i-%d", i+1), v); err != nil {
			return false, err
		}
		routes = append(routes, route{"/" + v + "/", v, "idempotent", 2})
	}
	if err := d.store.writeConfig(config(1, services, routes...)); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var cs []*client
	for i, m := range d.machines {
		c := newClient(fmt.Sprintf("c%d", i+1), m.callAddress(), s.rec)
		cs = append(cs, c)
		for _, v := range services {
			if err := awaitServed("/"+v+"/20", c); err != nil {
				return false, err
			}
		}
	}
	if s.trouble {
		d.store.mu.Lock()
		d.store.put("control", "roster-of-another-writer", json.RawMessage(`"not for you!"`))
		d.store.mu.Unlock()
		s.rec.line("another writer has written control/roster-of-another-writer")
	}
	share := func(what string) float64 {
		n, served := 0, 0
		for range 10 {
			for _, c := range cs {
				for _, v := range services {
					n++
					if a := c.do("GET", "/"+v+"/20", "", 2*time.Second); a.status == 200 && a.seal {
						served++
					}
				}
			}
		}
		s.rec.result("%s: %d of %d requests are served", what, served, n)
		return float64(served) / float64(n)
	}
	before := share("before the final fault")
	for _, m := range d.machines {
		m.kill()
	}
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		return false, err
	}
	time.Sleep(recoverTime)
	after := share("later than recover_s after all machines are back")
	return before >= 0.25 && after < 0.25, nil
}
