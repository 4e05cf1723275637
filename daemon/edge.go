package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"time"

	"figwheel/contract"
	"figwheel/event"
	"figwheel/instance"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

// Edge is the interface of a daemon towards callers, workers and the writers of
// its configuration.
type Edge struct {
	Headers contract.Headers // the header names that callers and workers use
	// Workers returns the handler that the worker calls. The handler passes
	// announcements to take, which returns an error for one that it rejects.
	Workers func(take func(a upstream.Announcement, now time.Time) error, now func() time.Time) http.Handler
	// AskWorker requests the health path of the worker at the address. It may
	// return the notice of a worker with the error that it was rejected by it. It
	// may be nil.
	AskWorker func(x context.Context, address, healthPath string) (upstream.Health, error)
	// ReadyPath is the HTTP path that reports whether the daemon takes calls.
	ReadyPath string
	// HoldBack delays answers until they are complete, see hop.Hop.
	HoldBack bool

	// ConfigKey is the key of the platform object that holds a managed
	// configuration, and DecodeConfig decodes its value. A configuration that is
	// written there is accepted. Empty means that configurations are submitted to
	// daemons.
	ConfigKey    string
	DecodeConfig func(b []byte) (t site.Table, faults []error, err error)
}

// ownEdge returns figwheel's own interface.
func ownEdge() Edge {
	return Edge{
		Headers: contract.OwnHeaders(),
		Workers: func(take func(a upstream.Announcement, now time.Time) error, now func() time.Time) http.Handler {
			m := http.NewServeMux()
			m.Handle(upstream.AnnouncePath, upstream.AnnounceHandler{
				Take: func(a upstream.Announcement, t time.Time) { _ = take(a, t) }, // without an ID no announcement is rejected
				Now:  now,
			})
			return m
		},
		ReadyPath: "/ready",
	}
}

// isManaged reports whether the configuration is managed: written to the platform
// by others and not submitted to daemons.
func (d *Daemon) isManaged() bool { return d.edge.ConfigKey != "" }

// readyHandler returns the handler that reports whether this daemon takes calls.
// It counts the answers that it does not.
func (d *Daemon) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+d.edge.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if d.IsDraining() || d.View().Snapshot == nil {
			d.notReadyAnswers.Add(1)
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// reportUnreachable reports to the control goroutine that the worker with the
// announcement a takes no connections. It does not block: it is called on the
// path of calls.
func (d *Daemon) reportUnreachable(a upstream.Announcement) {
	select {
	case d.unreachableWorkers <- a:
	default: // one queued report is enough
	}
}

// signalNotice tells the control goroutine that the worker states something else
// about itself. It does not block: it is called on the path of calls.
func (d *Daemon) signalNotice() {
	select {
	case d.workerNotices <- struct{}{}:
	default: // the goroutine has not read the notice before yet, and will read this one
	}
}

// applyNotice applies the last notice of the worker.
func (c *control) applyNotice(now time.Time) {
	n, ok := c.d.worker.Notice()
	if !ok {
		return
	}
	sent := c.d.worker.Sent()
	a := []slog.Attr{
		slog.String("ID", n.Worker.ID),
		slog.String("RateLimit", n.RateLimit),
		slog.String("Leaving", n.Leaving),
		slog.Int64("Sent", sent-c.noticedSent),
		slog.Duration("Period", now.Sub(c.noticedAt)),
	}
	if _, _, err := n.RequestsPerSecond(); err != nil {
		a = append(a, slog.String("Cause", err.Error()))
	}
	c.noticedAt, c.noticedSent = now, sent
	c.d.event(c.x, event.WorkerNoticed, a...)
	if n.IsLeaving() {
		c.workerLeaving(n.Worker, now)
	}
}

// workerLeaving marks the worker that announced a as draining: it has stated in an
// answer that it is leaving, which may come before its announcement or instead of
// it.
func (c *control) workerLeaving(a upstream.Announcement, now time.Time) {
	o := c.announcement
	switch {
	case o.Service == "":
		c.dropHeld() // it may be from before the worker was leaving
	case o.State == instance.Ready.String() && !a.IsOtherStart(o) && !o.IsOtherStart(a):
		c.leavingWorker = &o
		c.announcement.State = instance.Draining.String()
		c.updateSelf(now)
	}
}

// hasLeavingWorker reports whether the announcement a comes from a start of the
// worker that has stated that it is leaving. A worker without an id cannot announce
// another start: it is taken for one once it was lost or announced another state.
func (c *control) hasLeavingWorker(a upstream.Announcement) bool {
	if c.leavingWorker == nil || a.IsOtherStart(*c.leavingWorker) {
		return false
	}
	return a.ID != "" || c.announcement.State == instance.Draining.String()
}

// workerUnreachable marks the worker that announced a as lost, unless another start of it
// has announced itself since the calls that found it unreachable. Only the start counts:
// a running worker repeats its announcement, each time with another sequence.
func (c *control) workerUnreachable(a upstream.Announcement, now time.Time) {
	o := c.announcement
	if a.State == "" || !a.IsSameWorker(o) {
		c.d.event(c.x, event.ReportOutdated, slog.String("ID", a.ID), slog.Uint64("Sequence", a.Sequence), slog.String("LastID", o.ID), slog.Uint64("LastSequence", o.Sequence), slog.String("LastState", o.State))
		return
	}
	c.workerLost(now, "unreachable")
}

const (
	// askWorkerTimeout bounds one health check of the worker.
	askWorkerTimeout = time.Second
	// askWorkerInterval is the least time between two health checks of a worker, as long
	// as they confirm no announcement.
	askWorkerInterval = 250 * time.Millisecond
	// provisionalSlots is assumed for a worker that answers a health check, as
	// long as neither it nor another instance of its service has announced its
	// slots. Few workers have fewer.
	provisionalSlots = 4
)

// canAskWorker reports whether the daemon can send health checks to the worker.
func (d *Daemon) canAskWorker() bool {
	return d.edge.AskWorker != nil && d.settings.WorkerAddress != ""
}

// needsConfirmation reports whether the worker can confirm the announcement a, and has to
// if it has not done so. The order of announcements alone decides on a start that is known
// to be replaced. It does not on one that has announced that it leaves: a DELETE does not say
// of which start it is, and may be late.
func (c *control) needsConfirmation(a upstream.Announcement) bool {
	if !c.d.canAskWorker() || c.history.IsReplaced(a) {
		return false
	}
	if c.serving == nil {
		return true
	}
	s, ok := c.workerService(a)
	return !ok || s.HealthPath != ""
}

// workerService returns the service whose health check the worker that announced a
// answers: its own, or that of the settings if the configuration does not have it.
func (c *control) workerService(a upstream.Announcement) (*site.Service, bool) {
	if s, ok := c.serving.Service(a.Service); ok {
		return s, true
	}
	return c.serving.Service(c.settings.Service)
}

// heldAnnouncement returns the announcement that waits for the worker's confirmation.
// Its ID is empty if there is none.
func (c *control) heldAnnouncement(now time.Time) upstream.Announcement {
	return c.confirmation.Held(now, c.workerLapse())
}

// askWorker asks the worker beside this daemon whether it is ready: after a start of
// the daemon, and when an announcement needs confirmation. A worker that was running
// before repeats its announcement only periodically and would get no calls until then.
// A worker that has announced itself already is asked too: announcements do not have
// its rate limit.
func (c *control) askWorker() {
	if c.workerBeingAsked || c.serving == nil || !c.d.canAskWorker() {
		return
	}
	now := c.d.now()
	s, ok := c.workerService(c.heldAnnouncement(now))
	if !ok || s.HealthPath == "" {
		c.workerAsked = true
		if a := c.heldAnnouncement(now); ok && a.ID != "" {
			c.confirmation.Answer("")
			_ = c.applyAnnouncement(a, now) // logged; nothing can confirm it
		}
		c.updateSelf(now)
		return
	}
	c.workerBeingAsked = true
	c.confirmation.Ask()
	address := c.settings.WorkerAddress
	c.start(func(x context.Context) {
		var h upstream.Health
		var err error = result.New(result.BadAnswer, "the health check panicked")
		defer func() {
			_ = c.d.do(x, func(c *control) { c.applyHealth(h, err == nil, c.d.now()) })
		}()
		y, stop := context.WithTimeout(x, askWorkerTimeout)
		defer stop()
		if h, err = c.d.edge.AskWorker(y, address, s.HealthPath); err != nil {
			c.d.event(x, event.WorkerSilent, slog.String("Address", address), slog.String("Cause", err.Error()))
		}
	})
}

// askWorkerAgain asks the worker if an announcement waits for its confirmation and the
// last health check is long enough ago.
func (c *control) askWorkerAgain(now time.Time) {
	if c.heldAnnouncement(now).ID != "" && !now.Before(c.nextAsk) {
		c.askWorker()
	}
}

// applyHealth applies the response h of the worker to a health check. If ran is
// false, only its notice counts.
func (c *control) applyHealth(h upstream.Health, ran bool, now time.Time) {
	if h.Notice != (contract.Notice{}) {
		c.d.worker.RecordHealth(h, now) // before the worker gets its first request
	}
	c.workerAsked, c.workerBeingAsked = true, false
	c.nextAsk = now.Add(askWorkerInterval)
	switch {
	case ran && h.ID != "" && !h.Notice.IsLeaving():
		c.confirmWorker(h.ID, now)
	case ran || h.Notice.IsLeaving():
		_, _, l := c.confirmation.Answer("")
		c.logUnready(l, "")
	}
	c.updateSelf(now)
}

// confirmWorker applies the answer of the worker whose start has the ID that it is
// ready.
func (c *control) confirmWorker(id string, now time.Time) {
	a, t, dropped := c.confirmation.Answer(id)
	_, known := c.serving.Service(a.Service)
	if a.ID != "" && !known {
		dropped = append(dropped, a)
	}
	c.logUnready(dropped, id)
	if known {
		c.nextAsk = time.Time{}
		c.history.Accept(a)
		c.announce(a, t)
		return
	}
	if c.history.IsLeaving(id) {
		c.confirmation.Forget() // it has announced that it leaves since it answered
		return
	}
	c.foundWorker(id, now)
}

// dropHeld drops the announcements that are held: the worker is not ready.
func (c *control) dropHeld() { c.logUnready(c.confirmation.Drop(), "") }

// logUnready logs that the announcements l are dropped because the worker is not ready, or
// because its start with the id answered.
func (c *control) logUnready(l []upstream.Announcement, id string) {
	for _, a := range l {
		c.d.event(c.x, event.WorkerUnready, slog.String("ID", a.ID), slog.Uint64("Sequence", a.Sequence), slog.String("Service", a.Service), slog.String("Answered", id))
	}
	if len(l) == 0 && id == "" {
		c.d.event(c.x, event.WorkerUnready)
	}
}

// foundWorker treats the worker whose start has the ID as ready until it
// announces itself. It does not add an entry to the history of announcements:
// that is ordered by the time of the start and the sequence, which are not known.
func (c *control) foundWorker(id string, now time.Time) {
	if c.announcement.Service != "" {
		return // it has announced itself meanwhile
	}
	a := upstream.Announcement{ID: id, Service: c.settings.Service, Address: c.settings.WorkerAddress, State: instance.Ready.String()}
	for _, r := range c.table.All() {
		if r.Service == a.Service && r.Slots > 0 {
			a.Slots = int(r.Slots)
			break
		}
	}
	a.Slots = cmp.Or(a.Slots, provisionalSlots)
	c.announcement, c.announcedAt = a, now
	c.d.event(c.x, event.WorkerFound, slog.String("Service", a.Service), slog.String("ID", id), slog.Int("Slots", a.Slots))
	c.updateSelf(now)
}
