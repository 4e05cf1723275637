package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds. Term, Hup, Config and KeyChange are planned work, and WorkerLimit, WorkerLoses and
// Flood interrupt no caller's connection; the others are faults. A daemon whose process has ended is started again.
const (
	Kill           Kind = "kill"             // SIGKILL to one daemon
	Herd           Kind = "herd"             // SIGKILL to all daemons at once
	Pause          Kind = "pause"            // SIGSTOP to one daemon, then SIGCONT
	StoreDown      Kind = "store-down"       // the store fails every call
	StoreRefuses   Kind = "store-refuses"    // the store answers 503 to every call
	StoreLoses     Kind = "store-loses"      // writes to the store take effect and their answers are lost
	StoreCopy      Kind = "store-copy"       // the store is down and comes back from an older copy; operators then write again what it lost
	LinkSlow       Kind = "link-slow"        // delay between one daemon and the store
	LinkSilent     Kind = "link-silent"      // bytes between one daemon and the store are held back
	LinkSilentTo   Kind = "link-silent-to"   // only those towards the store
	LinkSilentFrom Kind = "link-silent-from" // only those from the store
	LinkReset      Kind = "link-reset"       // connections between one daemon and the store are reset
	WorkerCrash    Kind = "worker-crash"     // the worker beside one daemon crashes and is started again
	WorkerLimit    Kind = "worker-limit"     // the worker beside one daemon states a rate limit
	WorkerLoses    Kind = "worker-loses"     // the worker beside one daemon runs requests and loses the answers to some of them
	WorkerLeave    Kind = "worker-leave"     // that worker states that it is leaving, and is started again after a while
	Term           Kind = "term"             // SIGTERM to one daemon
	Hup            Kind = "hup"              // SIGHUP to one daemon
	Config         Kind = "config"           // operators write the next version of the configuration
	Flood          Kind = "flood"            // many more callers of the metered account at all daemons
	KeyChange      Kind = "key-change"       // operators write the next version, in which a new key replaces one
)

// kinds lists each kind with its relative frequency in a plan, but for StoreCopy, Flood,
// KeyChange and WorkerLoses, whose steps are drawn apart from the others, so that those of
// a seed stay what they were.
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
	{LinkSilentFrom, 1},
	{LinkReset, 2},
	{WorkerCrash, 3},
	{WorkerLimit, 2},
	{WorkerLeave, 2},
	{Term, 4},
	{Hup, 2},
	{Config, 6},
}

// IsPlanned reports whether the kind is planned work, a rate limit, load or lost answers of a
// worker, which must not interrupt any caller's connection.
func (k Kind) IsPlanned() bool {
	switch k {
	case Term, Hup, Config, KeyChange, WorkerLimit, WorkerLoses, Flood:
		return true
	}
	return false
}

// Step is one fault or one piece of planned work in a plan.
type Step struct {
	At     time.Duration // after the start of the traffic
	For    time.Duration // how long the fault lasts, ignored by kinds that act once
	Kind   Kind
	Target int // index of the daemon
}

// String returns the step as the report prints it.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s  %-16s daemon %d, for %.2f s", s.At.Seconds(), s.Kind, s.Target, s.For.Seconds())
}

const (
	stepGapMin, stepGapMax       = 100 * time.Millisecond, 1200 * time.Millisecond
	stepLengthMin, stepLengthMax = 300 * time.Millisecond, 4 * time.Second
	copyGapMin, copyGapMax       = 2 * time.Second, 20 * time.Second // between two steps of the kind StoreCopy
	accountGapMin, accountGapMax = 1 * time.Second, 5 * time.Second  // between two of the kinds Flood and KeyChange
	floodMin, floodMax           = 2 * time.Second, 5 * time.Second
	lossGapMin, lossGapMax       = 1 * time.Second, 5 * time.Second // between two of the kind WorkerLoses
)

// Plan returns the steps of a seed in the order in which they start, all of
// them before length has passed. Steps may overlap. Equal arguments give equal
// plans.
func Plan(seed uint64, daemons int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	sum := 0
	for _, k := range kinds {
		sum += k.weight
	}
	var l []Step
	for t := between(stepGapMin, stepGapMax); t < length; t += between(stepGapMin, stepGapMax) {
		s := Step{At: t, For: between(stepLengthMin, stepLengthMax), Target: r.IntN(daemons)}
		n := r.IntN(sum)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				s.Kind = k.kind
				break
			}
		}
		l = append(l, s)
	}
	r = rand.New(rand.NewPCG(seed, 2))
	for t := between(copyGapMin, copyGapMax); t < length; t += between(copyGapMin, copyGapMax) {
		l = append(l, Step{At: t, For: between(stepLengthMin, stepLengthMax), Kind: StoreCopy})
	}
	r = rand.New(rand.NewPCG(seed, 3))
	for t := between(accountGapMin, accountGapMax); t < length; t += between(accountGapMin, accountGapMax) {
		s := Step{At: t, For: between(floodMin, floodMax), Kind: Flood}
		if r.IntN(2) == 0 {
			s.Kind = KeyChange
		}
		l = append(l, s)
	}
	r = rand.New(rand.NewPCG(seed, 4))
	for t := between(lossGapMin, lossGapMax); t < length; t += between(lossGapMin, lossGapMax) {
		l = append(l, Step{At: t, For: between(stepLengthMin, stepLengthMax), Kind: WorkerLoses, Target: r.IntN(daemons)})
	}
	slices.SortStableFunc(l, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return l
}
