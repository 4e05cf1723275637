package main

import (
	"fmt"
	"time"
)

func init() { cases["writer"] = otherWriter }

// otherWriter: a check-in of another writer that names no worker to use.
func otherWriter(s setup) (bool, error) {
	d := s.d
	for i, z := range []string{"nottingham", "loughborough"} {
		v := []string{"riverdesk", "bookings"}[i]
		m, err := d.addMachine(z, v)
		if err != nil {
			return false, err
		}
		if _, err := d.addWorker(m, "i-"+z, v); err != nil {
			return false, err
		}
	}
	first := route{"/r/", "riverdesk", "idempotent", 2}
	if err := d.store.writeConfig(config(1, []string{"riverdesk", "bookings"}, first)); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	a := newClient("a", d.machines[0].callAddress(), s.rec)
	if err := awaitServed("/r/20", a); err != nil {
		return false, err
	}
	if err := d.store.writeConfig(config(2, []string{"riverdesk", "bookings"}, first, route{"/b/", "bookings", "idempotent", 2})); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := awaitServed("/b/20", a); err != nil {
		return false, err
	}
	if s.trouble {
		body := fmt.Sprintf(`{"address":%q,"born":%d,"server_info":{"service":"no-such-service","version":"v1","zone":"loughborough","slot_count":9},"status":{"state":"ready","sequence":1,"cold_left_s":0}}`, d.machines[1].workerAddress(), time.Now().UnixMilli())
		checkInCall(s.rec, "PUT", d.machines[1].controlAddress(), "i-other", []byte(body), true)
	}
	time.Sleep(3 * time.Second)
	served := map[string]int{}
	const n = 200
	for range n {
		for _, p := range []string{"/r/20", "/b/20"} {
			if v := a.do("GET", p, "", 2*time.Second); v.status == 200 && v.seal {
				served[p]++
			}
		}
	}
	s.rec.result("served: %d of %d on the first route, %d of %d on the route that was added later", served["/r/20"], n, served["/b/20"], n)
	return 4*served["/b/20"] < served["/r/20"], nil
}
