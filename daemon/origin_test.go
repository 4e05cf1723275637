package daemon

import (
	"testing"
	"time"

	"figwheel/instance"
	"figwheel/upstream"
)

// TestOriginFollowsWorker guards against requests that name the service of a worker that is no longer on the machine as the one where they began. The steps are taken one after the other.
func TestOriginFollowsWorker(t *testing.T) {
	t.Parallel()
	f := newWorkerFleet(t, nil)
	f.putService()
	f.addDaemon()
	d := f.daemons[0]
	base := d.Settings()
	announce := func(id, service string, born int64, sequence uint64, s instance.State) func() {
		return func() {
			_ = d.takeAnnouncement(upstream.Announcement{ID: id, Service: service, Address: "127.0.0.1:1", State: s.String(), Slots: 7, Sequence: sequence, Born: born}, time.Now())
		}
	}
	reload := func(service string) func() {
		return func() {
			s := base
			s.Service = service
			d.Reload(t.Context(), s)
		}
	}
	for _, c := range []struct {
		name string
		step func()
		want string
	}{
		{"start", func() {}, "s"},
		{"the worker announces itself", announce("w-1", "s", 100, 1, instance.Ready), "s"},
		{"a worker of another service has the address", announce("w-2", "t", 200, 1, instance.Ready), "t"},
		{"the settings are read again", reload("s"), "t"},
		{"a late announcement of the first", announce("w-1", "s", 100, 2, instance.Ready), "t"},
		{"the worker drains", announce("w-2", "t", 200, 2, instance.Draining), "t"},
		{"the settings name another service", reload("u"), "u"},
		{"the former worker drains", announce("w-2", "t", 200, 3, instance.Draining), "u"},
		{"the worker of that service announces itself", announce("w-3", "u", 300, 1, instance.Ready), "u"},
		{"the same id, started again as another service", announce("w-3", "s", 400, 1, instance.Ready), "s"},
	} {
		c.step()
		f.wait("the view is published", func() bool {
			return f.ask(0, func(k *control) bool { return !k.viewOutdated })
		})
		if got := d.View().Origin; got != c.want {
			t.Errorf("%s: origin %q, want %q", c.name, got, c.want)
		}
	}
}
