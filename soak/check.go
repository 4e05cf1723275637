package soak

import (
	"fmt"
	"sync"
	"time"

	"figwheel/platform/platformtest"
)

const (
	// applyTime is within which an accepted configuration is in force at a daemon
	// that nothing is wrong with.
	applyTime = 2 * time.Second
	// calmTime is how long nothing has to be wrong for a bound to hold.
	calmTime = 3 * time.Second
	// shownMax bounds the violations that are kept of each promise.
	shownMax = 5
)

// Promise is one of the promises that are checked.
type Promise string

// The promises.
const (
	Once    Promise = "a request that may not repeat runs once at most"
	NotRun  Promise = "a request that was told it has not run has not, and never will"
	Whole   Promise = "an answer is whole and that of its own request"
	Back    Promise = "no daemon goes back to an older version"
	InForce Promise = "an accepted version is in force within two seconds"
	Planned Promise = "planned work cuts off no request that a worker has begun"
	Alive   Promise = "no daemon ends by itself"
	Recover Promise = "all is served again when all is well again"
)

// Checker keeps what callers and workers saw and what it means.
type Checker struct {
	runs *platformtest.Runs

	mu         sync.Mutex
	violations map[Promise][]string
	counts     map[Promise]int
	once       []string // ids of requests that may run once
	notRun     []string // ids of requests that were told so
	trouble    time.Time
	troubles   int // that are going on
	accepted   []acceptance
	results    map[string]int
}

type acceptance struct {
	version uint64
	at      time.Time
}

func newChecker(r *platformtest.Runs) *Checker {
	return &Checker{runs: r, violations: make(map[Promise][]string), counts: make(map[Promise]int), results: make(map[string]int)}
}

// violated notes that a promise was broken at now.
func (c *Checker) violated(p Promise, format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[p]++
	if len(c.violations[p]) < shownMax {
		c.violations[p] = append(c.violations[p], fmt.Sprintf(format, a...))
	}
}

// began and ended frame what is not planned work.
func (c *Checker) began() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles++
}

func (c *Checker) ended(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles--
	c.trouble = now
}

// calm tells whether nothing has been wrong for calmTime.
func (c *Checker) calm(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.troubles == 0 && now.Sub(c.trouble) >= calmTime
}

func (c *Checker) accept(version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, acceptance{version, now})
}

// due returns the version that has to be in force at now.
func (c *Checker) due(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var v uint64
	for _, a := range c.accepted {
		if now.Sub(a.at) > applyTime {
			v = a.version
		}
	}
	return v
}

// sent is a request of a caller.
type sent struct {
	id     string
	once   bool
	at     time.Time
	daemon string
	boot   int    // of the daemon when it was sent
	floor  uint64 // version that this boot was seen to serve before
	due    uint64 // version that has to be in force, 0 if something was wrong
}

// answer is what the caller got; status 0 is none.
type answer struct {
	status  int
	version uint64
	whole   bool
	cut     bool // the connection ended after the request was written
}

// take checks one answer at now; the boot is that of the daemon then.
func (c *Checker) take(s sent, a answer, boot int, now time.Time) {
	c.note(s, a)
	if a.status == 200 && !a.whole {
		c.violated(Whole, "%s at %s", s.id, s.daemon)
	}
	if a.version > 0 && boot == s.boot && a.version < s.floor {
		c.violated(Back, "%s served %d after %d", s.daemon, a.version, s.floor)
	}
	if a.version > 0 && a.version < s.due {
		c.violated(InForce, "%s served %d to %s, %d was due", s.daemon, a.version, s.id, s.due)
	}
	if a.cut && c.calm(s.at) && c.calm(now) && c.runs.Of(s.id) > 0 {
		c.violated(Planned, "%s at %s", s.id, s.daemon)
	}
}

func (c *Checker) note(s sent, a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.status > 0:
		c.results[fmt.Sprint(a.status)]++
	case a.cut:
		c.results["cut"]++
	default:
		c.results["no connection"]++
	}
	if s.once {
		c.once = append(c.once, s.id)
	}
	switch a.status {
	case 408, 421, 429, 503:
		c.notRun = append(c.notRun, s.id)
	}
}

// finish checks what holds to the end.
func (c *Checker) finish() {
	for _, id := range c.once {
		if n := c.runs.Of(id); n > 1 {
			c.violated(Once, "%s ran %d times", id, n)
		}
	}
	for _, id := range c.notRun {
		if c.runs.Of(id) > 0 {
			c.violated(NotRun, "%s ran", id)
		}
	}
}
