package demo

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Report holds the results of a run of the demo.
type Report struct {
	Deployment string
	Instances  int
	Sites      int
	Seconds    float64 // duration of the load

	Accepted  int    // changes that came into force
	Refused   int    // invalid changes that were rejected
	Conflicts int    // changes rejected in favour of a concurrent one
	Version   uint64 // in force at the end

	ConvergenceP50Ms float64
	ConvergenceP99Ms float64
	ConvergenceMaxMs float64

	ControlBytesPerInstancePerSecond float64
	PlatformCallsPerSecond           float64

	Calls     int64 // this and the next four as in Counts
	Failed    int64
	NotRun    int64
	Unknown   int64
	Wrong     int64
	CallP50Ms float64
	CallP99Ms float64

	Doubled      int            // non-idempotent requests that ran more than once
	NotRunButRan int            // requests that were answered as not run, but ran
	WentBack     int64          // answers under an older version than one seen before at the same daemon
	Dangling     int64          // answers without a route or a service where their version has one
	Partial      int64          // answers that contradict the routes of their version
	Codes        map[string]int // number of failed calls by code or error
}

// GuaranteesHeld reports whether no guarantee was violated.
func (r Report) GuaranteesHeld() bool {
	return r.Doubled == 0 && r.NotRunButRan == 0 && r.WentBack == 0 && r.Dangling == 0 && r.Partial == 0
}

// Write writes the report as a table to o.
func (r Report) Write(o io.Writer) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	row := func(n, format string, a ...any) { _, _ = fmt.Fprintf(w, "%s\t%s\n", n, fmt.Sprintf(format, a...)) }
	row("Deployment", "%s, %d instances at %d sites, %.0f s", r.Deployment, r.Instances, r.Sites, r.Seconds)
	row("Changes", "%d accepted, %d refused, %d conflicts; version %d in force", r.Accepted, r.Refused, r.Conflicts, r.Version)
	row("Convergence", "p50 %.1f ms, p99 %.1f ms, last %.1f ms after acceptance", r.ConvergenceP50Ms, r.ConvergenceP99Ms, r.ConvergenceMaxMs)
	row("Control", "%.0f bytes per second and instance, sent and received", r.ControlBytesPerInstancePerSecond)
	row("Platform", "%.1f calls per second", r.PlatformCallsPerSecond)
	row("Calls", "%d, of which %d failed: %d not run, %d unknown, %d wrong", r.Calls, r.Failed, r.NotRun, r.Unknown, r.Wrong)
	row("Call time", "p50 %.1f ms, p99 %.1f ms, of which the worker takes %s", r.CallP50Ms, r.CallP99Ms, workTime)
	for _, c := range slices.Sorted(maps.Keys(r.Codes)) {
		row("", "%d times %s", r.Codes[c], c)
	}
	row("Doubled", "%d", r.Doubled)
	row("Reported not run, but ran", "%d", r.NotRunButRan)
	row("Went back", "%d", r.WentBack)
	row("Dangling", "%d", r.Dangling)
	row("Partial", "%d", r.Partial)
	return w.Flush()
}

// quantile returns the q-th quantile of l in milliseconds, 0 if l is empty.
func quantile(l []time.Duration, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	s := slices.SortedFunc(slices.Values(l), cmp.Compare[time.Duration])
	i := min(len(s)-1, int(q*float64(len(s))))
	return float64(s[i].Microseconds()) / 1000
}
