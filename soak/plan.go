package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds. Those below Hup are planned work.
const (
	Kill          Kind = "kill"           // SIGKILL, started again
	Herd          Kind = "herd"           // all at once
	Pause         Kind = "pause"          // SIGSTOP and SIGCONT
	StoreDown     Kind = "store-down"     // fails every call
	StoreRefuses  Kind = "store-refuses"  // 503 to every call
	StoreLoses    Kind = "store-loses"    // writes are done and not answered
	LinkSlow      Kind = "link-slow"      // between one daemon and the store
	LinkSilent    Kind = "link-silent"    //
	LinkSilentTo  Kind = "link-silent-to" // one way
	LinkSilentOut Kind = "link-silent-from"
	LinkReset     Kind = "link-reset"
	WorkerCrash   Kind = "worker-crash"
	Term          Kind = "term"
	Hup           Kind = "hup"
	Config        Kind = "config"
)

// kinds and how often each comes, compared with the others.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{Herd, 1},
	{Pause, 3},
	{StoreDown, 2},
	{StoreRefuses, 1},
	{StoreLoses, 1},
	{LinkSlow, 2},
	{LinkSilent, 2},
	{LinkSilentTo, 1},
	{LinkSilentOut, 1},
	{LinkReset, 2},
	{WorkerCrash, 3},
	{Term, 4},
	{Hup, 2},
	{Config, 6},
}

// Planned tells whether the kind is planned work, beside which nothing may be
// lost.
func (k Kind) Planned() bool { return k == Term || k == Hup || k == Config }

// Step is one fault of a plan.
type Step struct {
	At     time.Duration // after the start of traffic
	For    time.Duration
	Kind   Kind
	Target int // of the daemons
}

// String returns the step as it stands in the report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s  %-16s daemon %d, for %.2f s", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds())
}

const (
	stepGapMin, stepGapMax = 100 * time.Millisecond, 1200 * time.Millisecond
	stepForMin, stepForMax = 300 * time.Millisecond, 4 * time.Second
)

// Plan returns the steps of a seed: in series, overlapping, for that long.
func Plan(seed uint64, daemons int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	var l []Step
	for t := between(stepGapMin, stepGapMax); t < length; t += between(stepGapMin, stepGapMax) {
		s := Step{At: t, For: between(stepForMin, stepForMax), Target: r.IntN(daemons)}
		n := r.IntN(sum)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				s.Kind = k.kind
				break
			}
		}
		l = append(l, s)
	}
	return l
}
