package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Bounds of the settings, and the disruption of the case.
const (
	stableTime      = 3 * time.Second // stable_s
	configApplyTime = 2 * time.Second // config_apply_s
	boundMargin     = 50 * time.Millisecond

	outageTime   = 8 * time.Second        // of the store
	changeAfter  = 900 * time.Millisecond // its end
	outagesEvery = 11800 * time.Millisecond
	outages      = 8
)

// storeBack plays a store that is down for outageTime, and a configuration that is
// acknowledged right after it is back, some times in turn.
func storeBack(x context.Context, s *stage) error {
	desk, err := s.addMachine("desk", "north", "gauge-desk")
	if err != nil {
		return err
	}
	ledger, err := s.addMachine("ledger", "south", "lot-ledger")
	if err != nil {
		return err
	}
	if err := s.putVersion(0); err != nil {
		return err
	}
	if err := s.startAll(x); err != nil {
		return err
	}
	serves := func(m *machine, path string) bool {
		return await(10*time.Second, func() bool { return getPath(x, m, path, "warm") == http.StatusOK })
	}
	for _, m := range s.machines {
		if !serves(m, "/gauge/") || !serves(m, "/lots/") {
			return fmt.Errorf("the installation does not serve at %s", m.name)
		}
	}
	pause(x, stableTime)
	late := 0
	for n := 1; n <= outages; n++ {
		k, err := s.playOutage(x, n, desk, ledger)
		if err != nil {
			return err
		}
		late += k
	}
	s.log.printf("%d requests were handled as only an older version allows", late)
	if late > 0 {
		return errBroken
	}
	return nil
}

// putVersion writes the version after n outages: each adds a route, and moves another one
// to the other service.
func (s *stage) putVersion(n int) error {
	moved := []string{"gauge-desk", "lot-ledger"}[n%2]
	l := []route{
		{"/gauge/", "gauge-desk", kindIdempotent, 2},
		{"/lots/", "lot-ledger", kindIdempotent, 2},
		{"/moved/", moved, kindIdempotent, 2},
	}
	for i := 1; i <= n; i++ {
		l = append(l, route{"/added-" + strconv.Itoa(i) + "/", "lot-ledger", kindIdempotent, 2})
	}
	b, err := configuration(10+n, l...)
	if err != nil {
		return err
	}
	s.store.put("config", "main", b)
	s.log.printf("version r%d is acknowledged: /added-%d/ is added, /moved/ goes to %s", 10+n, n, moved)
	return nil
}

// playOutage plays the n-th outage with the change after it, and returns how many requests
// were handled as only an older version allows.
func (s *stage) playOutage(x context.Context, n int, machines ...*machine) (int, error) {
	began := time.Now()
	if s.trouble {
		s.log.printf("the store is down")
		s.store.setRefuses(true)
	}
	pause(x, outageTime)
	s.store.setRefuses(false)
	back := time.Now()
	s.log.printf("the store is up")
	pause(x, changeAfter)
	if err := s.putVersion(n); err != nil {
		return 0, err
	}
	// From then on the machines are in touch, and the bound of the version is over.
	from := time.Now().Add(configApplyTime)
	if t := back.Add(stableTime); t.After(from) {
		from = t
	}
	pause(x, time.Until(from.Add(boundMargin)))
	late := 0
	moved := []string{"gauge-desk", "lot-ledger"}[n%2]
	for i := 0; time.Now().Before(began.Add(outagesEvery)); i++ {
		for _, m := range machines {
			id := fmt.Sprintf("c-%d-%d-%s", n, i, m.name)
			added := getPath(x, m, "/added-"+strconv.Itoa(n)+"/", id+"-added")
			status := getPath(x, m, "/moved/", id+"-moved")
			at := s.servedBy(id + "-moved")
			s.log.printf("requests %s at %s: /added-%d/ %d; /moved/ %d, run by %q", id, m.name, n, added, status, at)
			if added == http.StatusNotFound {
				late++
			}
			if status == http.StatusOK && at != moved {
				late++
			}
		}
		pause(x, 100*time.Millisecond)
	}
	return late, x.Err()
}

// servedBy returns the service whose worker ran the request, empty for none.
func (s *stage) servedBy(id string) string {
	for _, m := range s.machines {
		for _, r := range m.worker.allRuns() {
			if r.id == id {
				return r.service
			}
		}
	}
	return ""
}
