package link

import (
	"fmt"
	"strconv"
	"strings"
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

// Load is what an instance says of the load of its worker.
type Load struct {
	InFlight int           // at the worker and waiting for it
	Hold     time.Duration // mean time that a request takes there, 0 if unknown
}

// String returns the load as it rides on answers: the requests in flight and
// the microseconds that one takes.
func (l Load) String() string { return fmt.Sprintf("%d %d", l.InFlight, l.Hold.Microseconds()) }

// ParseLoad reads a load; it tells whether there is one.
func ParseLoad(s string) (Load, bool) {
	a, b, _ := strings.Cut(s, " ")
	n, err := strconv.Atoi(a)
	if err != nil || n < 0 {
		return Load{}, false
	}
	us, err := strconv.ParseInt(b, 10, 64)
	if err != nil || us < 0 {
		us = 0
	}
	return Load{n, time.Duration(us) * time.Microsecond}, true
}

// Peer is what this daemon knows of the load of one instance; it is shared by
// all views and safe for concurrent use.
type Peer struct {
	own      atomic.Int64 // sent by this daemon and not answered yet
	expected atomic.Int64 // reported by the last answer, and sent since
	reported Moment       // of that answer
	hold     atomic.Int64 // nanoseconds that a request takes there
	heard    Moment       // of the last answer, or of the first request after none was open
	badUntil Moment       // until which it is avoided
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

// End counts its answer at now. The load is what the answer says was in
// flight, or empty when there was no answer.
func (p *Peer) End(load string, now time.Time) {
	p.own.Add(-1)
	if load != "" {
		p.heard.Set(now)
	}
	l, ok := ParseLoad(load)
	if !ok {
		p.expected.Add(-1)
		return
	}
	p.Report(l, now)
}

// Report takes in what the instance says of its load at now.
func (p *Peer) Report(l Load, now time.Time) {
	p.expected.Store(int64(l.InFlight))
	p.reported.Set(now)
	if l.Hold > 0 {
		p.hold.Store(int64(l.Hold))
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

// Hold returns the mean time that a request takes at the instance and how much
// that still counts at now, from 1 for what was just heard down to 0.
func (p *Peer) Hold(now time.Time) (hold time.Duration, weight float64) { return p.timeThere(at(now)) }

func (p *Peer) timeThere(now instant) (hold time.Duration, weight float64) {
	age, h := p.reported.age(now), time.Duration(p.hold.Load())
	if age >= holdTime || h == 0 {
		return 0, 0
	}
	return h, 1 - float64(max(0, age))/float64(holdTime)
}

// Avoid keeps requests away until the time t unless there is no other
// instance.
func (p *Peer) Avoid(t time.Time) { p.badUntil.Set(t) }

// Avoided tells whether the instance is to be avoided at now.
func (p *Peer) Avoided(now time.Time) bool { return p.avoided(at(now)) }

func (p *Peer) avoided(now instant) bool { return p.badUntil.age(now) < 0 }
