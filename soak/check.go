package soak

import (
	"fmt"
	"sync"
	"time"

	"figwheel/platform/platformtest"
)

const (
	// applyTimeMax is the time within which a daemon puts an accepted
	// configuration into force in a fault-free run.
	applyTimeMax = 2 * time.Second
	// faultFreeTime is the time without faults after which the bounds on
	// daemons apply again.
	faultFreeTime = 3 * time.Second
	// violationsKeptMax bounds the violations kept for each guarantee.
	violationsKeptMax = 5
)

// Guarantee is a guarantee that the soak checks.
type Guarantee string

// The guarantees.
const (
	AtMostOnce       Guarantee = "a non-idempotent request runs at most once"
	NotRunHolds      Guarantee = "a request reported as not run has not run and will not run"
	AnswerIntact     Guarantee = "an answer is complete and belongs to its request"
	NoOlderVersion   Guarantee = "no daemon returns to an older version"
	InForce          Guarantee = "an accepted version is in force within two seconds"
	PlannedWork      Guarantee = "planned work interrupts no request that a worker has started"
	NoUnexpectedExit Guarantee = "no daemon process exits on its own"
	RateLimitHolds   Guarantee = "a worker gets no more requests than the rate limit that it states allows"
	LeavingHolds     Guarantee = "a worker that states that it is leaving gets no requests after two seconds"
	QuotaHolds       Guarantee = "no more requests of a client account run than its quota allows, over all daemons"
	AccountIsRight   Guarantee = "a worker receives the name of the account that sent the request, and no key"
	KeyIsGone        Guarantee = "a key that was taken away runs nothing later than 2.5 seconds after it"
	KeyIsNotLogged   Guarantee = "no log of a daemon holds a key"
	KeyIsKnown       Guarantee = "a key that the version in force holds is not rejected as unknown"
	Recovery         Guarantee = "all requests are served again after the faults have ended"
)

// Checker records requests, answers, faults and accepted versions and checks
// the guarantees.
type Checker struct {
	runs *platformtest.Runs

	mu             sync.Mutex
	violations     map[Guarantee][]string
	counts         map[Guarantee]int
	nonIdempotent  []string // ids of requests that may run only once
	reportedNotRun []string // ids of requests that were answered as not run
	lastFaultEnd   time.Time
	activeFaults   int // number of faults that have not ended
	accepted       []acceptance
	sent           map[string]request // by id
	peaks          map[string]int     // by account with a quota, the most requests that ran in one quotaWindow
	results        map[string]int     // number of answers by status; those without one are "cut" if interrupted, else "no connection"
}

// acceptance is an accepted version and the time of its acceptance.
type acceptance struct {
	version uint64
	at      time.Time
}

func newChecker(r *platformtest.Runs) *Checker {
	return &Checker{runs: r, violations: make(map[Guarantee][]string), counts: make(map[Guarantee]int), sent: make(map[string]request), peaks: make(map[string]int), results: make(map[string]int)}
}

// recordViolation counts a violation of g and keeps its description unless
// violationsKeptMax of g are kept already.
func (c *Checker) recordViolation(g Guarantee, format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[g]++
	if len(c.violations[g]) < violationsKeptMax {
		c.violations[g] = append(c.violations[g], fmt.Sprintf(format, a...))
	}
}

// beginFault notes the start of a fault. Planned work is not a fault.
func (c *Checker) beginFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
}

// endFault notes that a fault ended at now.
func (c *Checker) endFault(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.lastFaultEnd = now
}

// isFaultFree reports whether no fault has been active for faultFreeTime.
func (c *Checker) isFaultFree(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeFaults == 0 && now.Sub(c.lastFaultEnd) >= faultFreeTime
}

// recordAccepted notes that the version was accepted at now.
func (c *Checker) recordAccepted(version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, acceptance{version, now})
}

// versionDue returns the newest version that must be in force at now, 0 if
// there is none.
func (c *Checker) versionDue(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var v uint64
	for _, a := range c.accepted {
		if now.Sub(a.at) > applyTimeMax {
			v = a.version
		}
	}
	return v
}

// request is a request that a caller sent.
type request struct {
	id            string
	nonIdempotent bool
	form          form // if it is not idempotent
	sentAt        time.Time
	daemon        string
	starts        int    // number of starts of the daemon when the request was sent
	versionSeen   uint64 // newest version that the daemon had been seen to serve before, since its last start
	versionDue    uint64 // version that must be in force, 0 if the run was not fault-free
	account       string // name of the account that holds the key
	key           string
	keyMustBeGone bool // the key must not open anything
}

// answer is the answer to a request. The status is 0 if no complete answer was
// received.
type answer struct {
	status      int
	version     uint64
	intact      bool
	interrupted bool // the connection ended after the request was written
}

// checkAnswer records the answer a to the request s and checks the guarantees
// that one answer can violate. Starts is the number of starts of
// the daemon at now.
func (c *Checker) checkAnswer(s request, a answer, starts int, now time.Time) {
	c.recordAnswer(s, a)
	if a.status == 200 && !a.intact {
		c.recordViolation(AnswerIntact, "%s at %s", s.id, s.daemon)
	}
	if a.version > 0 && starts == s.starts && a.version < s.versionSeen {
		c.recordViolation(NoOlderVersion, "%s served %d after %d", s.daemon, a.version, s.versionSeen)
	}
	if a.version > 0 && a.version < s.versionDue {
		c.recordViolation(InForce, "%s served %d to %s, %d was due", s.daemon, a.version, s.id, s.versionDue)
	}
	if a.interrupted && c.isFaultFree(s.sentAt) && c.isFaultFree(now) && c.runs.Count(s.id) > 0 {
		c.recordViolation(PlannedWork, "%s at %s", s.id, s.daemon)
	}
}

// recordSent notes a request before it is sent.
func (c *Checker) recordSent(s request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[s.id] = s
}

// recordAnswer counts the answer and notes the request for checkRuns.
func (c *Checker) recordAnswer(s request, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.status > 0:
		c.results[fmt.Sprint(a.status)]++
	case a.interrupted:
		c.results["cut"]++
	default:
		c.results["no connection"]++
	}
	if s.nonIdempotent {
		c.nonIdempotent = append(c.nonIdempotent, s.id)
	}
	switch a.status {
	case 408, 421, 429, 503: // statuses that report the request as not run
		c.reportedNotRun = append(c.reportedNotRun, s.id)
	}
}

// checkNotices checks whether the daemons followed what the worker of n stated.
func (c *Checker) checkNotices(n *node) {
	limit, leaving := n.worker.Violations()
	if limit != "" {
		c.recordViolation(RateLimitHolds, "%s: %s", n.name, limit)
	}
	if leaving != "" {
		c.recordViolation(LeavingHolds, "%s: %s", n.name, leaving)
	}
}

// checkRuns checks, after the last request has ended, how often workers ran
// each request.
func (c *Checker) checkRuns() {
	for _, id := range c.nonIdempotent {
		if n := c.runs.Count(id); n > 1 {
			c.recordViolation(AtMostOnce, "%s ran %d times", id, n)
		}
	}
	for _, id := range c.reportedNotRun {
		if c.runs.Count(id) > 0 {
			c.recordViolation(NotRunHolds, "%s ran", id)
		}
	}
}
