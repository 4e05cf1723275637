package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"figwheel/contract"
	"figwheel/platform/platformtest"
)

// Options are what a run is made of.
type Options struct {
	Binary   string        // figwheel
	Dir      string        // for settings and logs of the daemons
	Seed     uint64        // of the faults and the callers
	Daemons  int           // and workers
	Length   time.Duration // of the traffic under faults
	PortBase int           // the first of ten ports for each daemon
	Out      io.Writer     // for the report
}

const (
	callersEach = 3 // of each daemon
	thinkMax    = 30 * time.Millisecond
	callLimit   = 2 * time.Second // that a caller waits
	readyTime   = 15 * time.Second
	recoverTime = 15 * time.Second
	endTime     = 2 * time.Second // in which what is still on its way may run
)

// Run plays one seed, writes its report and tells whether every promise was
// kept. The error is of the run itself.
func Run(x context.Context, o Options) (bool, error) {
	x, stop := context.WithCancel(x)
	defer stop()
	w, err := newWorld(x, o)
	if err != nil {
		return false, err
	}
	w.start(x)
	plan := Plan(o.Seed, o.Daemons, o.Length)
	if !w.served(x, readyTime) {
		w.check.violated(Recover, "not all daemons served within %s of the start", readyTime)
	}
	w.play(x, o, plan)
	if !w.served(x, recoverTime) {
		w.check.violated(Recover, "not all daemons served version %d within %s of the last fault", w.version, recoverTime)
	}
	wait(x, endTime)
	w.check.finish()
	stop()
	w.all.Wait()
	return w.report(o, plan), nil
}

// play lets callers call while the steps of the plan are carried out.
func (w *world) play(x context.Context, o Options, plan []Step) {
	y, stop := context.WithCancel(x)
	var callers, steps sync.WaitGroup
	var ids atomic.Int64
	for i := range o.Daemons * callersEach {
		callers.Go(func() { w.caller(y, rand.New(rand.NewPCG(o.Seed, uint64(100+i))), w.nodes[i/callersEach], &ids) })
	}
	began := time.Now()
	for _, s := range plan {
		wait(x, s.At-time.Since(began))
		steps.Go(func() { w.carryOut(x, s) })
	}
	steps.Wait()
	wait(x, calmTime+applyTime) // for what is due when all is well again
	stop()
	callers.Wait()
}

// carryOut begins a fault and ends it.
func (w *world) carryOut(x context.Context, s Step) {
	if !s.Kind.Planned() {
		w.check.began()
		defer func() { w.check.ended(time.Now()) }()
	}
	n := w.nodes[s.Target]
	link := func(m Mode) {
		n.link.Set(m)
		wait(x, s.For)
		n.link.Set(Pass)
	}
	switch s.Kind {
	case Kill:
		n.signal(syscall.SIGKILL)
	case Herd:
		for _, m := range w.nodes {
			m.signal(syscall.SIGKILL)
		}
	case Pause:
		n.signal(syscall.SIGSTOP)
		wait(x, s.For)
		n.signal(syscall.SIGCONT)
	case StoreDown, StoreRefuses, StoreLoses:
		w.switchStore(s.Kind, 1)
		wait(x, s.For)
		w.switchStore(s.Kind, -1)
	case LinkSlow:
		link(Slow)
	case LinkSilent:
		link(Silent)
	case LinkSilentTo:
		link(SilentTo)
	case LinkSilentOut:
		link(SilentFrom)
	case LinkReset:
		n.link.Reset()
	case WorkerCrash:
		if f := n.crash.Load(); f != nil {
			(*f)()
		}
	case Term:
		n.signal(syscall.SIGTERM)
	case Hup:
		n.signal(syscall.SIGHUP)
	case Config:
		if err := w.change(); err != nil {
			w.check.violated(InForce, "%v", err)
		}
	}
}

// caller stays with one daemon and keeps its connection until that is gone.
func (w *world) caller(x context.Context, r *rand.Rand, n *node, ids *atomic.Int64) {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer c.CloseIdleConnections()
	for x.Err() == nil {
		s := sent{id: fmt.Sprintf("q-%d", ids.Add(1)), once: r.IntN(2) == 0, at: time.Now(), daemon: n.name}
		s.boot, s.floor = n.state()
		if w.check.calm(s.at) {
			s.due = w.check.due(s.at)
		}
		a := w.call(c, n, s)
		boot, _ := n.state()
		w.check.take(s, a, boot, time.Now())
		n.saw(s.boot, a.version)
		wait(x, time.Duration(r.Int64N(int64(thinkMax))))
	}
}

// call sends one request and waits for its end, also when the run ends.
func (w *world) call(c *http.Client, n *node, s sent) answer {
	method, path, body := http.MethodGet, "/twice/"+s.id, ""
	if s.once {
		method, path, body = http.MethodPost, "/once/"+s.id, "body of "+s.id
	}
	x, stop := context.WithTimeout(context.Background(), 2*callLimit)
	defer stop()
	var written atomic.Bool
	x = httptrace.WithClientTrace(x, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }})
	q, err := platformtest.NewRequest(x, method, n.call, host, path, s.id, callLimit, body)
	if err != nil {
		return answer{}
	}
	if s.once {
		q.GetBody = nil // net/http must not send it again
	}
	p, err := c.Do(q)
	if err != nil {
		return answer{cut: written.Load() && x.Err() == nil}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	a := answer{status: p.StatusCode}
	a.version, _ = strconv.ParseUint(p.Header.Get(contract.VersionHeader), 10, 64)
	a.whole = err == nil && platformtest.Whole(p.Header, b, services, s.id, path, []byte(body))
	if err != nil {
		return answer{cut: x.Err() == nil, version: a.version}
	}
	return a
}

// served tells whether every daemon serves both kinds of request under the
// newest version before t has passed.
func (w *world) served(x context.Context, t time.Duration) bool {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(t); time.Now().Before(end) && x.Err() == nil; wait(x, 50*time.Millisecond) {
		good := 0
		for i, n := range w.nodes {
			a := w.call(c, n, sent{id: fmt.Sprintf("p-%d-%d", i, time.Now().UnixNano()), once: i%2 == 0})
			if a.status == http.StatusOK && a.version == w.version {
				good++
			}
		}
		if good == len(w.nodes) {
			return true
		}
	}
	return false
}

// report writes what was done and seen and tells whether all was kept.
func (w *world) report(o Options, plan []Step) bool {
	c := w.check
	_, _ = fmt.Fprintf(o.Out, "seed %d: %d daemons, %d steps in %s, %d versions, answers %v\n", o.Seed, o.Daemons, len(plan), o.Length, w.version, c.results)
	if len(c.counts) == 0 {
		return true
	}
	for _, s := range plan {
		_, _ = fmt.Fprintf(o.Out, "  %s\n", s)
	}
	for _, p := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(o.Out, "  broken %d times: %s\n", c.counts[p], p)
		for _, v := range c.violations[p] {
			_, _ = fmt.Fprintf(o.Out, "    %s\n", v)
		}
	}
	return false
}
