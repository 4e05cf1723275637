package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	unnamedService = "warehouse" // which no configuration names
	foreignEvery   = 250 * time.Millisecond
	requestEvery   = 50 * time.Millisecond
)

// foreignCheckIn plays a daemon that is killed and started again beside a running
// worker while another writer sends check-ins that name a service of no configuration.
func foreignCheckIn(x context.Context, s *stage) error {
	desk, err := s.addMachine("desk", "north", "gauge-desk")
	if err != nil {
		return err
	}
	ledger, err := s.addMachine("ledger", "north", "lot-ledger")
	if err != nil {
		return err
	}
	b, err := configuration(
		7,
		route{"/gauge/", "gauge-desk", kindIdempotent, 2},
		route{"/lots/", "lot-ledger", kindIdempotent, 2},
	)
	if err != nil {
		return err
	}
	s.store.put("config", "main", b)
	if err := s.startAll(x); err != nil {
		return err
	}
	if !await(10*time.Second, func() bool {
		return get(x, desk, "warm", 0) == http.StatusOK && get(x, ledger, "warm", 1) == http.StatusOK
	}) {
		return fmt.Errorf("the installation does not serve")
	}
	y, stop := context.WithCancel(x)
	defer stop()
	if s.trouble {
		go s.writeForeign(y, desk)
	}
	answered := 0
	time.Sleep(time.Second)
	for i := range 160 {
		switch {
		case i == 30:
			s.log.printf("kill the daemon of %s", desk.name)
			desk.kill()
		case i == 36:
			s.log.printf("start the daemon of %s", desk.name)
			if err := desk.start(s.root); err != nil {
				return err
			}
			await(5*time.Second, desk.isReady)
		}
		status := get(x, desk, "c", i)
		s.log.printf("request c-%d of a client on %s: status %d (0: no connection)", i, desk.name, status)
		if status == http.StatusOK {
			answered++
		}
		time.Sleep(requestEvery)
	}
	stop()
	wrong := 0
	for _, r := range ledger.worker.allRuns() {
		if r.id[0] == 'c' && r.caller != desk.service {
			wrong++
		}
	}
	s.log.printf("%d requests answered with 200, %d run with another caller than %s", answered, wrong, desk.service)
	switch {
	case answered < 100:
		return fmt.Errorf("only %d requests were answered", answered)
	case wrong > 0:
		return errBroken
	}
	return nil
}

// writeForeign sends check-ins to the control address of the machine until x ends.
func (s *stage) writeForeign(x context.Context, m *machine) {
	for n := 1; x.Err() == nil; n++ {
		status, err := checkIn(x, m.control, m.worker.id, m.app, unnamedService, m.zone, 9, n, 0)
		s.log.printf("check-in of another writer, service %s, sequence %d: %d %v", unnamedService, n, status, err)
		select {
		case <-time.After(foreignEvery):
		case <-x.Done():
		}
	}
}

// client keeps connections open for many requests.
var client = &http.Client{Timeout: 3 * time.Second}

// get sends a request of a client on the machine for the service of the other one, and
// returns the status, 0 without an answer.
func get(x context.Context, m *machine, prefix string, n int) int {
	return getPath(x, m, "/lots/"+strconv.Itoa(n), attemptID(prefix, n))
}

// getPath sends a request of a client on the machine and returns the status, 0 without
// an answer.
func getPath(x context.Context, m *machine, path, id string) int {
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+m.outbound+path, nil)
	if err != nil {
		return 0
	}
	q.Host = host
	q.Header.Set(headerID, id)
	q.Header.Set(headerDeadline, "2000")
	p, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, p.Body)
	return p.StatusCode
}
