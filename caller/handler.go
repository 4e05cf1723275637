package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

const (
	// attemptsDefault bounds the workers that one request is sent to where its
	// route leaves that open.
	attemptsDefault = 4
	// asksMax bounds the daemons that one request is offered to.
	asksMax = 8
	// asksNoWait is how many daemons are asked for a free slot before the
	// request waits at one of them.
	asksNoWait = 3
	// waitsMax is how many daemons may refuse to let it wait: the others are
	// fuller, and each ask costs both sides time that an overload needs.
	waitsMax = 2
	// attemptMin is the time without which another attempt is of no use. Each
	// daemon rounds the time left down to milliseconds, so that one may end just
	// before the deadline.
	attemptMin = 3 * time.Millisecond
	// verdictTime is how much longer than the deadline the next daemon is
	// waited for: its word that the request was not run is worth having.
	verdictTime = 60 * time.Millisecond
)

// Daemon is what the handlers need of the daemon around them.
type Daemon interface {
	// View returns the current view, never nil.
	View() *View
	// Seen hands over the release that another daemon serves.
	Seen(release string)
	// Age returns the age of the newest confirmation that the release served
	// here is the newest one, in milliseconds; empty without one.
	Age(now time.Time) string
	// Confirmed hands over such an age, told with the release by the answer to
	// a request that was sent at the time t.
	Confirmed(release, age string, t time.Time)
	// Closing tells whether callers should look for another daemon.
	Closing() bool
}

// Recorder takes note of how calls ended; code 0 is a whole answer.
type Recorder interface {
	Call(service string, c result.Code, o contract.Outcome, took time.Duration)
	Decision(d Decision)
}

// Handler answers the calls of callers.
type Handler struct {
	Daemon    Daemon
	Worker    *upstream.Worker
	Transport http.RoundTripper // to other daemons
	Record    Recorder          // may be nil
	Now       func() time.Time
	Random    *sync.Pool       // of *rand.Rand
	Headers   contract.Headers // that callers know
	Origin    string           // service of the worker beside this daemon

	budgets sync.Map // of *contract.Budget, by service
}

// call is one request on its way.
type call struct {
	view     *View
	route    *site.Route
	service  *site.Service
	body     *hop.Body
	ask      upstream.Ask
	deadline time.Time
	set      []hop.Field // for the next daemon
	own      []hop.Field // for the worker beside this one
	random   *rand.Rand
	tried    []string      // instances that need not be asked again
	sent     int           // workers that it was sent to
	again    bool          // another attempt may run it again
	unknown  bool          // an attempt left open whether it ran
	crashes  int           // workers that did not answer it
	refused  time.Duration // for which it still is, because it crashes workers
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := h.Now()
	v := h.Daemon.View()
	w.Header().Set(contract.VersionHeader, v.Version())
	if h.Daemon.Closing() {
		w.Header().Set("Connection", "close")
	}
	n := h.Random.Get().(*rand.Rand)
	defer h.Random.Put(n)
	c := &call{view: v, random: n}
	f := h.answer(w, r, c, t)
	h.record(r, c, f, t)
	if c.body.Unfinished() && !f.Begun {
		w.Header().Set("Connection", "close")
	}
	finish(w, f, h.retryAfter(c, f))
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request, c *call, now time.Time) hop.Result {
	if err := c.find(r); err != nil {
		return hop.NotRun(result.CodeOf(err), err.Error())
	}
	return h.serve(w, r, c, now)
}

// find sets the route and the service that the request is for.
func (c *call) find(r *http.Request) error {
	v := c.view
	if v.Snapshot == nil {
		return result.New(result.NoConfiguration, "this daemon has no configuration yet")
	}
	t, ok := v.Snapshot.Match(r)
	if !ok {
		return result.New(result.NoRoute, "no route for %s %s%s at version %s", r.Method, r.Host, r.URL.Path, v.Version())
	}
	if t.Closed != 0 {
		return result.New(result.RouteWithoutService, "route %s cannot be compiled: %s %s", t.Name, t.Closed, t.Closed.Name())
	}
	p := t.Pick(c.random.Uint64())
	s, ok := v.Snapshot.Service(p)
	if !ok {
		return result.New(result.RouteWithoutService, "route %s leads to %s, which is not here", t.Name, p)
	}
	if m := v.Snapshot.Limits().BodyBytes; m > 0 && r.ContentLength > m {
		return result.New(result.RequestTooLarge, "the body has %d bytes, the limit is %d", r.ContentLength, m)
	}
	c.route, c.service = t, s
	return nil
}

// limit is the longest that the route and the service let a request take.
func (c *call) limit() time.Duration {
	l := c.service.Deadline
	if t := c.route.Timeout; t > 0 && (l == 0 || t < l) {
		l = t
	}
	if l == 0 {
		l = linkDeadline
	}
	return l
}

// serve makes the attempts of one call within its deadline.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call, now time.Time) hop.Result {
	d, err := contract.Deadline(now, c.limit(), r.Header.Get(h.Headers.Deadline))
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	n, err := contract.Depth(r.Header.Get(contract.DepthHeader))
	if err != nil {
		return hop.NotRun(result.TooDeep, err.Error())
	}
	x, stop := context.WithDeadline(r.Context(), d.Add(verdictTime))
	defer stop()
	c.body = hop.NewBody(w, r)
	if err := c.body.Load(x); err != nil {
		return hop.NotRun(result.CallerGone, err.Error())
	}
	if h.refuses(c, r, now) {
		return hop.NotRun(result.CrashesWorkers, "workers crashed when it was sent to them")
	}
	c.deadline = d
	c.ask = upstream.Ask{Kind: c.route.Name, Rank: c.route.Rank, Deadline: d}
	if c.route.Goal > 0 {
		c.ask.Goal = now.Add(c.route.Goal)
	}
	c.again = c.repeats(r)
	if h.Headers == contract.OwnHeaders() {
		c.own = []hop.Field{
			{Name: contract.DepthHeader, Value: strconv.Itoa(n + 1)},
			{Name: contract.VersionHeader, Value: c.view.version},
		}
	}
	c.set = slices.Concat(c.own, []hop.Field{
		{Name: contract.ReleaseHeader, Value: c.view.release},
		{Name: contract.ServiceHeader, Value: c.service.Name},
		{Name: contract.RankHeader, Value: strconv.Itoa(c.ask.Rank)},
		{Name: contract.KindHeader, Value: c.ask.Kind},
		{Name: contract.OriginHeader, Value: h.Origin},
	})
	w.Header().Set(contract.OutcomeHeader, contract.Run.String())
	return h.attempts(x, w, r, c)
}

// refuses tells whether the request is refused because it crashes workers.
func (h *Handler) refuses(c *call, r *http.Request, now time.Time) bool {
	l := c.view.Suspects
	if l.Empty() {
		return false
	}
	c.refused = l.Refuses(upstream.Request{Origin: h.Origin, Body: c.body}.Fingerprint(r), now)
	return c.refused > 0
}

// repeats tells whether the request may run more than once.
func (c *call) repeats(r *http.Request) bool {
	switch c.route.Repeat {
	case site.RepeatAllowed:
		return true
	case site.RepeatForbidden:
		return false
	}
	return c.service.Idempotent(r.Method, r.URL.Path)
}

// attempts offers the request to instances one after the other, as long as
// that is safe and the budget of the service allows it. It asks for a free
// slot first and waits only where there is none.
func (h *Handler) attempts(x context.Context, w http.ResponseWriter, r *http.Request, c *call) hop.Result {
	l := c.view.Candidates[c.service.Name]
	f := hop.NotRun(result.NoInstance, "no ready instance of "+c.service.Name)
	b := h.budget(c.service.Name)
	b.Earn(h.retries(c))
	wait, waits := false, 0
	var last *link.Candidate
	for i := range asksMax {
		now := h.Now()
		k := l.Choose(now, c.ask.Kind, c.random, c.tried, c.far())
		if k == nil && !wait && f.Code == result.Overloaded {
			// Everybody is full: wait where it takes least.
			wait = true
			c.tried = c.tried[:0]
			k = l.Choose(now, c.ask.Kind, c.random, nil, c.far())
		}
		if k == nil || waits > 0 && f.Code == result.Overloaded && !k.Emptier(last, now) {
			return f
		}
		last = k
		wait = wait || i >= asksNoWait || !k.Free(now)
		if wait {
			waits++
		}
		c.tried = append(c.tried, k.Name)
		f = c.recordAttempt(h.attempt(x, w, r, c, k, !wait))
		if f.OK() || f.Begun || x.Err() != nil || !h.another(c, f, b, l) || f.Code == result.Overloaded && waits >= waitsMax {
			return f
		}
	}
	return f
}

// another decides whether to try another instance after f.
func (h *Handler) another(c *call, f hop.Result, b *contract.Budget, l link.Candidates) bool {
	if c.crashes >= poison.RefuseLevel || !contract.MayRetry(f.Outcome, c.again) || !c.body.Replayable() {
		return false
	}
	if c.deadline.Sub(h.Now()) < attemptMin {
		return false
	}
	if !contract.Reached(f.Code, f.Outcome) {
		return true
	}
	c.sent++
	most := c.route.Attempts
	if most == 0 {
		most = attemptsDefault
	}
	return c.sent < most && len(c.tried) < l.Len() && b.Spend(f.Outcome)
}

// recordAttempt folds the result of an attempt into the call: once an attempt
// may have run the request, no later one can prove that it did not run.
func (c *call) recordAttempt(f hop.Result) hop.Result {
	if f.OK() {
		return f
	}
	c.unknown = c.unknown || f.Outcome != contract.NotRun
	if c.unknown {
		f.Outcome = contract.Unknown
	}
	return f
}

func (h *Handler) attempt(x context.Context, w http.ResponseWriter, r *http.Request, c *call, k *link.Candidate, noWait bool) hop.Result {
	now := h.Now()
	k.Peer.Begin(now)
	c.ask.NoWait = noWait
	if k.Local {
		y, stop := context.WithDeadline(x, c.deadline)
		defer stop()
		f := h.Worker.Serve(y, w, r, now, upstream.Request{Ask: c.ask, Service: c.service.Name, Origin: h.Origin, Body: c.body, Set: c.own, Now: h.Now, Crashes: c.crashes})
		k.Peer.End(h.Worker.Load(c.ask.Kind).String(), c.ask.Kind, h.Now())
		c.lost(f)
		return f
	}
	sent := now
	p := hop.Hop{Transport: h.Transport, Address: k.Address, Daemon: true, Headers: h.Headers, Set: c.fields(now)}
	f := p.Do(x, w, r, c.body)
	now = h.Now()
	k.Peer.End(f.Load, c.ask.Kind, now)
	if f.Load == "" && f.Code != 0 && f.Code != result.CallerGone && f.Code != result.DeadlineExceeded {
		k.Peer.Avoid(now.Add(avoidTime))
	}
	if f.Release != "" && f.Release != c.view.release {
		h.Daemon.Seen(f.Release)
	}
	if f.Load != "" {
		c.lost(f) // the daemon beside the worker says so, and not a broken link
	}
	if f.Age != "" {
		h.Daemon.Confirmed(f.Release, f.Age, sent)
	}
	return f
}

// lost counts the workers that broke off without an answer: the request may have
// crashed them.
func (c *call) lost(f hop.Result) {
	if f.Code == result.AnswerLost {
		c.crashes++
	}
}

// avoidTime is how long an instance whose daemon did not answer is avoided;
// by then the others have found out what became of it.
const avoidTime = 2 * time.Second

// fields returns the headers for the next daemon.
func (c *call) fields(now time.Time) []hop.Field {
	l := append(make([]hop.Field, 0, len(c.set)+3), c.set...)
	l = append(l, hop.Field{Name: contract.DeadlineHeader, Value: contract.Remaining(now, c.deadline)})
	if !c.ask.Goal.IsZero() {
		l = append(l, hop.Field{Name: contract.GoalHeader, Value: contract.Remaining(now, c.ask.Goal)})
	}
	if c.crashes > 0 {
		l = append(l, hop.Field{Name: contract.CrashesHeader, Value: strconv.Itoa(c.crashes)})
	}
	if c.ask.NoWait {
		l = append(l, hop.Field{Name: contract.QueueHeader, Value: "no"})
	}
	return l
}

// farShare is the part of its goal by which a request may be later at a near
// instance: while it reaches its goal there, that costs its caller nothing,
// and bytes between data centres have a price.
const farShare = 0.25

func (c *call) far() time.Duration {
	if g := c.route.Goal; g > 0 {
		return time.Duration(farShare * float64(g))
	}
	return link.FarCost
}

// retries returns what the service may spend on retries at this daemon.
func (h *Handler) retries(c *call) contract.Retries {
	r := c.view.Retries
	if c.service.RetryPercent > 0 {
		r.Percent = c.service.RetryPercent
	}
	return r
}

func (h *Handler) budget(service string) *contract.Budget {
	if b, ok := h.budgets.Load(service); ok {
		return b.(*contract.Budget)
	}
	b, _ := h.budgets.LoadOrStore(service, &contract.Budget{})
	return b.(*contract.Budget)
}
