package main

import (
	"context"
	"errors"
	"time"
)

func init() { cases["drain"] = lateCheckIns }

// lateCheckIns: a worker that has left gets requests again after a restart of its daemon.
func lateCheckIns(s setup) (bool, error) {
	d := s.d
	var ks []*worker
	for _, id := range []string{"i-1", "i-2"} {
		m, err := d.addMachine("sam-son", "lot-ledger")
		if err != nil {
			return false, err
		}
		k, err := d.addWorker(m, id, "lot-ledger")
		if err != nil {
			return false, err
		}
		ks = append(ks, k)
	}
	if err := d.store.writeConfig(config(1, []string{"lot-ledger"}, route{"/r/", "lot-ledger", "idempotent", 2.5})); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	b := newClient("b", d.machines[1].callAddress(), s.rec)
	if err := awaitServed("/r/50", b); err != nil {
		return false, err
	}
	x, stop := context.WithCancel(context.Background())
	defer stop()
	b.load(x, 25*time.Millisecond, "GET", 2*time.Second, func(int) string { return "/r/100" })
	time.Sleep(5 * time.Second)

	// The last two check-ins before the worker leaves are delayed.
	k, m := ks[0], d.machines[0]
	late := k.delay(2)
	s.rec.line("worker %s has sent two check-ins that are still on their way: %s", k.id, late)
	if !k.leave() {
		return false, errors.New("the leaving of the worker was not acknowledged")
	}
	left := time.Now()
	if s.trouble {
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return false, err
		}
		if err := m.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(time.Until(left.Add(1800 * time.Millisecond)))
	k.send(late[0], true)
	time.Sleep(300 * time.Millisecond)
	k.send(late[1], true)
	time.Sleep(time.Until(left.Add(9 * time.Second)))
	stop()
	k.stop()
	b.answers()

	bound := left.Add(drainTime)
	if t := back.Add(stableTime + 500*time.Millisecond); s.trouble && t.After(bound) {
		bound = t // the machine beside the worker is in touch again
	}
	n := 0
	for _, r := range d.runs.list() {
		if r.worker == k.id && r.at.After(bound) {
			n++
		}
	}
	s.rec.result("worker %s ran %d requests later than %.1f s after its leaving was acknowledged, with all machines in touch", k.id, n, bound.Sub(left).Seconds())
	return n > 0, nil
}
