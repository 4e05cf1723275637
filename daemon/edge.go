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
	"figwheel/site"
	"figwheel/upstream"
)

// Edge is what a daemon speaks to those around it that are not daemons.
type Edge struct {
	Headers contract.Headers // that callers and workers know
	// Workers returns the handler that the worker calls. It hands what the
	// worker says to take, whose error says why that is not believed.
	Workers func(take func(a upstream.Announcement, now time.Time) error, now func() time.Time) http.Handler
	// AskWorker asks the worker at the address, by its health path, which start
	// of it is there and ready; the id is empty if none is. May be nil.
	AskWorker func(x context.Context, address, healthPath string) (id string, err error)
	// ReadyPath is where the daemon is asked whether it takes calls.
	ReadyPath string
	// HoldBack keeps answers back until they are whole, see hop.Hop.
	HoldBack bool

	// ConfigKey is the object that holds the configuration in force, and
	// DecodeConfig reads it. Whoever writes it has accepted the configuration.
	// Empty means that configurations are submitted to daemons.
	ConfigKey    string
	DecodeConfig func(b []byte) (t site.Table, faults []error, err error)
}

// ownEdge is figwheel's own interface.
func ownEdge() Edge {
	return Edge{
		Headers: contract.OwnHeaders(),
		Workers: func(take func(a upstream.Announcement, now time.Time) error, now func() time.Time) http.Handler {
			m := http.NewServeMux()
			m.Handle(upstream.AnnouncePath, upstream.AnnounceHandler{
				Take: func(a upstream.Announcement, t time.Time) { _ = take(a, t) }, // any is news, as it has no id
				Now:  now,
			})
			return m
		},
		ReadyPath: "/ready",
	}
}

// managed tells whether the configuration is written by others.
func (d *Daemon) managed() bool { return d.edge.ConfigKey != "" }

// readyHandler answers whether this daemon takes calls.
func (d *Daemon) readyHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+d.edge.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if d.Closing() || d.View().Snapshot == nil {
			d.notReadyAnswers.Add(1)
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// reportUnreachable is told by calls that the worker takes no connections.
func (d *Daemon) reportUnreachable(a upstream.Announcement) {
	select {
	case d.unreachableWorkers <- a:
	default: // one is enough
	}
}

// workerUnreachable keeps calls away until the worker is heard of again.
func (c *control) workerUnreachable(a upstream.Announcement, now time.Time) {
	if c.announcement != a || a.State == "" {
		return
	}
	c.workerLost(now, "unreachable")
}

const (
	// askWorkerTimeout bounds the question to the worker after a start.
	askWorkerTimeout = time.Second
	// provisionalSlots are taken for a worker that answers and has not said how
	// many it has, nor has another one of its service; few workers have less.
	provisionalSlots = 4
)

// askWorker asks the worker beside this daemon whether it is ready, once after a
// start: a worker that has been there all the while announces itself only when
// its turn comes, and would idle until then.
func (c *control) askWorker() {
	f, a, service := c.d.edge.AskWorker, c.settings.WorkerAddress, c.settings.Service
	s, ok := c.serving.Service(service)
	if f == nil || a == "" || !ok || s.HealthPath == "" || c.announcement.Service != "" {
		return
	}
	c.start(func(x context.Context) {
		y, stop := context.WithTimeout(x, askWorkerTimeout)
		defer stop()
		id, err := f(y, a, s.HealthPath)
		if err != nil {
			c.d.event(x, event.WorkerSilent, slog.String("Address", a), slog.String("Cause", err.Error()))
			return
		}
		_ = c.d.do(x, func(c *control) {
			if id == "" {
				c.workerUnready = c.announcement.Service == ""
				return
			}
			c.foundWorker(id, c.d.now())
		})
	})
}

// foundWorker takes the worker that answered for ready until it announces
// itself. The history of announcements does not hear of it: what orders those,
// the time of the start and the sequence, is not known.
func (c *control) foundWorker(id string, now time.Time) {
	if c.announcement.Service != "" {
		return // it was quicker
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
