package main

import (
	"errors"
	"time"
)

// Bounds of the users' pages.
const (
	stableTime   = 3 * time.Second  // stable_s
	drainTime    = 2 * time.Second  // drain_s
	graceTime    = 6 * time.Second  // grace_s
	excusedTime  = 3 * time.Second  // of LOST: after the SIGTERM
	recoverTime  = 15 * time.Second // recover_s
	restartDelay = 500 * time.Millisecond
)

// errNotWarm says that the deployment does not serve before the disruption.
var errNotWarm = errors.New("the deployment does not serve")

// awaitServed sends requests until one is served by each client.
func awaitServed(path string, cs ...*client) error {
	for _, c := range cs {
		ok := false
		for end := time.Now().Add(10 * time.Second); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			ok = c.do("GET", path, "", 2*time.Second).status == 200
		}
		if !ok {
			return errNotWarm
		}
	}
	return nil
}
