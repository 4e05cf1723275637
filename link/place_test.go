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

// fleet is a service whose instances are called by many daemons, played in
// simulated time.
type fleet struct {
	daemons, instances, sites, slots int
	rate                             float64   // requests a second of all daemons
	work                             float64   // mean seconds of one at an instance of speed 1
	speeds                           []float64 // in turn
	goal                             float64
}

type simRequest struct {
	began  time.Time
	daemon int
	work   float64
	peer   *link.Peer
}

type simEvent struct {
	at       time.Time
	instance int // that finishes a request; -1 for an arrival
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
	speed   float64
	busy    int
	waiting []simRequest
	hold    float64 // mean seconds of a request
	used    float64 // slot seconds
	got     int
}

// fleetResult is what the callers of a fleet got.
type fleetResult struct {
	inGoal   float64 // share
	p99      time.Duration
	busiest  float64 // requests of the busiest instance over the mean
	far      float64 // share of requests that went to another site
	requests int
}

func (r fleetResult) String() string {
	return fmt.Sprintf("in goal %.4f, p99 %s, busiest %.2f, far %.3f of %d", r.inGoal, r.p99.Round(time.Millisecond), r.busiest, r.far, r.requests)
}

// play runs the fleet for the time t.
func (f fleet) play(t time.Duration, seed uint64) fleetResult {
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
		return at.Add(time.Duration(r.ExpFloat64() / f.rate * float64(time.Second)))
	}
	begin := func(i int, at time.Time, q2 simRequest) {
		k := inst[i]
		k.busy++
		w := q2.work / k.speed
		k.used += w
		heap.Push(&q, simEvent{at: at.Add(time.Duration(w * float64(time.Second))), instance: i, request: q2})
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
			c := cands[d].Choose(now, "k", r, nil, time.Duration(f.goal/4*float64(time.Second)))
			total++
			if !c.SameSite {
				far++
			}
			c.Peer.Begin(now)
			var i int
			_, _ = fmt.Sscan(c.Name, &i)
			inst[i].got++
			// Spread about the mean as the users' work is.
			w := f.work * math.Exp(0.5*r.NormFloat64()-0.125)
			s := simRequest{began: now, daemon: d, work: w, peer: c.Peer}
			if inst[i].busy < f.slots {
				begin(i, now, s)
			} else {
				inst[i].waiting = append(inst[i].waiting, s)
			}
			continue
		}
		k := inst[e.instance]
		k.busy--
		w := e.request.work / k.speed
		if k.hold == 0 {
			k.hold = w
		}
		k.hold += 0.05 * (w - k.hold)
		if len(k.waiting) > 0 {
			n := k.waiting[0]
			k.waiting = k.waiting[1:]
			begin(e.instance, now, n)
		}
		l := link.Load{InFlight: k.busy + len(k.waiting), Hold: time.Duration(k.hold * float64(time.Second)), Work: time.Duration(k.hold * float64(time.Second))}
		e.request.peer.End(l.String(), "k", now)
		if e.request.began.Sub(start) > t/3 { // what is known has settled
			took = append(took, now.Sub(e.request.began).Seconds())
		}
	}
	slices.Sort(took)
	in, _ := slices.BinarySearch(took, f.goal)
	res := fleetResult{inGoal: float64(in) / float64(len(took)), p99: time.Duration(took[len(took)*99/100] * float64(time.Second)), far: float64(far) / float64(total), requests: len(took)}
	for _, k := range inst {
		res.busiest = max(res.busiest, float64(k.got)*float64(f.instances)/float64(total))
	}
	return res
}

// TestPlacesByOldNews plays services whose instances differ in speed, called by
// so many daemons that each hears of any one instance every few seconds. There
// is room for all requests, and all but a few reach their goals.
func TestPlacesByOldNews(t *testing.T) {
	const inGoalMin = 0.95
	uneven := []float64{0.6, 1, 1.4}
	slow := []float64{0.6, 1, 1.4, 0.2, 1, 1} // one of six cannot reach the goal
	cases := []struct {
		name string
		load float64 // share of what all slots can do
		f    fleet
	}{
		{"a few instances", 0.8, fleet{daemons: 12, instances: 4, sites: 4, work: 0.16, speeds: uneven, goal: 0.5}},
		{"many", 0.6, fleet{daemons: 77, instances: 20, sites: 4, work: 0.2, speeds: uneven, goal: 0.8}},
		{"many, nearly full", 0.8, fleet{daemons: 77, instances: 20, sites: 4, work: 0.2, speeds: uneven, goal: 0.8}},
		{"many, short work", 0.8, fleet{daemons: 77, instances: 20, sites: 4, work: 0.04, speeds: uneven, goal: 0.15}},
		{"many, some slow", 0.6, fleet{daemons: 77, instances: 20, sites: 4, work: 0.2, speeds: slow, goal: 0.8}},
		{"a hundred", 0.5, fleet{daemons: 295, instances: 115, sites: 6, work: 0.16, speeds: uneven, goal: 0.5}},
		{"a hundred, nearly full", 0.8, fleet{daemons: 295, instances: 115, sites: 6, work: 0.16, speeds: uneven, goal: 0.5}},
		{"a hundred, some slow", 0.6, fleet{daemons: 295, instances: 115, sites: 6, work: 0.16, speeds: slow, goal: 0.5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			speed := 0.0
			for i := range c.f.instances {
				speed += c.f.speeds[i%len(c.f.speeds)]
			}
			c.f.slots = 6
			c.f.rate = c.load * speed * float64(c.f.slots) / c.f.work
			r := c.f.play(20*time.Second, 7)
			t.Log(r)
			if r.inGoal < inGoalMin {
				t.Errorf("%s; want %.2f in goal", r, inGoalMin)
			}
		})
	}
}
