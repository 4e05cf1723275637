package daemon

import (
	"net/http"
	"time"

	"figwheel/contract"
	"figwheel/site"
	"figwheel/upstream"
)

// Edge is what a daemon speaks to those around it that are not daemons.
type Edge struct {
	Headers contract.Headers // that callers and workers know
	// Workers returns the handler that the worker calls. It hands what the
	// worker says to take, whose error says why that is not believed.
	Workers func(take func(a upstream.Announcement, now time.Time) error, now func() time.Time) http.Handler
	// ReadyPath is where the daemon is asked whether it takes calls.
	ReadyPath string
	// HoldBack keeps answers back until they are whole, see hop.Hop.
	HoldBack bool

	// ConfigKey is the object that holds the configuration in force, and
	// DecodeConfig reads it. Whoever writes it has accepted the configuration.
	// Empty means that configurations are submitted to daemons.
	ConfigKey    string
	DecodeConfig func(b []byte) (site.Table, error)
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
			d.notReady.Add(1)
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return m
}

// unreachable is told by calls that the worker takes no connections.
func (d *Daemon) unreachable(a upstream.Announcement) {
	select {
	case d.lost <- a:
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
