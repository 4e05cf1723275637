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

// LinkHandler answers what other daemons send on: the worker beside this
// daemon runs it or it is refused; it is never sent on again.
type LinkHandler struct {
	Daemon Daemon
	Worker *upstream.Worker
	Now    func() time.Time
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
	w.Header().Set(contract.LoadHeader, strconv.Itoa(h.Worker.InFlight()))
	finish(w, h.serve(w, r))
}

func (h *LinkHandler) serve(w http.ResponseWriter, r *http.Request) hop.Result {
	now := h.Now()
	t := r.Header.Get(contract.DeadlineHeader)
	d, err := contract.Deadline(now, linkDeadline, t)
	if err != nil {
		return hop.NotRun(result.BadDeadline, err.Error())
	}
	b, err := hop.NewBody(w, r)
	if err != nil {
		return hop.NotRun(result.CallerGone, err.Error())
	}
	x, stop := context.WithDeadline(r.Context(), d)
	defer stop()
	set := []hop.Field{
		{Name: contract.DeadlineHeader, Value: contract.Remaining(now, d)},
		{Name: contract.DepthHeader, Value: r.Header.Get(contract.DepthHeader)},
		{Name: contract.VersionHeader, Value: r.Header.Get(contract.VersionHeader)},
	}
	return h.Worker.Serve(x, w, r, now, upstream.Request{
		Service: r.Header.Get(contract.ServiceHeader),
		Body:    b,
		Once:    r.Header.Get(contract.OnceHeader) != "false",
		Set:     set,
	})
}
