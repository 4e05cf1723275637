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

// Options are what the demo may be told.
type Options struct {
	Deployment string
	For        time.Duration
	Seed       uint64
	Out        io.Writer // progress
	Log        *slog.Logger
}

const (
	settleTime = 20 * time.Second
	settlePoll = 20 * time.Millisecond
	restTime   = 300 * time.Millisecond
)

// run is one run of the demo.
type run struct {
	Options
	deployment examples.Deployment
	script     script
	mesh       *Mesh
	began      time.Time
	report     Report
	versions   map[uint64]site.Configuration
	accepted   acceptances
	converged  []time.Duration
	edition    int
}

// Run runs the demo and returns what it counted.
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
		script:     scriptOf(d.Name),
		began:      time.Now(),
		versions:   make(map[uint64]site.Configuration),
		accepted:   acceptances{at: make(map[uint64]time.Time)},
	}
	r.mesh, err = NewMesh(x, d, o.Log, o.Seed)
	if err != nil {
		return Report{}, err
	}
	f := make(chan struct{})
	go func() {
		r.accepted.follow(x, r.mesh.Store)
		close(f)
	}()
	err = r.all(x)
	stop()
	<-f
	if e := r.mesh.Close(); err == nil {
		err = e
	}
	return r.report, err
}

func (r *run) say(format string, a ...any) {
	_, _ = fmt.Fprintf(r.Out, "%7.2f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// all is the whole story: a first version, then load, and under the load good
// and bad changes, a race and a restart.
func (r *run) all(x context.Context) error {
	r.say("%s: %d instances and the platform started", r.deployment.Name, len(r.mesh.Instances))
	if err := r.first(x); err != nil {
		return err
	}
	l := newLoad(r.mesh, r.script.kinds)
	y, stop := context.WithCancel(x)
	done := make(chan struct{})
	go func() {
		l.run(y, r.Seed)
		close(done)
	}()
	bytes, calls, at := r.mesh.ControlBytes(), r.mesh.Store.Counts().Calls(), time.Now()
	err := r.story(x, at.Add(r.For))
	s := time.Since(at).Seconds()
	r.report.Seconds = s
	r.report.ControlBytesPerInstancePerSecond = float64(r.mesh.ControlBytes()-bytes) / s / float64(len(r.mesh.Instances))
	r.report.PlatformCallsPerSecond = float64(r.mesh.Store.Counts().Calls()-calls) / s
	stop()
	<-done
	r.finish(l)
	return err
}

// first submits the first version once all instances know each other, and
// waits until every service has a ready worker everywhere.
func (r *run) first(x context.Context) error {
	if err := r.settle(x, r.mesh.known); err != nil {
		return err
	}
	if err := r.change(x, 0, "first version"); err != nil {
		return err
	}
	return r.settle(x, r.mesh.ready)
}

func (r *run) settle(x context.Context, f func(context.Context) bool) error {
	x, stop := context.WithTimeout(x, settleTime)
	defer stop()
	for !f(x) {
		if err := wait(x, settlePoll); err != nil {
			return demoError.New("the mesh did not settle within %s", settleTime)
		}
	}
	return nil
}

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

func (r *run) story(x context.Context, end time.Time) error {
	acts := []func(context.Context) error{
		func(x context.Context) error { return r.change(x, 1, "both swaps made") },
		r.bad,
		r.badOverlay,
		func(x context.Context) error { return r.change(x, 4, "both swaps undone") },
		r.restart,
		r.race,
	}
	rest := max(restTime, r.For/time.Duration(2*len(acts)))
	for i := 0; i < len(acts) || time.Now().Before(end); i++ {
		f := func(x context.Context) error { return r.change(x, 0, "a further change") }
		if i < len(acts) {
			f = acts[i]
		}
		if err := f(x); err != nil {
			return err
		}
		if err := wait(x, min(rest, max(0, time.Until(end)))); err != nil {
			return err
		}
	}
	return nil
}

// change submits the next edition at instance n and measures when each daemon
// serves it.
func (r *run) change(x context.Context, n int, what string) error {
	b := r.script.edition(r.deployment.Bundle, r.edition)
	r.edition++
	seen := make(chan []time.Time, 1)
	go func() { seen <- firstSeen(x, r.mesh, r.report.Version) }()
	o, err := submit(x, r.mesh.Instances[n%len(r.mesh.Instances)], fmt.Sprintf("demo-%d", r.edition), r.report.Version, b)
	if err != nil {
		return err
	}
	if o.step != "InForce" {
		return demoError.New("%s: %s %s", what, o.step, o.problem)
	}
	return r.took(what, o, b, <-seen)
}

// took notes an accepted change and how long each daemon needed.
func (r *run) took(what string, o outcome, b site.Bundle, seen []time.Time) error {
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
	at := r.accepted.of(o.number)
	var last time.Duration
	for _, t := range seen {
		d := max(0, t.Sub(at))
		last = max(last, d)
		r.converged = append(r.converged, d)
	}
	r.say("%s: version %d is in force at %d sites, the last instance %.1f ms after acceptance", what, o.number, len(f.Sites()), float64(last.Microseconds())/1000)
	return nil
}

func (r *run) refused(what string, o outcome) error {
	if o.step != "Refused" {
		return demoError.New("%s: %s, not refused", what, o.step)
	}
	r.report.Refused++
	r.say("%s is refused: %s", what, o.problem)
	return nil
}

func (r *run) bad(x context.Context) error {
	o, err := submit(x, r.mesh.Instances[2], "demo-bad", r.report.Version, r.script.bad(r.deployment.Bundle))
	if err != nil {
		return err
	}
	return r.refused("a route to a service that does not exist", o)
}

// badOverlay breaks one site only; that refuses the whole.
func (r *run) badOverlay(x context.Context) error {
	b := r.deployment.Bundle
	l := append([]site.File{}, b.Overlays...)
	l[0].Text += "Remove:\n  Services: [" + r.deployment.Groups[0].Service + "]\n"
	b.Overlays = l
	o, err := submit(x, r.mesh.Instances[3], "demo-bad-overlay", r.report.Version, b)
	if err != nil {
		return err
	}
	return r.refused("an overlay that breaks one site", o)
}

func (r *run) restart(x context.Context) error {
	k := r.mesh.Instances[1]
	t := time.Now()
	if err := r.mesh.Restart(x, k); err != nil {
		return err
	}
	if err := r.settle(x, r.mesh.ready); err != nil {
		return err
	}
	r.say("the daemon of %s was restarted under load, ready again after %.1f s", k.Name, time.Since(t).Seconds())
	return nil
}

// race lets two supervisors submit different files at the same moment.
func (r *run) race(x context.Context) error {
	type entry struct {
		outcome
		bundle site.Bundle
		err    error
	}
	seen := make(chan []time.Time, 1)
	go func() { seen <- firstSeen(x, r.mesh, r.report.Version) }()
	c := make(chan entry)
	on := r.report.Version
	for i := range 2 {
		b := r.script.edition(r.deployment.Bundle, r.edition)
		r.edition++
		go func() {
			o, err := submit(x, r.mesh.Instances[4+i], fmt.Sprintf("demo-race-%d", i), on, b)
			c <- entry{o, b, err}
		}()
	}
	var won, lost []entry
	for range 2 {
		e := <-c
		switch {
		case e.err != nil:
			return e.err
		case e.step == "InForce":
			won = append(won, e)
		default:
			lost = append(lost, e)
		}
	}
	if len(won) != 1 || len(lost) != 1 {
		return demoError.New("of two racing supervisors %d won", len(won))
	}
	r.report.Conflicts++
	r.say("of two supervisors one is told: %s", lost[0].problem)
	return r.took("the other one's change", won[0].outcome, won[0].bundle, <-seen)
}

// finish counts what the load saw and what the workers ran.
func (r *run) finish(l *load) {
	p := &r.report
	p.Deployment = r.deployment.Name
	p.Instances = len(r.mesh.Instances)
	p.Sites = len(r.versions[p.Version].Sites())
	p.ConvergenceP50Ms = quantile(r.converged, 0.5)
	p.ConvergenceP99Ms = quantile(r.converged, 0.99)
	p.ConvergenceMaxMs = quantile(r.converged, 1)
	p.CallP50Ms = quantile(l.took, 0.5)
	p.CallP99Ms = quantile(l.took, 0.99)
	c := l.counts
	p.Calls, p.Failed, p.NotRun, p.Unknown, p.Wrong, p.WentBack = c.Calls, c.Failed, c.NotRun, c.Unknown, c.Wrong, c.WentBack
	p.Codes = l.codes
	mixed, dangling := partial(l, r.versions)
	p.Partial = mixed
	p.Dangling = c.Dangling + dangling
	runs := make(map[string]int)
	for _, k := range r.mesh.Instances {
		for id, n := range k.Worker.Runs() {
			runs[id] += n
		}
	}
	for id := range l.onceIDs {
		if runs[id] > 1 {
			p.Doubled++
		}
	}
	for id := range l.notRun {
		if runs[id] > 0 {
			p.NotRunButRan++
		}
	}
}
