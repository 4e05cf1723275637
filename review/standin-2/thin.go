package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	thinLinkMbps    = 5    // link_mbps of most machines of tho-hooprig-grown
	routesBefore    = 1600 // idle_routes of that site
	routesMore      = 1640 // the largest count of big_config on the pages
	growths         = 2
	afterGrowthTime = 20 * time.Second // until the requests that are checked
	recoverTime     = 15 * time.Second // recover_s
)

// thinLink plays a configuration that grows by many routes on machines with thin links.
func thinLink(x context.Context, s *stage) error {
	s.linkMbps = thinLinkMbps
	for _, v := range []struct{ name, zone, service string }{
		{"desk", "north", "gauge-desk"},
		{"office", "south", "cert-office"},
		{"ledger", "east", "lot-ledger"},
	} {
		a, err := s.serveStore(x, &link{bytesPerSecond: thinLinkMbps * 1e6 / 8})
		if err != nil {
			return err
		}
		s.platform = a
		if _, err := s.addMachine(v.name, v.zone, v.service); err != nil {
			return err
		}
	}
	if err := s.putRoutes(1, routesBefore); err != nil {
		return err
	}
	if err := s.startAll(x); err != nil {
		return err
	}
	for _, m := range s.machines {
		if !await(10*time.Second, func() bool { return getPath(x, m, "/version-1/", "warm") == http.StatusOK }) {
			return fmt.Errorf("the installation does not serve at %s", m.name)
		}
	}
	pause(x, stableTime)
	missing := 0
	for n := 1; n <= growths; n++ {
		routes := routesBefore
		if s.trouble {
			routes += n * routesMore
		}
		if err := s.putRoutes(1+n, routes); err != nil {
			return err
		}
		pause(x, afterGrowthTime)
		for i := range 10 {
			for _, m := range s.machines {
				id := fmt.Sprintf("c-%d-%d-%s", n, i, m.name)
				status := getPath(x, m, "/version-"+strconv.Itoa(1+n)+"/", id)
				s.log.printf("request %s at %s: /version-%d/ %d", id, m.name, 1+n, status)
				if status == http.StatusNotFound {
					missing++
				}
			}
			pause(x, 200*time.Millisecond)
		}
	}
	s.log.printf("%d requests were refused with 404 though the route had been there for %s", missing, afterGrowthTime)
	if err := s.showRestart(x); err != nil {
		return err
	}
	if missing > 0 {
		return errBroken
	}
	return x.Err()
}

// putRoutes writes a version with the given number of routes that get no requests, and one
// that is new in it.
func (s *stage) putRoutes(version, idle int) error {
	services := []string{"gauge-desk", "cert-office", "lot-ledger"}
	l := []route{{"/version-" + strconv.Itoa(version) + "/", "lot-ledger", kindIdempotent, 2}}
	for i, v := range services {
		l = append(l, route{"/service-" + strconv.Itoa(i) + "/", v, kindIdempotent, 2})
	}
	for i := range idle {
		l = append(l, route{fmt.Sprintf("/idle%04d/", i), services[i%len(services)], kindIdempotent, 2})
	}
	b, err := configuration(version, l...)
	if err != nil {
		return err
	}
	s.store.put("config", "main", b)
	s.log.printf("version r%d is acknowledged: %d routes, %d bytes", version, len(l), len(b))
	return nil
}

// showRestart kills all daemons, starts them again and records what they serve later than
// recover_s. It is for the record: the verdict of the case does not depend on it.
func (s *stage) showRestart(x context.Context) error {
	s.log.printf("for the record: all daemons are killed and started again")
	for _, m := range s.machines {
		m.kill()
	}
	for _, m := range s.machines {
		if err := m.start(s.root); err != nil {
			return err
		}
	}
	pause(x, recoverTime+time.Second)
	for _, m := range s.machines {
		s.log.printf("%s after the restart %s is ready: %t; a request for a route of the first version: %d", recoverTime, m.name, m.isReady(), getPath(x, m, "/service-0/", "restart-"+m.name))
	}
	return nil
}
