package main

import (
	"syscall"
	"time"
)

func init() { cases["origin"] = otherService }

// otherService: the settings of a machine name another service.
func otherService(s setup) (bool, error) {
	d := s.d
	for i, z := range []string{"sam-son", "ba-dinh", "tho-xuan"} {
		v := []string{"lot-ledger", "cert-office", "lot-ledger"}[i]
		m, err := d.addMachine(z, v)
		if err != nil {
			return false, err
		}
		if _, err := d.addWorker(m, "i-"+z, v); err != nil {
			return false, err
		}
	}
	if err := d.store.writeConfig(config(1, []string{"lot-ledger", "cert-office"}, route{"/r/", "lot-ledger", "idempotent", 2}, route{"/b/", "cert-office", "idempotent", 2})); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	m := d.machines[0]
	a := newClient("a", m.callAddress(), s.rec)
	if err := awaitServed("/b/20", a); err != nil {
		return false, err
	}
	if err := awaitServed("/r/20", a); err != nil {
		return false, err
	}
	service := "lot-ledger"
	if s.trouble {
		d.workers[0].stop()
		time.Sleep(2500 * time.Millisecond) // longer than reuse_after_s
		service = "cert-office"
		m.values["service"] = service
		if err := m.render(); err != nil {
			return false, err
		}
		if _, err := d.addWorker(m, "i-new", service); err != nil {
			return false, err
		}
		m.signal(syscall.SIGHUP)
	}
	time.Sleep(6 * time.Second)
	for range 20 {
		a.do("GET", "/b/20", "", 2*time.Second)
		a.do("GET", "/r/20", "", 2*time.Second)
	}
	wrong := 0
	all := d.runs.list()
	for _, r := range all[len(all)-40:] {
		if r.caller != service {
			wrong++
		}
	}
	s.rec.result("%d of the last 40 runs had another Figwheel-Caller-Service than %s, the service of the machine where they began", wrong, service)
	return wrong > 0, nil
}
