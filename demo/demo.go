package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"figwheel/examples"
	"figwheel/site"
)

// Options are the parameters of a run of the demo.
type Options struct {
	Deployment string        // name of the deployment, see package examples
	For        time.Duration // duration of the load
	Seed       uint64        // seed of the random choices
	Out        io.Writer     // destination of the progress lines
	Log        *slog.Logger  // for the daemons
}

const (
	settleTimeout      = 20 * time.Second
	settlePollInterval = 20 * time.Millisecond
	pauseMin           = 300 * time.Millisecond // between two steps
)

// run is one run of the demo.
type run struct {
	Options
	deployment       examples.Deployment
	scenario         scenario
	mesh             *Mesh
	startTime        time.Time
	report           Report
	versions         map[uint64]site.Configuration
	accepted         acceptances
	convergenceTimes []time.Duration // from acceptance until an instance served the version
	changeCount      int             // changes submitted so far, without the invalid ones
}

// Run runs the demo and returns its report. It returns an error if the demo could
// not be carried out; violated guarantees are in the report.
func Run(x context.Context, o Options) (Report, error) {
	d, err := examples.Load(o.Deployment)
	if err != nil {
		return Report{}, err
	}
	x, stop := context.WithCancel(x)
	defer stop()
	r := &run{
		Options:    o,
		deployment: d,
		scenario:   scenarioOf(d.Name),
		startTime:  time.Now(),
		versions:   make(map[uint64]site.Configuration),
		accepted:   acceptances{at: make(map[uint64]time.Time)},
	}
	r.mesh, err = NewMesh(x, d, o.Log, o.Seed)
	if err != nil {
		return Report{}, err
	}
	f := make(chan struct{})
	go func() {
		r.accepted.watch(x, r.mesh.Store)
		close(f)
	}()
	err = r.execute(x)
	stop()
	<-f
	if e := r.mesh.Close(); err == nil {
		err = e
	}
	return r.report, err
}

// printProgress writes a line with the time since the start to Out.
func (r *run) printProgress(format string, a ...any) {
	_, _ = fmt.Fprintf(r.Out, "%7.2f s  %s\n", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, a...))
}

// execute submits a first version, then starts the load and under it runs the
// steps: valid and invalid changes, a restart and two concurrent submissions.
func (r *run) execute(x context.Context) error {
	r.printProgress("%s: %d instances and the platform started", r.deployment.Name, len(r.mesh.Instances))
	if err := r.submitFirst(x); err != nil {
		return err
	}
	l := newLoad(r.mesh, r.scenario.kinds)
	y, stop := context.WithCancel(x)
	done := make(chan struct{})
	go func() {
		l.run(y, r.Seed)
		close(done)
	}()
	bytes, calls, at := r.mesh.ControlBytes(), r.mesh.Store.Counts().Calls(), time.Now()
	err := r.runSteps(x, at.Add(r.For))
	s := time.Since(at).Seconds()
	r.report.Seconds = s
	r.report.ControlBytesPerInstancePerSecond = float64(r.mesh.ControlBytes()-bytes) / s / float64(len(r.mesh.Instances))
	r.report.PlatformCallsPerSecond = float64(r.mesh.Store.Counts().Calls()-calls) / s
	stop()
	<-done
	r.fillReport(l)
	return err
}

// submitFirst submits the first version once all daemons know each other, and
// waits until every daemon can send calls to every worker.
func (r *run) submitFirst(x context.Context) error {
	if err := r.awaitSettled(x, r.mesh.allKnown); err != nil {
		return err
	}
	if err := r.submitChange(x, 0, "first version"); err != nil {
		return err
	}
	return r.awaitSettled(x, r.mesh.allReady)
}

// awaitSettled polls f until it returns true, and returns an error if it has not
// within settleTimeout.
func (r *run) awaitSettled(x context.Context, f func(context.Context) bool) error {
	x, stop := context.WithTimeout(x, settleTimeout)
	defer stop()
	for !f(x) {
		if err := wait(x, settlePollInterval); err != nil {
			return demoError.New("the mesh did not reach the expected state within %s", settleTimeout)
		}
	}
	return nil
}

// wait returns nil when d has passed or the error of x when x has ended.
func wait(x context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-x.Done():
		return x.Err()
	}
}

// runSteps runs each step once, with pauses between them, and submits further
// changes until end.
func (r *run) runSteps(x context.Context, end time.Time) error {
	steps := []func(context.Context) error{
		func(x context.Context) error { return r.submitChange(x, 1, "both routes changed") },
		r.submitInvalid,
		r.submitInvalidOverlay,
		func(x context.Context) error { return r.submitChange(x, 4, "both routes changed back") },
		r.restartDaemon,
		r.submitConcurrently,
	}
	pause := max(pauseMin, r.For/time.Duration(2*len(steps)))
	for i := 0; i < len(steps) || time.Now().Before(end); i++ {
		f := func(x context.Context) error { return r.submitChange(x, 0, "a further change") }
		if i < len(steps) {
			f = steps[i]
		}
		if err := f(x); err != nil {
			return err
		}
		if err := wait(x, min(pause, max(0, time.Until(end)))); err != nil {
			return err
		}
	}
	return nil
}

// submitChange submits the next change at instance n, which must be accepted, and
// measures when each daemon first serves it.
func (r *run) submitChange(x context.Context, n int, what string) error {
	b := r.scenario.changedBundle(r.deployment.Bundle, r.changeCount)
	r.changeCount++
	seen := make(chan []time.Time, 1)
	go func() { seen <- firstServed(x, r.mesh, r.report.Version) }()
	o, err := submit(x, r.mesh.Instances[n%len(r.mesh.Instances)], fmt.Sprintf("demo-%d", r.changeCount), r.report.Version, b)
	if err != nil {
		return err
	}
	if o.step != "InForce" {
		return demoError.New("%s: %s %s", what, o.step, o.problem)
	}
	return r.recordAccepted(what, o, b, <-seen)
}

// recordAccepted records an accepted change and the time that each daemon needed
// to serve it. The times in seen are those at which a daemon first served it.
func (r *run) recordAccepted(what string, o outcome, b site.Bundle, seen []time.Time) error {
	r.report.Accepted++
	r.report.Version = o.number
	f, p := site.Check(b, time.Now())
	if len(p) > 0 {
		return demoError.New("%s", p[0])
	}
	r.versions[o.number] = f
	if len(seen) < len(r.mesh.Instances) {
		return demoError.New("%s: only %d of %d instances serve version %d", what, len(seen), len(r.mesh.Instances), o.number)
	}
	at := r.accepted.timeOf(o.number)
	var last time.Duration
	for _, t := range seen {
		d := max(0, t.Sub(at))
		last = max(last, d)
		r.convergenceTimes = append(r.convergenceTimes, d)
	}
	r.printProgress("%s: version %d is in force at %d sites, the last instance %.1f ms after acceptance", what, o.number, len(f.Sites()), float64(last.Microseconds())/1000)
	return nil
}

// recordRefused records a rejected change. It returns an error if the change was
// not rejected.
func (r *run) recordRefused(what string, o outcome) error {
	if o.step != "Refused" {
		return demoError.New("%s: got step %s, want Refused", what, o.step)
	}
	r.report.Refused++
	r.printProgress("%s is refused: %s", what, o.problem)
	return nil
}

// submitInvalid submits a base with an invalid route, which must be rejected.
func (r *run) submitInvalid(x context.Context) error {
	o, err := submit(x, r.mesh.Instances[2], "demo-bad", r.report.Version, r.scenario.invalidBundle(r.deployment.Bundle))
	if err != nil {
		return err
	}
	return r.recordRefused("a route to a service that does not exist", o)
}

// submitInvalidOverlay submits an overlay that is invalid at its own site only.
// The whole submission must be rejected.
func (r *run) submitInvalidOverlay(x context.Context) error {
	b := r.deployment.Bundle
	l := append([]site.File{}, b.Overlays...)
	l[0].Text += "Remove:\n  Services: [" + r.deployment.Groups[0].Service + "]\n"
	b.Overlays = l
	o, err := submit(x, r.mesh.Instances[3], "demo-bad-overlay", r.report.Version, b)
	if err != nil {
		return err
	}
	return r.recordRefused("an overlay that is invalid at one site", o)
}

// restartDaemon restarts one daemon under load and waits until every daemon can
// send calls to every worker again.
func (r *run) restartDaemon(x context.Context) error {
	k := r.mesh.Instances[1]
	t := time.Now()
	if err := r.mesh.Restart(x, k); err != nil {
		return err
	}
	if err := r.awaitSettled(x, r.mesh.allReady); err != nil {
		return err
	}
	r.printProgress("the daemon of %s was restarted under load, ready again after %.1f s", k.Name, time.Since(t).Seconds())
	return nil
}

// submitConcurrently submits different files from two supervisors at the same
// time. Exactly one submission must be accepted.
func (r *run) submitConcurrently(x context.Context) error {
	type entry struct {
		outcome
		bundle site.Bundle
		err    error
	}
	seen := make(chan []time.Time, 1)
	go func() { seen <- firstServed(x, r.mesh, r.report.Version) }()
	c := make(chan entry)
	on := r.report.Version
	for i := range 2 {
		b := r.scenario.changedBundle(r.deployment.Bundle, r.changeCount)
		r.changeCount++
		go func() {
			o, err := submit(x, r.mesh.Instances[4+i], fmt.Sprintf("demo-race-%d", i), on, b)
			c <- entry{o, b, err}
		}()
	}
	var accepted, rejected []entry
	for range 2 {
		e := <-c
		switch {
		case e.err != nil:
			return e.err
		case e.step == "InForce":
			accepted = append(accepted, e)
		default:
			rejected = append(rejected, e)
		}
	}
	if len(accepted) != 1 || len(rejected) != 1 {
		return demoError.New("%d of 2 concurrent submissions were accepted, want 1", len(accepted))
	}
	r.report.Conflicts++
	r.printProgress("one of two concurrent submissions is refused: %s", rejected[0].problem)
	return r.recordAccepted("the other submission", accepted[0].outcome, accepted[0].bundle, <-seen)
}

// fillReport fills the report from the results of the load and the requests that
// the workers ran.
func (r *run) fillReport(l *load) {
	p := &r.report
	p.Deployment = r.deployment.Name
	p.Instances = len(r.mesh.Instances)
	p.Sites = len(r.versions[p.Version].Sites())
	p.ConvergenceP50Ms = quantile(r.convergenceTimes, 0.5)
	p.ConvergenceP99Ms = quantile(r.convergenceTimes, 0.99)
	p.ConvergenceMaxMs = quantile(r.convergenceTimes, 1)
	p.CallP50Ms = quantile(l.callTimes, 0.5)
	p.CallP99Ms = quantile(l.callTimes, 0.99)
	c := l.counts
	p.Calls, p.Failed, p.NotRun, p.Unknown, p.Wrong, p.WentBack = c.Calls, c.Failed, c.NotRun, c.Unknown, c.Wrong, c.WentBack
	p.Codes = l.codes
	partial, dangling := countPartial(l, r.versions)
	p.Partial = partial
	p.Dangling = c.Dangling + dangling
	runs := make(map[string]int)
	for _, k := range r.mesh.Instances {
		for id, n := range k.Worker.Runs() {
			runs[id] += n
		}
	}
	for id := range l.nonIdempotentIDs {
		if runs[id] > 1 {
			p.Doubled++
		}
	}
	for id := range l.reportedNotRun {
		if runs[id] > 0 {
			p.NotRunButRan++
		}
	}
}
