package link

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// trustTime is how long the load that an instance reported counts. Requests
// take some hundred milliseconds: after that little of it is still there.
const trustTime = 500 * time.Millisecond

// holdTime is how long the time counts that a request takes at an instance. It
// loses its weight with its age: one that was slow, as after its start, has to be
// tried again to be known better. In a large fleet two daemons meet every few
// seconds only.
const holdTime = 10 * time.Second

const (
	// usualTime is how long the usual load counts. It loses its weight with its
	// age, so that an instance that was once full is tried again.
	usualTime = 30 * time.Second
	// usualWeight is the weight of the newest report in the usual load.
	usualWeight = 0.1
)

// Load is what an instance says of the load of its worker.
type Load struct {
	InFlight int           // at the worker and waiting for it
	Hold     time.Duration // mean time that a request takes there, 0 if unknown
	Work     time.Duration // the same of those of one kind, dearer by those that fail
}

// String returns the load as it rides on answers: the requests in flight and
// the microseconds that one takes, of all and of the kind that was answered.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %d", l.InFlight, l.Hold.Microseconds(), l.Work.Microseconds())
}

// ParseLoad reads a load; it tells whether there is one.
func ParseLoad(s string) (Load, bool) {
	a, rest, _ := strings.Cut(s, " ")
	n, err := strconv.Atoi(a)
	if err != nil || n < 0 {
		return Load{}, false
	}
	b, c, _ := strings.Cut(rest, " ")
	return Load{n, micros(b), micros(c)}, true
}

// toldMax bounds the times that an instance is believed to need.
const toldMax = time.Hour

// micros reads a time, 0 for one that is not told.
func micros(s string) time.Duration {
	us, err := strconv.ParseInt(s, 10, 64)
	if err != nil || us < 0 || us > toldMax.Microseconds() {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Peer is what this daemon knows of the load of one instance; it is shared by
// all views and safe for concurrent use.
type Peer struct {
	own      atomic.Int64 // sent by this daemon and not answered yet
	expected atomic.Int64 // reported by the last answer, and sent since
	reported Moment       // of that answer
	usual    atomic.Int64 // mean of what was reported, in thousandths of requests plus 1; 0 before the first
	hold     atomic.Int64 // nanoseconds that a request takes there
	heard    Moment       // of the last answer, or of the first request after none was open
	badUntil Moment       // until which it is avoided
	works    sync.Map     // of *work, by kind of request
}

// work is the mean time that requests of one kind take at an instance.
type work struct {
	mean atomic.Int64 // nanoseconds
	told Moment
}

const (
	// silentHolds is how many times as long as a request takes an instance may
	// let all of this daemon's requests wait before it counts as silent.
	silentHolds = 4
	// silentMin is the least of that: pauses of a busy process are shorter.
	silentMin = 150 * time.Millisecond
)

// Begin counts a request sent to the instance at now.
func (p *Peer) Begin(now time.Time) {
	if p.own.Add(1) == 1 {
		p.heard.Set(now)
	}
	p.expected.Add(1)
}

// Silent tells whether the instance has answered nothing for much longer than
// a request takes, although requests of this daemon are open there. It may be
// cut off, paused or without power, of which others hear only seconds later.
func (p *Peer) Silent(now time.Time) bool { return p.silent(at(now)) }

func (p *Peer) silent(now instant) bool {
	if p.own.Load() == 0 {
		return false
	}
	limit := max(silentMin, silentHolds*time.Duration(p.hold.Load()))
	return p.heard.age(now) > limit
}

// End counts its answer at now to a request of the kind. The load is what the
// answer says, or empty when there was no answer.
func (p *Peer) End(load, kind string, now time.Time) {
	p.own.Add(-1)
	if load != "" {
		p.heard.Set(now)
	}
	l, ok := ParseLoad(load)
	if !ok {
		p.expected.Add(-1)
		return
	}
	p.Report(l, kind, now)
}

// Report takes in what the instance says of its load at now, with the time that
// requests of the kind take.
func (p *Peer) Report(l Load, kind string, now time.Time) {
	p.expected.Store(int64(l.InFlight))
	n := usualUnit*int64(l.InFlight) + 1
	if u := p.usual.Load(); u > 0 {
		n = u + int64(usualWeight*float64(n-u))
	}
	p.usual.Store(n)
	p.reported.Set(now)
	if l.Hold > 0 {
		p.hold.Store(int64(l.Hold))
	}
	if l.Work > 0 {
		v, ok := p.works.Load(kind)
		if !ok {
			v, _ = p.works.LoadOrStore(kind, &work{})
		}
		v.(*work).mean.Store(int64(l.Work))
		v.(*work).told.Set(now)
	}
}

// Load returns the estimate of requests in flight at the instance. What it
// reported loses its weight with its age, so that an instance that was once
// full is tried again.
func (p *Peer) Load(now time.Time) int64 { return p.load(at(now)) }

func (p *Peer) load(now instant) int64 {
	own := p.own.Load()
	age := p.reported.age(now)
	if age >= trustTime {
		return own
	}
	more := max(0, p.expected.Load()-own)
	return own + int64(float64(more)*(1-float64(age)/float64(trustTime))+0.5)
}

// usualUnit is how many parts of a request the usual load counts.
const usualUnit = 1000

// estimate returns the requests that are probably in flight at the instance.
// The last report loses its weight within trustTime to the usual load. Without
// that, every instance that was not heard of lately would look empty, and in a
// large fleet all daemons would choose the fastest ones.
func (p *Peer) estimate(now instant) float64 {
	own := float64(p.own.Load())
	age := p.reported.age(now)
	if age >= usualTime {
		return own
	}
	n := float64(p.usual.Load()) / usualUnit * (1 - float64(age)/float64(usualTime))
	if age < trustTime {
		w := 1 - float64(age)/float64(trustTime)
		n = w*float64(p.expected.Load()) + (1-w)*n
	}
	return max(own, n)
}

// Work returns the mean time that a request of the kind takes at the instance
// and how much that still counts at now, from 1 for what was just heard down to 0.
func (p *Peer) Work(kind string, now time.Time) (mean time.Duration, weight float64) {
	return p.work(kind, at(now))
}

func (p *Peer) work(kind string, now instant) (mean time.Duration, weight float64) {
	v, ok := p.works.Load(kind)
	if !ok {
		return 0, 0
	}
	k := v.(*work)
	return weighed(time.Duration(k.mean.Load()), k.told.age(now))
}

// timeThere is work for requests of all kinds, among which one waits.
func (p *Peer) timeThere(now instant) (mean time.Duration, weight float64) {
	return weighed(time.Duration(p.hold.Load()), p.reported.age(now))
}

// weighed returns a time that was told at that age, and its weight.
func weighed(t, age time.Duration) (time.Duration, float64) {
	if age >= holdTime || t == 0 {
		return 0, 0
	}
	return t, 1 - float64(max(0, age))/float64(holdTime)
}

// Avoid keeps requests away until the time t unless there is no other
// instance.
func (p *Peer) Avoid(t time.Time) { p.badUntil.Set(t) }

// Avoided tells whether the instance is to be avoided at now.
func (p *Peer) Avoided(now time.Time) bool { return p.avoided(at(now)) }

func (p *Peer) avoided(now instant) bool { return p.badUntil.age(now) < 0 }
