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
	// attemptsDefault is the maximum number of workers that one request is sent
	// to if its route sets none.
	attemptsDefault = 4
	// offersMax is the maximum number of times that one request is offered to a
	// daemon, including offers that are rejected before they reach a worker.
	offersMax = 8
	// noWaitOffersMax is the number of daemons that are tried for a free slot
	// before the request may wait for one in the queue of a daemon.
	noWaitOffersMax = 3
	// waitOffersMax is the number of daemons that a request that may wait is offered
	// to before it is rejected as Overloaded. The remaining daemons have a higher
	// load, and each attempt costs both daemons time that is scarce under overload.
	waitOffersMax = 2
	// attemptTimeMin is the remaining time below which no further attempt is made.
	// Each daemon rounds the remaining time down to milliseconds, so that an
	// attempt may end just before the deadline.
	attemptTimeMin = 3 * time.Millisecond
	// outcomeGraceTime is how long after the deadline the answer of another daemon
	// is still awaited: it may state that the request was not run, which the
	// caller would otherwise not learn.
	outcomeGraceTime = 60 * time.Millisecond
)

// Daemon is the interface of the daemon to its handlers.
type Daemon interface {
	// View returns the current view, never nil.
	View() *View
	// ObserveRelease reports to the daemon the release that another daemon serves.
	ObserveRelease(release string)
	// ConfirmationAgeMs returns the age in milliseconds of the newest confirmation
	// that the release of this daemon is the newest one, empty if there is none.
	ConfirmationAgeMs(now time.Time) string
	// ObserveConfirmation reports to the daemon such an age, in milliseconds, which
	// another daemon sent for the release in its answer to a request that was sent
	// at the time t.
	ObserveConfirmation(release, age string, t time.Time)
	// IsDraining reports whether the daemon has begun to drain: it closes
	// connections, so that callers connect to another daemon.
	IsDraining() bool
}

// Recorder records how calls ended.
type Recorder interface {
	// RecordCall records a call of the service that took the given time and ended
	// with the code c, 0 for a complete answer, and the outcome o.
	RecordCall(service string, c result.Code, o contract.Outcome, took time.Duration)
	// RecordDecision records the details of a call.
	RecordDecision(d Decision)
}

// Handler serves the calls of callers.
type Handler struct {
	Daemon    Daemon
	Worker    *upstream.Worker
	Transport http.RoundTripper // to other daemons
	Record    Recorder          // may be nil
	Quota     Quota             // of client accounts; nil for none
	Offers    *Offers           // counts offers; may be nil
	Now       func() time.Time
	Random    *sync.Pool       // of *rand.Rand
	Headers   contract.Headers // names of the headers that callers use
	// ForwardedWaitMax is how long a request may wait at another daemon, see
	// contract.ForwardedWaitMax; 0 if only its deadline limits that.
	ForwardedWaitMax time.Duration

	budgets sync.Map // of *contract.Budget, by service
}

// call is the state of one request while it is served.
type call struct {
	view           *View
	route          *site.Route
	service        *site.Service
	account        *site.Account // nil for none
	body           *hop.Body
	admission      upstream.AdmissionRequest
	deadline       time.Time
	linkHeaders    []hop.Field // headers for other daemons that are the same in each attempt
	workerHeaders  []hop.Field // headers for the worker of this daemon
	random         *rand.Rand
	progress       *progress
	tried          []string      // instances that are not tried again
	rejectedFor    time.Duration // that the offers took which were rejected for want of room
	workersReached int           // attempts that may have reached a worker and after which a retry was considered
	repeatable     bool          // whether the request may run more than once
	mayHaveRun     bool          // whether an attempt ended without proof that the request did not run
	crashes        int           // workers that did not answer the request
	refusedFor     time.Duration // remaining time for which the request is rejected because it crashes workers
	isCounted      bool          // whether the request counts against the quota of its account
	quotaWait      time.Duration // time after which the quota of its account may admit the request again
}

// ServeHTTP implements http.Handler. If the answer is begun and cannot be
// completed, it panics with http.ErrAbortHandler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer endTurn(r)
	t := h.Now()
	v := h.Daemon.View()
	a := takeAhead(r)
	if h.Daemon.IsDraining() && !hasAhead(r) {
		w.Header().Set("Connection", "close")
	}
	if a != nil {
		h.answerAhead(w, r, a, v.Version(), t)
		return
	}
	w.Header().Set(contract.VersionHeader, v.Version())
	n := h.Random.Get().(*rand.Rand)
	defer h.Random.Put(n)
	p := progressOf(r)
	p.begin(r.Header.Get(h.Headers.RequestID), v.Version(), t)
	c := &call{view: v, random: n, progress: p}
	f := h.answer(w, r, c, t)
	h.record(r, c, f, t)
	if c.body.Unfinished() && !f.Begun {
		w.Header().Set("Connection", "close")
	}
	if f.Begun && !f.OK() {
		p.reach(stageFailed, f.Code.String()+" "+f.Text)
		resetOldCaller(w, r)
	}
	finish(w, f, h.retryAfter(c, f))
	endAnswer(w, p, c.body, h.Now())
}

// answer selects the route of the request and makes its attempts.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, c *call, now time.Time) hop.Result {
	if err := c.resolve(r); err != nil {
		return hop.NotRun(result.CodeOf(err), err.Error())
	}
	if err := c.identify(r.Header.Values(h.Headers.Key)); err != nil {
		return hop.NotRun(result.CodeOf(err), err.Error())
	}
	f := h.serve(w, r, c, now)
	h.settleQuota(c, f)
	return f
}

// resolve sets the route and the service of the request. The error has the code
// for the caller.
func (c *call) resolve(r *http.Request) error {
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

// timeLimit returns the maximum time for a request, which is the smaller of the
// limits of its route and its service.
func (c *call) timeLimit() time.Duration {
	l := c.service.Deadline
	if t := c.route.Timeout; t > 0 && (l == 0 || t < l) {
		l = t
	}
	if l == 0 {
		l = deadlineDefault
	}
	return l
}

// serve makes the attempts of one call within its deadline. It rejects the call
// if its headers are invalid, the quota of its account is used up, its body does not
// arrive in time or it is suspected of crashing workers.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call, now time.Time) hop.Result {
	d, err := contract.Deadline(now, c.timeLimit(), r.Header.Get(h.Headers.Deadline))
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	n, err := contract.Depth(r.Header.Get(contract.DepthHeader))
	if err != nil {
		return hop.NotRun(result.TooDeep, err.Error())
	}
	if f := h.takeQuota(c, now); !f.OK() {
		return f
	}
	x, stop := context.WithDeadline(r.Context(), d.Add(outcomeGraceTime))
	defer stop()
	c.body = hop.NewBody(w, r)
	if f := h.loadBody(x, c.body); !f.OK() {
		return f.At(hop.StageBody, h.Now().Sub(now))
	}
	if c.body.IsUnread() {
		watch(r)
	}
	if h.rejectSuspect(c, r, now) {
		return hop.NotRun(result.CrashesWorkers, "workers crashed when it was sent to them")
	}
	c.deadline = d
	c.admission = upstream.AdmissionRequest{Kind: c.route.Name, Rank: c.rank(), Deadline: d, Arrived: now}
	if c.route.Goal > 0 {
		c.admission.Goal = now.Add(c.route.Goal)
	}
	c.repeatable = c.mayRunTwice(r)
	if h.Headers == contract.OwnHeaders() {
		c.admission.Nested = n > 0
		c.workerHeaders = []hop.Field{
			{Name: contract.DepthHeader, Value: strconv.Itoa(n + 1)},
			{Name: contract.VersionHeader, Value: c.view.version},
		}
	}
	c.linkHeaders = slices.Concat(c.workerHeaders, []hop.Field{
		{Name: contract.ReleaseHeader, Value: c.view.release},
		{Name: contract.ServiceHeader, Value: c.service.Name},
		{Name: contract.RankHeader, Value: strconv.Itoa(c.admission.Rank)},
		{Name: contract.KindHeader, Value: c.admission.Kind},
		{Name: contract.OriginHeader, Value: c.view.Origin},
	})
	c.setAccount(h.Headers)
	w.Header().Set(contract.OutcomeHeader, contract.Run.String())
	return h.tryInstances(x, w, r, c)
}

// loadBody reads the body b of a request with the context x, unless it is read later.
// It gives up when x ends, or when this daemon gives up what waits.
func (h *Handler) loadBody(x context.Context, b *hop.Body) hop.Result {
	if b.IsLoaded() {
		return hop.Result{}
	}
	y, stop := h.Worker.UntilWaitsEnd(x)
	defer stop()
	err := b.Load(y)
	switch {
	case err == nil:
		return hop.Result{}
	case x.Err() == nil && y.Err() != nil:
		return hop.NotRun(result.Leaving, "the daemon stops, and the body has not arrived")
	}
	return hop.NotRun(result.CallerGone, err.Error())
}

// rejectSuspect reports whether the request is rejected because it is suspected
// of crashing workers, and sets the time for which it still is.
func (h *Handler) rejectSuspect(c *call, r *http.Request, now time.Time) bool {
	l := c.view.Suspects
	if l.Empty() {
		return false
	}
	c.refusedFor = l.RefusedFor(upstream.Request{Origin: c.view.Origin, Body: c.body}.Fingerprint(r), now)
	return c.refusedFor > 0
}

// mayRunTwice reports whether the request may run more than once: by its route,
// or as an idempotent request of its service.
func (c *call) mayRunTwice(r *http.Request) bool {
	switch c.route.Repeat {
	case site.RepeatAllowed:
		return true
	case site.RepeatForbidden:
		return false
	}
	return c.service.Idempotent(r.Method, r.URL.Path)
}

// tryInstances makes attempts at one instance after the other, as long as a
// further attempt is safe and within the retry budget of the service. It first
// looks for a free slot, and lets the request wait in a queue only if it finds
// none.
func (h *Handler) tryInstances(x context.Context, w http.ResponseWriter, r *http.Request, c *call) hop.Result {
	l := c.view.Candidates[c.service.Name]
	f := hop.NotRun(result.NoInstance, "no ready instance of "+c.service.Name)
	b := h.budget(c.service.Name)
	b.CreditRequest(h.retryLimits(c))
	mayWait, waitOffers := false, 0
	var last *link.Candidate
	for i := range offersMax {
		now := h.Now()
		k, passed := h.choose(l, c, now)
		if passed.Code != 0 && f.Code == result.NoInstance {
			f = passed
		}
		if k == nil && !mayWait && f.Code == result.Overloaded {
			// All instances are full: wait at the one with the lowest expected time.
			mayWait = true
			c.tried = c.tried[:0]
			k, passed = h.choose(l, c, now)
		}
		if k == nil && passed.Code == result.Leaving && f.Outcome == contract.NotRun {
			return passed // this daemon ends the attempts, not the load of the others
		}
		if k == nil || waitOffers > 0 && f.Code == result.Overloaded && !k.MayHaveRoom(last, now) {
			return f
		}
		last = k
		mayWait = mayWait || i >= noWaitOffersMax || !k.HasFreeSlot(now)
		if mayWait {
			waitOffers++
		}
		c.tried = append(c.tried, k.Name)
		h.Offers.begin(k, now)
		f = h.attempt(x, w, r, c, k, !mayWait)
		h.Offers.end(f)
		f = c.recordAttempt(f)
		if f.Code == result.Overloaded {
			c.rejectedFor += h.Now().Sub(now)
		}
		if f.OK() || f.Begun || x.Err() != nil || !h.mayRetry(c, f, b, l) || f.Code == result.Overloaded && (waitOffers >= waitOffersMax || c.offersEnd()) {
			return f
		}
	}
	return f
}

// choose returns the candidate of l for the next attempt at now. It passes over those
// whose answer cannot arrive in time by their transit time alone, and those at which
// the request would be cut off at the end of a drain of this daemon. If there is no
// other, it returns nil and why the last of them was passed over.
func (h *Handler) choose(l link.Candidates, c *call, now time.Time) (*link.Candidate, hop.Result) {
	d := h.Worker.Drain()
	q := c.linkRequest(now)
	k := l.ChooseFor(now, &q, c.random)
	if k == nil {
		return nil, hop.Result{}
	}
	f := passOver(l, c, k, d, now)
	if f.Code == 0 {
		return k, f
	}
	return chooseOther(l, c, d, now, f)
}

// chooseOther is choose after the first choice was passed over for the reason passed.
func chooseOther(l link.Candidates, c *call, d contract.Drain, now time.Time, passed hop.Result) (*link.Candidate, hop.Result) {
	q := c.linkRequest(now)
	q.Usable = func(k *link.Candidate) bool {
		g := passOver(l, c, k, d, now)
		if g.Code != 0 {
			passed = g
		}
		return g.Code == 0
	}
	if k := l.ChooseFor(now, &q, c.random); k != nil {
		return k, hop.Result{}
	}
	return nil, passed
}

// linkRequest describes the next attempt of the call at now.
func (c *call) linkRequest(now time.Time) link.Request {
	q := link.Request{Kind: c.admission.Kind, Far: c.otherSiteCost(), Tried: c.tried}
	if g := c.admission.Goal; !g.IsZero() {
		q.Goal = g.Sub(now)
	}
	return q
}

// passOver returns why the candidate k is not tried at now while this daemon drains by
// d, or a zero Result if it is.
func passOver(l link.Candidates, c *call, k *link.Candidate, d contract.Drain, now time.Time) hop.Result {
	if t := transitTime(k, now); t > 0 && c.deadline.Sub(now)-t < attemptTimeMin {
		return hop.NotRun(result.DeadlineExceeded, "no answer can come in time")
	}
	if d.End.IsZero() {
		return hop.Result{}
	}
	b := contract.Begin{Arrived: c.admission.Arrived, Deadline: c.deadline, Expected: l.ExpectedTime(k, c.admission.Kind, now), Nested: c.admission.Nested}
	if !d.Allows(now, b) {
		return hop.NotRun(result.Leaving, d.Text(now, b))
	}
	return hop.Result{}
}

// mayRetry reports whether to make another attempt after one with the result f.
// If that attempt reached a worker, the next one is taken from the budget b.
func (h *Handler) mayRetry(c *call, f hop.Result, b *contract.Budget, l link.Candidates) bool {
	if c.crashes >= poison.RefuseLevel || !contract.MayRetry(f.Outcome, c.repeatable) || !c.body.Replayable() {
		return false
	}
	if c.deadline.Sub(h.Now()) < attemptTimeMin {
		return false
	}
	if !contract.ReachedWorker(f.Code, f.Outcome) {
		return true
	}
	c.workersReached++
	attemptsMax := c.route.Attempts
	if attemptsMax == 0 {
		attemptsMax = attemptsDefault
	}
	return c.workersReached < attemptsMax && len(c.tried) < l.Len() && b.TakeRetry(f.Outcome)
}

// recordAttempt returns the result of an attempt with the outcome of the call so
// far: once an attempt may have run the request, no later attempt can prove that
// it did not run.
func (c *call) recordAttempt(f hop.Result) hop.Result {
	if f.OK() {
		return f
	}
	c.mayHaveRun = c.mayHaveRun || f.Outcome != contract.NotRun
	if c.mayHaveRun {
		f.Outcome = contract.Unknown
	}
	return f
}

// attempt sends the request to the instance k and updates the load that is known
// of it. With noWait, the instance must not queue the request.
func (h *Handler) attempt(x context.Context, w http.ResponseWriter, r *http.Request, c *call, k *link.Candidate, noWait bool) hop.Result {
	now := h.Now()
	k.Peer.Begin(now)
	c.progress.reach(stageAttempt, "")
	c.admission.NoWait = noWait
	if k.Local {
		y, stop := context.WithDeadline(x, c.deadline)
		defer stop()
		f := h.Worker.Serve(y, w, r, now, upstream.Request{AdmissionRequest: c.admission, Service: c.service.Name, Origin: c.view.Origin, Body: c.body, Set: c.workerHeaders, Now: h.Now, Crashes: c.crashes, CancelIfLeft: func() { cancelIfLeft(r) }})
		now = h.Now()
		k.Peer.End(h.Worker.Load(now, c.admission.Kind).String(), c.admission.Kind, now)
		c.countCrash(f)
		return f
	}
	sent := now
	cancelIfLeft(r)
	p := hop.Hop{
		Transport:    h.Transport,
		Address:      k.Address,
		Daemon:       true,
		Headers:      h.Headers,
		Set:          c.attemptHeaders(now.Add(transitTime(k, now)), h.forwardedWaitEnd(now)),
		CancelIfLeft: func() { cancelIfLeft(r) },
		Now:          h.Now,
	}
	y, stop := h.untilWaitsEnd(x, c.body)
	defer stop()
	f := p.Do(y, w, r, c.body)
	now = h.Now()
	f = f.At(hop.StageLink, now.Sub(sent))
	k.Peer.End(f.Load, c.admission.Kind, now)
	observeTransit(k, f, sent)
	if f.Load == "" && f.Code != 0 && f.Code != result.CallerGone && f.Code != result.DeadlineExceeded {
		k.Peer.Eject(now.Add(ejectTime))
	}
	if f.Release != "" && f.Release != c.view.release {
		h.Daemon.ObserveRelease(f.Release)
	}
	if f.Load != "" {
		c.countCrash(f) // only a daemon reports a load: its worker failed, not the link
	}
	if f.Age != "" {
		h.Daemon.ObserveConfirmation(f.Release, f.Age, sent)
	}
	if f.Code == result.CallerGone && f.Outcome == contract.NotRun && x.Err() == nil {
		f.Code, f.Text = result.Leaving, "the daemon stops, and "+k.Name+" has not asked for the body"
	}
	return f
}

// forwardedWaitEnd returns the time until which a request that is sent to another
// daemon at now may wait there, zero if only its deadline limits that.
func (h *Handler) forwardedWaitEnd(now time.Time) time.Time {
	if d := h.Worker.Drain(); !d.End.IsZero() {
		return d.WaitEnd()
	}
	if h.ForwardedWaitMax == 0 {
		return time.Time{}
	}
	return now.Add(h.ForwardedWaitMax)
}

// untilWaitsEnd returns a context for sending a request with the body b to another
// daemon. If that has not asked for a large body by the time at which this daemon
// gives up what waits, the context is cancelled: the request has not run.
func (h *Handler) untilWaitsEnd(x context.Context, b *hop.Body) (context.Context, func()) {
	if !b.Withheld() {
		return x, func() {}
	}
	y, cancel := context.WithCancel(x)
	stop := context.AfterFunc(h.Worker.Waits(), func() {
		if b.Withheld() {
			cancel()
		}
	})
	return y, func() {
		stop()
		cancel()
	}
}

// countCrash counts a worker that ended the connection without an answer: the
// request may have crashed it.
func (c *call) countCrash(f hop.Result) {
	if f.Code == result.AnswerLost {
		c.crashes++
	}
}

// ejectTime is how long an instance whose daemon did not answer is ejected. By
// then the membership protocol has detected whether it failed.
const ejectTime = 2 * time.Second

// attemptHeaders returns the headers of an attempt at another daemon, where the request
// may wait until waitEnd, see forwardedWaitEnd. The time that it may take there counts
// from the time t: when it is sent, and later by its transit time, which the other
// daemon does not know.
func (c *call) attemptHeaders(t, waitEnd time.Time) []hop.Field {
	l := append(make([]hop.Field, 0, len(c.linkHeaders)+3), c.linkHeaders...)
	l = append(l, hop.Field{Name: contract.DeadlineHeader, Value: contract.RemainingMs(t, c.deadline)})
	if !c.admission.Goal.IsZero() {
		l = append(l, hop.Field{Name: contract.GoalHeader, Value: contract.RemainingMs(t, c.admission.Goal)})
	}
	if c.crashes > 0 {
		l = append(l, hop.Field{Name: contract.CrashesHeader, Value: strconv.Itoa(c.crashes)})
	}
	q := contract.Queue{NoWait: c.admission.NoWait}
	if waitEnd.Before(c.deadline) {
		q.WaitEnd = waitEnd
	}
	if s := q.String(t); s != "" {
		l = append(l, hop.Field{Name: contract.QueueHeader, Value: s})
	}
	return l
}

// otherSiteGoalShare is the share of the latency target by which a request may
// take longer at an instance of this site before one of another site is chosen:
// while it still meets its target here, the delay costs its caller nothing, but
// traffic between data centres costs money.
const otherSiteGoalShare = 0.25

// otherSiteCost returns the time that is added to the expected time at an instance
// of another site when an instance is chosen.
func (c *call) otherSiteCost() time.Duration {
	if g := c.route.Goal; g > 0 {
		return time.Duration(otherSiteGoalShare * float64(g))
	}
	return link.OtherSiteCost
}

// retryLimits returns the limits on retries for the service of the call at this
// daemon.
func (h *Handler) retryLimits(c *call) contract.RetryLimits {
	r := c.view.Retries
	if c.service.RetryPercent > 0 {
		r.Percent = c.service.RetryPercent
	}
	return r
}

// budget returns the retry budget of the service, which it creates at the first
// use.
func (h *Handler) budget(service string) *contract.Budget {
	if b, ok := h.budgets.Load(service); ok {
		return b.(*contract.Budget)
	}
	b, _ := h.budgets.LoadOrStore(service, &contract.Budget{})
	return b.(*contract.Budget)
}
