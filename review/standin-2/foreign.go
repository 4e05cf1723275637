package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	unnamedService = "warehouse" // which no configuration names
	requestEvery   = 50 * time.Millisecond

	drainTime = 2 * time.Second // drain_s
	serveOn   = 9 * time.Second // for which a worker serves after its DELETE
)

// foreignCheckIn plays another writer that sends a check-in with the id and the address of a
// worker and a service of no configuration.
func foreignCheckIn(x context.Context, s *stage) error {
	desk, err := s.addMachine("desk", "north", "gauge-desk")
	if err != nil {
		return err
	}
	ledger, err := s.addMachine("ledger", "north", "lot-ledger")
	if err != nil {
		return err
	}
	if err := s.startForeign(x, desk); err != nil {
		return err
	}
	if s.trouble {
		s.writeForeign(x, desk, func(v map[string]any) {
			v["server_info"].(map[string]any)["service"] = unnamedService
		})
	}
	answered := 0
	for i := range 200 {
		status := get(x, desk, "c", i)
		s.log.printf("request c-%d of a client on %s: status %d (0: no connection)", i, desk.name, status)
		if status == http.StatusOK {
			answered++
		}
		pause(x, requestEvery)
	}
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

// foreignAfterLeave plays a worker that leaves and serves on for some time, while another
// writer sends a check-in with its id in which fields are missing.
func foreignAfterLeave(x context.Context, s *stage) error {
	desk, err := s.addMachine("desk", "north", "gauge-desk")
	if err != nil {
		return err
	}
	leaver, err := s.addMachine("ledger-1", "north", "lot-ledger")
	if err != nil {
		return err
	}
	if _, err := s.addMachine("ledger-2", "north", "lot-ledger"); err != nil {
		return err
	}
	if err := s.startForeign(x, desk); err != nil {
		return err
	}
	if status := leaver.worker.leave(x); status != http.StatusOK {
		return fmt.Errorf("the DELETE was answered with %d", status)
	}
	acked := time.Now()
	pause(x, time.Second)
	if s.trouble {
		s.writeForeign(x, leaver, func(v map[string]any) {
			delete(v["server_info"].(map[string]any), "version")
			delete(v["server_info"].(map[string]any), "zone")
			delete(v["status"].(map[string]any), "cold_left_s")
		})
	}
	answered := 0
	for i := 0; time.Since(acked) < serveOn; i++ {
		status := get(x, desk, "c", i)
		s.log.printf("request c-%d of a client on %s: status %d (0: no connection)", i, desk.name, status)
		if status == http.StatusOK {
			answered++
		}
		pause(x, requestEvery)
	}
	late := 0
	for _, r := range leaver.worker.allRuns() {
		if r.at.Sub(acked) > drainTime {
			late++
		}
	}
	s.log.printf("%d requests answered with 200, %d reached %s later than %s after the acknowledgement of its DELETE", answered, late, leaver.worker.id, drainTime)
	switch {
	case answered < 50:
		return fmt.Errorf("only %d requests were answered", answered)
	case late > 0:
		return errBroken
	}
	return nil
}

// startForeign starts all machines with a route for each service, and waits until they
// serve and are in touch.
func (s *stage) startForeign(x context.Context, m *machine) error {
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
	pause(x, stableTime)
	if !await(10*time.Second, func() bool { return get(x, m, "warm", 1) == http.StatusOK }) {
		return errors.New("the installation does not serve")
	}
	return nil
}

// writeForeign sends one check-in of another writer to the control address of the machine:
// that which its worker would send, with the sequence and the start time of the writer,
// altered by alter.
func (s *stage) writeForeign(x context.Context, m *machine, alter func(v map[string]any)) {
	v := checkIn(m.app, m.service, m.zone, m.worker.slots, 1, time.Now().UnixMilli())
	alter(v)
	status, err := send(x, http.MethodPut, m.control, m.worker.id, v)
	b, _ := json.Marshal(v)
	s.log.printf("check-in of another writer with the id %s: %d %v; %s", m.worker.id, status, err, b)
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
