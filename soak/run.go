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

// Options are the parameters of a run.
type Options struct {
	Binary   string        // path of the figwheel program
	Dir      string        // directory for settings and logs of the daemons
	Seed     uint64        // seed of the faults and the callers
	Daemons  int           // number of daemons, each with a worker
	Length   time.Duration // duration of the traffic under faults
	PortBase int           // first port; each daemon has a range of ten
	Out      io.Writer     // destination of the report
}

const (
	callersPerDaemon = 3
	thinkTimeMax     = 30 * time.Millisecond
	callTimeout      = 2 * time.Second  // sent as the deadline of a request; the caller waits twice as long
	readyTimeout     = 15 * time.Second // from the start until all daemons serve
	recoverTimeout   = 15 * time.Second // from the last fault until all daemons serve again
	statedLimit      = 3.0              // rate limit of a worker, in requests per second
	limitExtraTime   = 9 * time.Second  // by which a rate limit outlasts its step: it is checked over 4 s, from 3 s on
	leaveExtraTime   = 3 * time.Second  // by which a leaving worker outlasts its step
	drainTime        = 2 * time.Second  // in which requests in flight may still run before the runs are checked
)

// Run runs the plan of one seed, writes its report and reports whether every
// guarantee held. It returns an error if the run could not be set up.
func Run(x context.Context, o Options) (bool, error) {
	x, stop := context.WithCancel(x)
	defer stop()
	e, err := newEnvironment(x, o)
	if err != nil {
		return false, err
	}
	e.start(x)
	plan := Plan(o.Seed, o.Daemons, o.Length)
	if !e.awaitServing(x, readyTimeout) {
		e.checker.recordViolation(Recovery, "not all daemons served within %s of the start", readyTimeout)
	}
	e.runPlan(x, o, plan)
	if !e.awaitServing(x, recoverTimeout) {
		e.checker.recordViolation(Recovery, "not all daemons served version %d within %s of the last fault", e.configVersion, recoverTimeout)
	}
	wait(x, drainTime)
	e.checker.checkRuns()
	e.checker.checkAccounts(e.runs.All())
	for _, n := range e.nodes {
		e.checker.checkNotices(n)
	}
	stop()
	e.tasks.Wait()
	if err := e.checkLogs(); err != nil {
		return false, err
	}
	return e.writeReport(o, plan), nil
}

// runPlan runs the steps of the plan while callers send requests.
func (e *environment) runPlan(x context.Context, o Options, plan []Step) {
	y, stop := context.WithCancel(x)
	var callers, steps sync.WaitGroup
	for i := range o.Daemons * callersPerDaemon {
		callers.Go(func() {
			e.runCaller(y, rand.New(rand.NewPCG(o.Seed, uint64(100+i))), caller{node: e.nodes[i/callersPerDaemon], account: openAccount, thinkTimeMax: thinkTimeMax})
		})
	}
	for i, n := range e.nodes {
		for j, k := range accountCallers(n) {
			callers.Go(func() { e.runCaller(y, rand.New(rand.NewPCG(o.Seed, uint64(10_000+10*i+j))), k) })
		}
	}
	began := time.Now()
	for _, s := range plan {
		wait(x, s.At-time.Since(began))
		steps.Go(func() { e.runStep(x, s) })
	}
	steps.Wait()
	wait(x, faultFreeTime+applyTimeMax) // so that the last version becomes due without faults
	stop()
	callers.Wait()
}

// runStep runs one step and returns when its fault has ended.
func (e *environment) runStep(x context.Context, s Step) {
	if !s.Kind.IsPlanned() {
		e.checker.beginFault()
		defer func() { e.checker.endFault(time.Now()) }()
	}
	defer e.beginOutage(s)()
	n := e.nodes[s.Target]
	link := func(m Mode) {
		n.storeProxy.Set(m)
		wait(x, s.For)
		n.storeProxy.Set(Pass)
	}
	switch s.Kind {
	case Kill:
		n.signal(syscall.SIGKILL)
	case Herd:
		for _, m := range e.nodes {
			m.signal(syscall.SIGKILL)
		}
	case Pause:
		n.signal(syscall.SIGSTOP)
		wait(x, s.For)
		n.signal(syscall.SIGCONT)
	case StoreDown, StoreRefuses, StoreLoses:
		e.switchStoreFault(s.Kind, 1)
		wait(x, s.For)
		e.switchStoreFault(s.Kind, -1)
	case StoreCopy:
		if err := e.restoreStore(x, s.For); err != nil {
			e.checker.recordViolation(InForce, "%v", err)
		}
	case LinkSlow:
		link(Slow)
	case LinkSilent:
		link(Silent)
	case LinkSilentTo:
		link(SilentTo)
	case LinkSilentFrom:
		link(SilentFrom)
	case LinkReset:
		n.storeProxy.Reset()
	case WorkerCrash:
		if f := n.crashWorker.Load(); f != nil {
			(*f)()
		}
	case WorkerLoses:
		n.worker.LoseAnswers(true)
		wait(x, s.For)
		n.worker.LoseAnswers(false)
	case WorkerLimit:
		n.worker.SetRateLimit(statedLimit)
		wait(x, s.For+limitExtraTime)
		n.worker.SetRateLimit(0)
	case WorkerLeave:
		n.worker.Leave()
		wait(x, s.For+leaveExtraTime)
		if f := n.crashWorker.Load(); f != nil {
			(*f)()
		}
	case Term:
		n.signal(syscall.SIGTERM)
	case Hup:
		n.signal(syscall.SIGHUP)
	case Flood:
		e.flood(x, s.For)
	case Config, KeyChange:
		if err := e.writeConfig(s.Kind == KeyChange); err != nil {
			e.checker.recordViolation(InForce, "%v", err)
		}
	}
}

// runCaller sends requests of k until x ends, over one connection as long as that
// stays open.
func (e *environment) runCaller(x context.Context, r *rand.Rand, k caller) {
	c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer c.CloseIdleConnections()
	var p pipeline
	defer p.close()
	for x.Err() == nil {
		if k.pipelined > 0 {
			l := make([]request, k.pipelined)
			for i := range l {
				l[i] = e.newRequest(r, k, time.Now())
			}
			for i, a := range e.callPipelined(&p, k.node, l) {
				e.checkCall(k, l[i], a)
			}
		} else {
			s := e.newRequest(r, k, time.Now())
			e.checkCall(k, s, e.call(c, k.node, s))
		}
		wait(x, time.Duration(r.Int64N(int64(k.thinkTimeMax))))
	}
}

// newRequest returns the next request of k. Pipelined requests are idempotent.
func (e *environment) newRequest(r *rand.Rand, k caller, now time.Time) request {
	n := k.node
	number := e.ids.Add(1)
	s := request{id: fmt.Sprintf("q-%d", number), nonIdempotent: r.IntN(2) == 0 && k.pipelined == 0, sentAt: now, daemon: n.name}
	s.form = forms[number%int64(len(forms))]
	s.starts, s.versionSeen = n.state()
	if e.checker.isFaultFree(now) {
		s.versionDue = e.checker.versionDue(now)
	}
	s.account, s.key = k.account, keyOf(k.account)
	if k.spareKey {
		e.chooseSpareKey(&s, n, r.IntN(2) == 0)
	}
	return s
}

// checkCall checks the answer a to the request s of k.
func (e *environment) checkCall(k caller, s request, a answer) {
	starts, _ := k.node.state()
	e.checker.checkAnswer(s, a, starts, time.Now())
	k.node.recordVersion(s.starts, a.version)
	if a.status == http.StatusUnauthorized && e.isKnown(s, k.node.isInTouchSince(s.sentAt)) {
		e.checker.recordViolation(KeyIsKnown, "%s at %s with the key %s", s.id, s.daemon, s.key)
	}
}

// form is the form of a non-idempotent request.
type form struct {
	method   string
	key      string // name of a header that is set, empty for none
	bodyless bool
}

// forms are the forms of non-idempotent requests: one with a body, and those that net/http
// takes for repeatable.
var forms = []form{
	{method: http.MethodPost},
	{method: http.MethodGet, bodyless: true},
	{method: http.MethodPost, key: "Idempotency-Key", bodyless: true},
	{method: http.MethodDelete, key: "X-Idempotency-Key", bodyless: true},
}

// content returns the method, path and body of a request.
func (s request) content() (method, path, body string) {
	if s.nonIdempotent {
		if !s.form.bodyless {
			body = "body of " + s.id
		}
		return s.form.method, "/once/" + s.id, body
	}
	return http.MethodGet, "/twice/" + s.id, ""
}

// call sends one request and returns its answer. The end of the run does not
// interrupt it.
func (e *environment) call(c *http.Client, n *node, s request) answer {
	e.checker.recordSent(s)
	method, path, body := s.content()
	x, stop := context.WithTimeout(context.Background(), 2*callTimeout)
	defer stop()
	var written atomic.Bool
	t := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }}
	y, cancel := context.WithCancel(x)
	defer cancel()
	if s.nonIdempotent {
		// Otherwise net/http sends the request again on another connection.
		t.GetConn = func(string) {
			if written.Load() {
				cancel()
			}
		}
		t.GotConn = func(i httptrace.GotConnInfo) {
			if y.Err() != nil {
				_ = i.Conn.Close()
			}
		}
	}
	q, err := platformtest.NewRequest(httptrace.WithClientTrace(y, t), method, n.callAddress, host, path, s.id, callTimeout, body)
	if err != nil {
		return answer{}
	}
	platformtest.SetKey(q, s.key)
	if s.nonIdempotent {
		q.GetBody = nil // as above
		if s.form.key != "" {
			q.Header.Set(s.form.key, s.id)
		}
	}
	p, err := c.Do(q)
	if err != nil {
		return answer{interrupted: written.Load() && x.Err() == nil}
	}
	defer func() { _ = p.Body.Close() }()
	a, err := readAnswer(p, s)
	if err != nil {
		return answer{interrupted: x.Err() == nil, version: a.version}
	}
	return a
}

// readAnswer reads the response p to the request s. With an error it returns the
// version alone.
func readAnswer(p *http.Response, s request) (answer, error) {
	b, err := io.ReadAll(p.Body)
	var a answer
	a.version, _ = strconv.ParseUint(p.Header.Get(contract.VersionHeader), 10, 64)
	if err != nil {
		return a, err
	}
	_, path, body := s.content()
	a.status = p.StatusCode
	a.intact = platformtest.IsResponseOf(p.Header, b, services, s.id, path, []byte(body))
	return a, nil
}

// awaitServing sends a request to every daemon, in turn a non-idempotent and an
// idempotent one, until all of them answer 200 under the newest version in one
// round. It reports whether they did before t passed.
func (e *environment) awaitServing(x context.Context, t time.Duration) bool {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(t); time.Now().Before(end) && x.Err() == nil; wait(x, 50*time.Millisecond) {
		serving := 0
		for i, n := range e.nodes {
			a := e.call(c, n, request{id: fmt.Sprintf("p-%d-%d", i, time.Now().UnixNano()), nonIdempotent: i%2 == 0, account: openAccount, key: keyOf(openAccount)})
			if a.status == http.StatusOK && a.version == e.configVersion {
				serving++
			}
		}
		if serving == len(e.nodes) {
			return true
		}
	}
	return false
}

// writeReport writes the totals of the run, its steps if a guarantee was
// violated, and the violations. It reports whether every guarantee held.
func (e *environment) writeReport(o Options, plan []Step) bool {
	c := e.checker
	_, _ = fmt.Fprintf(o.Out, "seed %d: %d daemons, %d steps in %s, %d versions, answers %v, most runs in %s %v\n", o.Seed, o.Daemons, len(plan), o.Length, e.configVersion, c.results, quotaWindow, c.peaks)
	if len(c.counts) == 0 {
		return true
	}
	for _, s := range plan {
		_, _ = fmt.Fprintf(o.Out, "  %s\n", s)
	}
	for _, g := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(o.Out, "  violated %d times: %s\n", c.counts[g], g)
		for _, v := range c.violations[g] {
			_, _ = fmt.Fprintf(o.Out, "    %s\n", v)
		}
	}
	return false
}
