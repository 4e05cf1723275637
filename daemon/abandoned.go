package daemon

import (
	"context"
	"log/slog"

	"figwheel/caller"
	"figwheel/event"
)

// logAbandoned logs a forwarded request that was given up, up to the limit of lines
// a second for calls.
func (d *Daemon) logAbandoned(a caller.Abandoned) {
	if !d.callLogLimiter.AllowN(d.now(), 1) {
		return
	}
	d.event(context.Background(), event.Abandoned,
		slog.String("RequestID", a.RequestID),
		slog.String("Service", a.Service),
		slog.String("Outcome", a.Outcome.String()),
		slog.String("Stage", string(a.Stage)),
		slog.Duration("InStage", a.InStage),
		slog.Duration("Took", a.Took),
		slog.String("LimitMs", a.Limit),
	)
}
