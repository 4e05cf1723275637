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
	// arrivalTime is the time over which arrivals are averaged.
	arrivalTime = time.Second
)

// arrivals is a moving average of the arrivals of one kind of request.
type arrivals struct {
	rank   int
	goal   time.Duration // of the last one, 0 for none
	count  float64       // those within arrivalTime, weighted by age
	lastAt time.Time
}

// at returns the average number of arrivals within arrivalTime at now.
func (a arrivals) at(now time.Time) float64 {
	return a.count * math.Exp(-float64(max(0, now.Sub(a.lastAt)))/float64(arrivalTime))
}

// countArrival adds the request q to the arrivals of its kind.
func (g *Gate) countArrival(q AdmissionRequest, now time.Time) {
	a, ok := g.arrivals[q.Kind]
	if !ok && len(g.arrivals) >= kindsMax {
		return
	}
	if g.arrivals == nil {
		g.arrivals = make(map[string]arrivals)
	}
	n := arrivals{rank: q.Rank, count: a.at(now) + 1, lastAt: now}
	if !q.Goal.IsZero() {
		n.goal = q.Goal.Sub(now)
	}
	g.arrivals[q.Kind] = n
}

// reserve returns the number of slots that must stay free when q gets one, for more
// important requests that take much less time and would miss their goals if they waited
// for one like q. It answers a load of long requests with distant goals that keeps all
// slots in use, and of short calls, each of which holds a slot of another worker while it
// waits. The reserve is the variation of the number of slots that the urgent requests use,
// the square root of its mean: it follows their arrivals and ends with them.
func (g *Gate) reserve(q AdmissionRequest, now time.Time) int {
	s := g.kindServiceTimes[q.Kind]
	if s == 0 || q.Goal.IsZero() || q.Goal.Sub(q.Arrived) < patientGoalFactor*s {
		return 0
	}
	var slots float64
	for k, a := range g.arrivals {
		t := g.kindServiceTimes[k]
		if a.rank >= q.Rank || t == 0 || float64(t) > urgentTimeShare*float64(s) {
			continue
		}
		if a.goal > 0 && goalShare*float64(a.goal) < float64(t+s) {
			slots += a.at(now) * float64(t) / float64(arrivalTime)
		}
	}
	return int(min(math.Ceil(math.Sqrt(slots)-reserveRounding), reserveShareMax*float64(g.slots)))
}

// reserveRounding is by how much the reserve is rounded down: a few urgent requests
// a second are no reason to keep a slot free.
const reserveRounding = 0.3

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
