package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	exitAfter  = 2500 * time.Millisecond // a worker's DELETE that is not acknowledged, it exits
	startAfter = 500 * time.Millisecond  // its exit, it starts again
	lateTime   = 4500 * time.Millisecond // of the DELETE
	settleTime = 10 * time.Second        // until the steady state in which requests are counted
	counted    = 100                     // requests on each route
)

// lateDelete plays a worker that leaves and starts again under its id, and whose DELETE
// arrives late.
func lateDelete(x context.Context, s *stage) error {
	desk, err := s.addMachine("desk", "north", "gauge-desk")
	if err != nil {
		return err
	}
	ledger, err := s.addMachine("ledger", "north", "lot-ledger")
	if err != nil {
		return err
	}
	first := route{"/gauge/", "gauge-desk", kindIdempotent, 2}
	later := route{"/lots/", "lot-ledger", kindIdempotent, 2}
	if err := s.putConfig(7, first); err != nil {
		return err
	}
	y, exit := context.WithCancel(x)
	defer exit()
	if err := s.startWith(x, y, ledger); err != nil {
		return err
	}
	pause(x, stableTime)
	if err := s.putConfig(8, first, later); err != nil {
		return err
	}
	if !await(10*time.Second, func() bool { return get(x, desk, "warm", 1) == http.StatusOK }) {
		return errors.New("the installation does not serve")
	}
	left := time.Now()
	if s.trouble {
		ledger.worker.stopBeats()
		s.log.printf("worker %s sends its DELETE, which is under way for %s", ledger.worker.id, lateTime)
	} else {
		ledger.worker.leave(x)
	}
	pause(x, exitAfter)
	s.log.printf("worker %s exits", ledger.worker.id)
	exit()
	pause(x, startAfter)
	again := &worker{log: s.log, service: ledger.service, zone: ledger.zone, id: ledger.worker.id, control: ledger.control, slots: 9, work: ledger.worker.work}
	if err := again.start(x, ledger.app); err != nil {
		return err
	}
	s.log.printf("worker %s starts again under its id", again.id)
	pause(x, time.Until(left.Add(lateTime)))
	if s.trouble {
		status, err := send(x, http.MethodDelete, ledger.control, again.id, nil)
		s.log.printf("the DELETE of the first start of worker %s arrives: %d %v", again.id, status, err)
	}
	pause(x, settleTime)
	return s.compare(x, desk)
}

// compare counts how often requests on the first and on the later route are served.
func (s *stage) compare(x context.Context, m *machine) error {
	served := map[string]int{}
	for i := range counted {
		for _, path := range []string{"/gauge/", "/lots/"} {
			id := fmt.Sprintf("c-%d-%s", i, path[1:len(path)-1])
			status := getPath(x, m, path, id)
			s.log.printf("request %s of a client on %s: %s %d", id, m.name, path, status)
			if status == http.StatusOK {
				served[path]++
			}
		}
		pause(x, requestEvery)
	}
	s.log.printf("served: %d of %d on the first route, %d of %d on the route that was added later", served["/gauge/"], counted, served["/lots/"], counted)
	switch {
	case served["/gauge/"] < counted/2:
		return errors.New("the first route is not served")
	case 4*served["/lots/"] < served["/gauge/"]:
		return errBroken
	}
	return x.Err()
}

// putConfig writes a version of the configuration.
func (s *stage) putConfig(version int, l ...route) error {
	b, err := configuration(version, l...)
	if err != nil {
		return err
	}
	s.store.put("config", "main", b)
	s.log.printf("version r%d is acknowledged: %d routes", version, len(l))
	return nil
}
