package daemon

import (
	"context"
	"log/slog"

	"figwheel/caller"
	"figwheel/event"
)

// recordCut counts and logs a caller's connection that ended under a request.
func (d *Daemon) recordCut(v caller.Cut) {
	d.cuts.Add(1)
	now := d.now()
	a := []slog.Attr{
		slog.String("RequestID", v.RequestID),
		slog.String("Reason", v.Reason),
		slog.String("Stage", v.Stage),
		slog.Int64("RequestBytes", v.RequestBytes),
		slog.Int("Ahead", v.Ahead),
		slog.Int64("AnswerBytes", v.AnswerBytes),
		slog.String("Version", v.Version),
		slog.String("InForce", d.View().Version()),
		slog.Bool("Draining", d.IsDraining()),
	}
	if !v.ReadAt.IsZero() {
		a = append(a, slog.Duration("SinceRead", now.Sub(v.ReadAt)))
	}
	if t := d.activatedAt.Load(); t != nil {
		a = append(a, slog.Duration("SinceActivation", now.Sub(*t)))
	}
	d.event(context.Background(), event.ConnectionCut, a...)
}
