package daemon

import (
	"cmp"
	"context"
	"log/slog"

	"golang.org/x/time/rate"

	"figwheel/event"
	"figwheel/settings"
)

// Reload applies those of the settings s that can change while the daemon runs:
// Service, Seeds, WorkerLapse, the retry settings and LogRate. The other settings take
// effect at the next start; the event that Reload logs names those that differ.
func (d *Daemon) Reload(x context.Context, s settings.Settings) {
	d.callLogLimiter.SetLimit(rate.Limit(cmp.Or(s.LogRate, callLogLinesPerSecondDefault)))
	_ = d.do(x, func(c *control) {
		later := c.settings.RestartRequired(s)
		if s.Service != c.settings.Service {
			c.setOrigin(s.Service)
		}
		c.settings = c.settings.WithReload(s)
		c.viewOutdated = true
		d.event(x, event.Reloaded, slog.Any("CountFromTheNextStart", later))
	})
}
