package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

// attemptsMax bounds the attempts of one call, the first included.
const attemptsMax = 4

// Daemon is what the handlers need of the daemon around them.
type Daemon interface {
	// View returns the current view, never nil.
	View() *View
	// Seen hands over the release that another daemon serves.
	Seen(release string)
	// Closing tells whether callers should look for another daemon.
	Closing() bool
}

// Recorder counts how calls ended; code 0 is a whole answer.
type Recorder interface {
	Call(service string, c result.Code, o contract.Outcome, took time.Duration)
}

// Handler answers the calls of callers.
type Handler struct {
	Daemon    Daemon
	Worker    *upstream.Worker
	Transport http.RoundTripper // to other daemons
	Record    Recorder          // may be nil
	Now       func() time.Time
	Random    *sync.Pool // of *rand.Rand

	budgets sync.Map // of *contract.Budget, by service
}

// call is one request on its way.
type call struct {
	view    *View
	service *site.Service
	body    *hop.Body
	set     []hop.Field
	random  *rand.Rand
	tried   [attemptsMax]string
	again   bool // another attempt may run it again
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
	s, err := route(v, r, n)
	if err != nil {
		notRun(w, err)
		h.record("", hop.NotRun(result.CodeOf(err), ""), t)
		return
	}
	f := h.serve(w, r, &call{view: v, service: s, random: n}, t)
	h.record(s.Name, f, t)
	finish(w, f)
}

func (h *Handler) record(service string, f hop.Result, began time.Time) {
	if h.Record != nil {
		h.Record.Call(service, f.Code, f.Outcome, h.Now().Sub(began))
	}
}

// route returns the service that the request is for.
func route(v *View, r *http.Request, n *rand.Rand) (*site.Service, error) {
	if v.Snapshot == nil {
		return nil, result.New(result.NoConfiguration, "this daemon has no configuration yet")
	}
	t, ok := v.Snapshot.Match(r)
	if !ok {
		return nil, result.New(result.NoRoute, "no route for %s %s%s at version %s", r.Method, r.Host, r.URL.Path, v.Version())
	}
	p := t.Pick(n.Uint64())
	s, ok := v.Snapshot.Service(p)
	if !ok {
		return nil, result.New(result.RouteWithoutService, "route %s leads to %s, which is not here", t.Name, p)
	}
	return s, nil
}

// serve makes the attempts of one call within its deadline.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call, now time.Time) hop.Result {
	d, err := contract.Deadline(now, c.service.Deadline, r.Header.Get(contract.DeadlineHeader))
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	n, err := contract.Depth(r.Header.Get(contract.DepthHeader))
	if err != nil {
		return hop.NotRun(result.TooDeep, err.Error())
	}
	x, stop := context.WithDeadline(r.Context(), d)
	defer stop()
	c.body, err = hop.NewBody(w, r)
	if err != nil {
		return hop.NotRun(result.CallerGone, err.Error())
	}
	c.again = c.service.Idempotent(r.Method, r.URL.Path)
	c.set = []hop.Field{
		{Name: contract.DeadlineHeader, Value: contract.Remaining(now, d)},
		{Name: contract.DepthHeader, Value: strconv.Itoa(n + 1)},
		{Name: contract.VersionHeader, Value: c.view.version},
		{Name: contract.ReleaseHeader, Value: c.view.release},
		{Name: contract.ServiceHeader, Value: c.service.Name},
		{Name: contract.OnceHeader, Value: strconv.FormatBool(!c.again)},
	}
	w.Header().Set(contract.OutcomeHeader, contract.Run.String())
	return h.attempts(x, w, r, c)
}

// attempts tries instances one after the other, as long as that is safe and
// the budget of the service allows it.
func (h *Handler) attempts(x context.Context, w http.ResponseWriter, r *http.Request, c *call) hop.Result {
	l := c.view.Candidates[c.service.Name]
	f := hop.NotRun(result.NoInstance, "no ready instance of "+c.service.Name)
	b := h.budget(c.service.Name)
	b.Earn(c.service.RetryPercent)
	for i := range attemptsMax {
		k := l.Choose(c.random, c.tried[:i])
		if k == nil {
			return f
		}
		c.tried[i] = k.Name
		f = worse(f, h.attempt(x, w, r, c, k))
		if f.OK() || f.Begun || x.Err() != nil || !contract.MayRetry(f.Outcome, c.again) || !c.body.Replayable() {
			return f
		}
		if i+1 < l.Len() && !b.Spend() {
			return f
		}
	}
	return f
}

// worse returns n, but no proof that the request did not run once an earlier
// attempt left that open.
func worse(o, n hop.Result) hop.Result {
	if !n.OK() && o.Code != 0 && o.Outcome == contract.Unknown {
		n.Outcome = contract.Unknown
	}
	return n
}

func (h *Handler) attempt(x context.Context, w http.ResponseWriter, r *http.Request, c *call, k *link.Candidate) hop.Result {
	k.Peer.Begin()
	if k.Local {
		f := h.Worker.Serve(x, w, r, h.Now(), upstream.Request{Service: c.service.Name, Body: c.body, Once: !c.again, Set: c.set[:passedOn]})
		k.Peer.End(strconv.Itoa(h.Worker.InFlight()))
		return f
	}
	p := hop.Hop{Transport: h.Transport, Address: k.Address, Daemon: true, Once: !c.again, Set: c.set}
	f := p.Do(x, w, r, c.body)
	k.Peer.End(f.Load)
	if f.Release != "" && f.Release != c.view.release {
		h.Daemon.Seen(f.Release)
	}
	return f
}

// passedOn is how many fields of a call's set a worker gets: deadline, depth
// and version, which it passes on when it calls others.
const passedOn = 3

func (h *Handler) budget(service string) *contract.Budget {
	if b, ok := h.budgets.Load(service); ok {
		return b.(*contract.Budget)
	}
	b, _ := h.budgets.LoadOrStore(service, &contract.Budget{})
	return b.(*contract.Budget)
}
