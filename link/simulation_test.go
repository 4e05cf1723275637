package link_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"figwheel/link"
)

// fleet describes a service whose instances are called by many daemons. It is
// simulated in virtual time.
type fleet struct {
	daemons, instances, sites, slots int
	requestsPerSecond                float64   // of all daemons together
	workSeconds                      float64   // mean service time at an instance of speed 1
	speeds                           []float64 // of the instances, repeated in turn
	goalSeconds                      float64
}

type simRequest struct {
	began       time.Time
	daemon      int
	workSeconds float64
	peer        *link.Peer
}

type simEvent struct {
	at       time.Time
	instance int // instance that finishes the request; -1 for an arrival
	request  simRequest
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

type simInstance struct {
	speed           float64
	busy            int
	queue           []simRequest
	serviceSeconds  float64 // ewma of the service time
	busySlotSeconds float64
	received        int
}

// fleetResult is the outcome of a simulation as the callers see it.
type fleetResult struct {
	withinGoal   float64 // share of requests
	p99          time.Duration
	busiestRatio float64 // requests of the busiest instance, divided by the mean of all
	farShare     float64 // share of requests that went to another site
	requests     int
}

func (r fleetResult) String() string {
	return fmt.Sprintf("%.4f within goal, p99 %s, busiest instance %.2f times the mean, %.3f to other sites, %d requests", r.withinGoal, r.p99.Round(time.Millisecond), r.busiestRatio, r.farShare, r.requests)
}

// simulate runs the fleet for the virtual time t and returns the outcome. Its
// withinGoal, p99 and requests cover the requests that began after the first third
// of t, the other fields cover all.
func (f fleet) simulate(t time.Duration, seed uint64) fleetResult {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	inst := make([]*simInstance, f.instances)
	for i := range inst {
		inst[i] = &simInstance{speed: f.speeds[i%len(f.speeds)]}
	}
	cands := make([]link.Candidates, f.daemons)
	for d := range cands {
		var l []link.Candidate
		for i := range inst {
			l = append(l, link.Candidate{Name: fmt.Sprint(i), Slots: int64(f.slots), SameSite: i*f.sites/f.instances == d*f.sites/f.daemons, Peer: &link.Peer{}})
		}
		cands[d] = link.NewCandidates(l)
	}
	var q simEvents
	var took []float64
	far, total := 0, 0
	next := func(at time.Time) time.Time {
		return at.Add(time.Duration(r.ExpFloat64() / f.requestsPerSecond * float64(time.Second)))
	}
	begin := func(i int, at time.Time, s simRequest) {
		k := inst[i]
		k.busy++
		w := s.workSeconds / k.speed
		k.busySlotSeconds += w
		heap.Push(&q, simEvent{at: at.Add(time.Duration(w * float64(time.Second))), instance: i, request: s})
	}
	heap.Push(&q, simEvent{at: next(start), instance: -1})
	for q.Len() > 0 {
		e := heap.Pop(&q).(simEvent)
		now := e.at
		if e.instance < 0 {
			if now.Sub(start) > t {
				continue
			}
			heap.Push(&q, simEvent{at: next(now), instance: -1})
			d := r.IntN(f.daemons)
			c := cands[d].Choose(now, "k", r, nil, time.Duration(f.goalSeconds/4*float64(time.Second)))
			total++
			if !c.SameSite {
				far++
			}
			c.Peer.Begin(now)
			var i int
			_, _ = fmt.Sscan(c.Name, &i)
			inst[i].received++
			// Service times are log-normal, about as variable as those of the
			// users' work.
			w := f.workSeconds * math.Exp(0.5*r.NormFloat64()-0.125)
			s := simRequest{began: now, daemon: d, workSeconds: w, peer: c.Peer}
			if inst[i].busy < f.slots {
				begin(i, now, s)
			} else {
				inst[i].queue = append(inst[i].queue, s)
			}
			continue
		}
		k := inst[e.instance]
		k.busy--
		w := e.request.workSeconds / k.speed
		if k.serviceSeconds == 0 {
			k.serviceSeconds = w
		}
		k.serviceSeconds += 0.05 * (w - k.serviceSeconds)
		if len(k.queue) > 0 {
			n := k.queue[0]
			k.queue = k.queue[1:]
			begin(e.instance, now, n)
		}
		l := link.Load{InFlight: k.busy + len(k.queue), Hold: time.Duration(k.serviceSeconds * float64(time.Second)), Work: time.Duration(k.serviceSeconds * float64(time.Second))}
		e.request.peer.End(l.String(), "k", now)
		if e.request.began.Sub(start) > t/3 { // by then the estimates have settled
			took = append(took, now.Sub(e.request.began).Seconds())
		}
	}
	slices.Sort(took)
	in, _ := slices.BinarySearch(took, f.goalSeconds)
	res := fleetResult{withinGoal: float64(in) / float64(len(took)), p99: time.Duration(took[len(took)*99/100] * float64(time.Second)), farShare: float64(far) / float64(total), requests: len(took)}
	for _, k := range inst {
		res.busiestRatio = max(res.busiestRatio, float64(k.received)*float64(f.instances)/float64(total))
	}
	return res
}

// TestPlacesByOldNews simulates services whose instances differ in speed and are
// called by so many daemons that each gets a load report of any one instance only
// every few seconds. It guards against choices by stale reports that overload the
// fastest instances although the service has slots for all requests.
func TestPlacesByOldNews(t *testing.T) {
	const withinGoalMin = 0.95
	uneven := []float64{0.6, 1, 1.4}
	slow := []float64{0.6, 1, 1.4, 0.2, 1, 1} // one instance of six is too slow for the goal
	cases := []struct {
		name string
		load float64 // share of the capacity of all slots
		f    fleet
	}{
		{"4 instances", 0.8, fleet{daemons: 12, instances: 4, sites: 4, workSeconds: 0.16, speeds: uneven, goalSeconds: 0.5}},
		{"20 instances", 0.6, fleet{daemons: 77, instances: 20, sites: 4, workSeconds: 0.2, speeds: uneven, goalSeconds: 0.8}},
		{"20 instances, nearly full", 0.8, fleet{daemons: 77, instances: 20, sites: 4, workSeconds: 0.2, speeds: uneven, goalSeconds: 0.8}},
		{"20 instances, short requests", 0.8, fleet{daemons: 77, instances: 20, sites: 4, workSeconds: 0.04, speeds: uneven, goalSeconds: 0.15}},
		{"20 instances, some slow", 0.6, fleet{daemons: 77, instances: 20, sites: 4, workSeconds: 0.2, speeds: slow, goalSeconds: 0.8}},
		{"115 instances", 0.5, fleet{daemons: 295, instances: 115, sites: 6, workSeconds: 0.16, speeds: uneven, goalSeconds: 0.5}},
		{"115 instances, nearly full", 0.8, fleet{daemons: 295, instances: 115, sites: 6, workSeconds: 0.16, speeds: uneven, goalSeconds: 0.5}},
		{"115 instances, some slow", 0.6, fleet{daemons: 295, instances: 115, sites: 6, workSeconds: 0.16, speeds: slow, goalSeconds: 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			speed := 0.0
			for i := range c.f.instances {
				speed += c.f.speeds[i%len(c.f.speeds)]
			}
			c.f.slots = 6
			c.f.requestsPerSecond = c.load * speed * float64(c.f.slots) / c.f.workSeconds
			r := c.f.simulate(20*time.Second, 7)
			t.Log(r)
			if r.withinGoal < withinGoalMin {
				t.Errorf("%s; want at least %.2f within goal", r, withinGoalMin)
			}
		})
	}
}
