package upstream

import (
	"math"
	"time"
)

const (
	// reserveShareMax is the largest share of the slots that is kept free for urgent
	// requests.
	reserveShareMax = 1.0 / 6
	// urgentTimeShare is the longest service time of an urgent request, as a share of
	// that of the request that gives way to it.
	urgentTimeShare = 0.25
	// patientGoalFactor is the shortest goal of a request that gives way, as a multiple
	// of its service time: it loses little by a longer wait.
	patientGoalFactor = 4
	// reserveRounding is by how much the reserve is rounded down: a few urgent requests
	// a second are no reason to keep a slot free.
	reserveRounding = 0.3
	// admissionTime is the time over which admissions are averaged.
	admissionTime = time.Second
	// overtakenShareMin is the least share of the slots that counts as left by more
	// important requests, so that the expected wait stays finite.
	overtakenShareMin = 0.05
)

// admissions is a moving average of the admissions of one kind of request.
type admissions struct {
	rank   int
	goal   time.Duration // of the last one, from its arrival; 0 for none
	count  float64       // those within admissionTime, weighted by age
	lastAt time.Time
}

// slots returns the mean number of slots in use by requests that are admitted like a
// and hold their slots for the time service.
func (a admissions) slots(service time.Duration, now time.Time) float64 {
	n := a.count * math.Exp(-float64(max(0, now.Sub(a.lastAt)))/float64(admissionTime))
	return n * float64(service) / float64(admissionTime)
}

// countAdmission adds the request q to the admissions of its kind.
func (g *Gate) countAdmission(q AdmissionRequest, now time.Time) {
	a, ok := g.admissions[q.Kind]
	if !ok && len(g.admissions) >= kindsMax {
		return
	}
	if g.admissions == nil {
		g.admissions = make(map[string]admissions)
	}
	n := admissions{rank: q.Rank, count: a.slots(admissionTime, now) + 1, lastAt: now}
	if !q.Goal.IsZero() {
		n.goal = q.Goal.Sub(q.Arrived)
	}
	g.admissions[q.Kind] = n
}

// shareLeft returns the share of the slots that requests more important than the rank
// leave. A request that waits is overtaken by those that arrive meanwhile.
func (g *Gate) shareLeft(rank int, now time.Time) float64 {
	var used float64
	for k, a := range g.admissions {
		if a.rank < rank {
			used += a.slots(g.kindServiceTimes[k], now)
		}
	}
	return max(overtakenShareMin, 1-used/float64(max(1, g.slots)))
}

// reserve returns the number of slots that must stay free when q gets one, for more
// important requests that take much less time and would miss their goals if they waited
// for one like q. It answers a load of long requests with distant goals that keeps all
// slots in use, and of short calls, each of which holds a slot of another worker while it
// waits. The reserve is the variation of the number of slots that the urgent requests use,
// the square root of its mean: it follows their admissions and ends with them.
func (g *Gate) reserve(q AdmissionRequest, now time.Time) int {
	s := g.kindServiceTimes[q.Kind]
	if s == 0 || q.Goal.IsZero() || q.Goal.Sub(q.Arrived) < patientGoalFactor*s {
		return 0
	}
	var slots float64
	for k, a := range g.admissions {
		t := g.kindServiceTimes[k]
		if a.rank >= q.Rank || t == 0 || float64(t) > urgentTimeShare*float64(s) {
			continue
		}
		if a.goal > 0 && goalShare*float64(a.goal) < float64(t+s) {
			slots += a.slots(t, now)
		}
	}
	return int(min(math.Ceil(math.Sqrt(slots)-reserveRounding), reserveShareMax*float64(g.slots)))
}

// slotsFor returns the number of slots that may be in use when q gets one.
func (g *Gate) slotsFor(q AdmissionRequest, now time.Time) int { return g.slots - g.reserve(q, now) }

// isFirst reports whether no waiting request comes before a new one of the rank.
func (g *Gate) isFirst(rank int) bool {
	for _, w := range g.waiting {
		if w.Rank <= rank {
			return false
		}
	}
	return true
}
