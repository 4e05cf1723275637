package daemon

import (
	"context"
	"log/slog"

	"figwheel/event"
	"figwheel/upstream"
)

// logFaultyAnswer logs an answer of the worker that was not passed on as one, up to the limit
// of lines a second for calls.
func (d *Daemon) logFaultyAnswer(a upstream.FaultyAnswer) {
	if !d.callLogLimiter.AllowN(d.now(), 1) {
		return
	}
	d.event(context.Background(), event.FaultyAnswer,
		slog.String("RequestID", a.RequestID),
		slog.String("Code", a.Code.String()),
		slog.String("Text", a.Text),
	)
}
