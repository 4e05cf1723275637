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

// linkDeadline bounds a request whose deadline header was lost.
const linkDeadline = 10 * time.Minute

const rankLast = 1 << 20

// LinkHandler answers what other daemons send on: the worker beside this
// daemon runs it or it is refused; it is never sent on again.
type LinkHandler struct {
	Daemon  Daemon
	Worker  *upstream.Worker
	Now     func() time.Time
	Headers contract.Headers // that workers know
}

// ServeHTTP implements http.Handler.
func (h *LinkHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := h.Daemon.View()
	if h.Daemon.Closing() {
		w.Header().Set("Connection", "close") // of this link; it is not passed on
	}
	if s := r.Header.Get(contract.ReleaseHeader); s != "" && s != v.release {
		h.Daemon.Seen(s)
		v = h.Daemon.View()
	}
	w.Header().Set(contract.ReleaseHeader, v.release)
	if a := h.Daemon.Age(h.Now()); a != "" {
		w.Header().Set(contract.AgeHeader, a)
	}
	w.Header()["Date"] = nil // not used between daemons
	b := hop.NewBody(w, r)
	f := h.serve(w, r, b)
	switch {
	case f.Begun:
		finish(w, f, 0)
	case !f.OK():
		h.addLoad(w.Header(), r)
		if b.Unfinished() {
			w.Header().Set("Connection", "close")
		}
		refuseLink(w, f)
	}
}

// addLoad tells the load as it is when the answer to r goes out.
func (h *LinkHandler) addLoad(a http.Header, r *http.Request) {
	a.Set(contract.LoadHeader, h.Worker.Load(r.Header.Get(contract.KindHeader)).String())
}

func (h *LinkHandler) serve(w http.ResponseWriter, r *http.Request, b *hop.Body) hop.Result {
	now := h.Now()
	t := r.Header.Get(contract.DeadlineHeader)
	d, err := contract.Deadline(now, linkDeadline, t)
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	x, stop := context.WithDeadline(r.Context(), d)
	defer stop()
	q := upstream.Request{
		Ask:     upstream.Ask{Kind: r.Header.Get(contract.KindHeader), Deadline: d, NoWait: r.Header.Get(contract.QueueHeader) == "no"},
		Service: r.Header.Get(contract.ServiceHeader),
		Origin:  r.Header.Get(contract.OriginHeader),
		Body:    b,
		Now:     h.Now,
		Before:  func(a http.Header) { h.addLoad(a, r) },
	}
	q.Crashes, _ = strconv.Atoi(r.Header.Get(contract.CrashesHeader)) // most have none
	// A rank that cannot be read is that of the least important requests.
	if q.Rank, err = strconv.Atoi(r.Header.Get(contract.RankHeader)); err != nil {
		q.Rank = rankLast
	}
	if g, err := contract.Deadline(now, linkDeadline, r.Header.Get(contract.GoalHeader)); err == nil && r.Header.Get(contract.GoalHeader) != "" {
		q.Goal = g
	}
	if h.Headers == contract.OwnHeaders() {
		q.Set = []hop.Field{
			{Name: contract.DepthHeader, Value: r.Header.Get(contract.DepthHeader)},
			{Name: contract.VersionHeader, Value: r.Header.Get(contract.VersionHeader)},
		}
	}
	return h.Worker.Serve(x, w, r, now, q)
}
