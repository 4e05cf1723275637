package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/result"
	"figwheel/upstream"
)

// deadlineDefault is the time limit of a request whose route and service set
// none, and of a forwarded request whose deadline header was lost. Deadline and
// goal headers of a forwarded request are capped at it.
const deadlineDefault = 10 * time.Minute

// rankLeastImportant is the rank of a forwarded request whose rank header cannot
// be read.
const rankLeastImportant = 1 << 20

// LinkHandler serves the requests that other daemons forward. It passes a
// request to the worker of this daemon or rejects it; it never forwards it to
// another daemon.
type LinkHandler struct {
	Daemon  Daemon
	Worker  *upstream.Worker
	Now     func() time.Time
	Headers contract.Headers // names of the headers that workers use
	// Abandoned is called when the daemon that sent a request has given it up; may
	// be nil.
	Abandoned func(a Abandoned)
}

// Abandoned describes a forwarded request that was given up by the daemon that
// sent it.
type Abandoned struct {
	RequestID string
	Service   string
	Outcome   contract.Outcome
	Stage     hop.Stage     // at which the request was, see hop.Result
	InStage   time.Duration // for which it was at that stage
	Took      time.Duration // since the request was read
	Limit     string        // value of the deadline header, in milliseconds
}

// ServeHTTP implements http.Handler. If the answer is begun and cannot be
// completed, it panics with http.ErrAbortHandler.
func (h *LinkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := h.Now()
	v := h.Daemon.View()
	if h.Daemon.IsDraining() {
		w.Header().Set("Connection", "close") // applies to this link and is not forwarded
	}
	if s := r.Header.Get(contract.ReleaseHeader); s != "" && s != v.release {
		h.Daemon.ObserveRelease(s)
		v = h.Daemon.View()
	}
	w.Header().Set(contract.ReleaseHeader, v.release)
	if a := h.Daemon.ConfirmationAgeMs(t); a != "" {
		w.Header().Set(contract.AgeHeader, a)
	}
	w.Header()["Date"] = nil // not used between daemons
	b := hop.NewBody(w, r)
	if b.IsUnread() {
		watch(r)
	}
	f := h.serve(w, r, b, t)
	h.recordAbandoned(r, f, t)
	switch {
	case f.Begun:
		finish(w, f, 0)
	case !f.OK():
		h.addLoad(w.Header(), r, t)
		if b.Unfinished() {
			w.Header().Set("Connection", "close")
		}
		writeLinkFailure(w, f)
	}
	endAnswer(w, progressOf(r), b, h.Now())
}

// addLoad sets the load header of the answer to r, which was read at the time t. It
// is called just before the answer is sent, so that the load is current.
func (h *LinkHandler) addLoad(a http.Header, r *http.Request, t time.Time) {
	now := h.Now()
	l := h.Worker.Load(now, r.Header.Get(contract.KindHeader))
	l.Took = max(time.Microsecond, now.Sub(t)) // 0 stands for unknown
	a.Set(contract.LoadHeader, l.String())
}

// recordAbandoned reports a request that was read at the time t and has the result
// f, if it was given up.
func (h *LinkHandler) recordAbandoned(r *http.Request, f hop.Result, t time.Time) {
	if f.Code != result.CallerGone || h.Abandoned == nil {
		return
	}
	h.Abandoned(Abandoned{
		RequestID: r.Header.Get(h.Headers.RequestID),
		Service:   r.Header.Get(contract.ServiceHeader),
		Outcome:   f.Outcome,
		Stage:     f.Stage,
		InStage:   f.InStage,
		Took:      h.Now().Sub(t),
		Limit:     r.Header.Get(contract.DeadlineHeader),
	})
}

// serve passes the request, which was read at now, to the worker within the deadline
// of its headers.
func (h *LinkHandler) serve(w http.ResponseWriter, r *http.Request, b *hop.Body, now time.Time) hop.Result {
	t := r.Header.Get(contract.DeadlineHeader)
	d, err := contract.Deadline(now, deadlineDefault, t)
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	x, stop := context.WithDeadline(r.Context(), d)
	defer stop()
	k := contract.ParseQueue(now, r.Header.Get(contract.QueueHeader))
	q := upstream.Request{
		AdmissionRequest: upstream.AdmissionRequest{Kind: r.Header.Get(contract.KindHeader), Deadline: d, Arrived: now, NoWait: k.NoWait, WaitEnd: k.WaitEnd, Answer: &upstream.Answer{}},
		Service:          r.Header.Get(contract.ServiceHeader),
		Origin:           r.Header.Get(contract.OriginHeader),
		Body:             b,
		Now:              h.Now,
		Before:           func(a http.Header) { h.addLoad(a, r, now) },
		CancelIfLeft:     func() { cancelIfLeft(r) },
	}
	q.Crashes, _ = strconv.Atoi(r.Header.Get(contract.CrashesHeader)) // 0 without the header, as in most requests
	// A request without a readable rank is treated as one of the least important.
	if q.Rank, err = strconv.Atoi(r.Header.Get(contract.RankHeader)); err != nil {
		q.Rank = rankLeastImportant
	}
	if g, err := contract.Deadline(now, deadlineDefault, r.Header.Get(contract.GoalHeader)); err == nil && r.Header.Get(contract.GoalHeader) != "" {
		q.Goal = g
	}
	if h.Headers == contract.OwnHeaders() {
		q.Set = []hop.Field{
			{Name: contract.DepthHeader, Value: r.Header.Get(contract.DepthHeader)},
			{Name: contract.VersionHeader, Value: r.Header.Get(contract.VersionHeader)},
		}
	}
	q.Set = forwardedAccount(q.Set, h.Headers, r)
	return h.Worker.Serve(x, w, r, now, q)
}
