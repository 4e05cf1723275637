package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"figwheel/instance"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/site"
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

// TestOriginAfterCheckInOfOtherWriter guards against requests that name another service than that of their machine, and against a worker that is displaced, because another writer has sent a check-in with the worker's id and address and another service. The worker stays in use, and its own check-ins are acknowledged.
func TestOriginAfterCheckInOfOtherWriter(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		service  string
		state    string
		later    bool // whether it names a start a second after that of the worker, or none
		sequence uint64
		restart  bool // whether the check-in is the first one after a restart of the daemon
	}{
		{"a service of no configuration, a later start", "unknown", "ready", true, 1, false},
		{"a service of no configuration, no start", "unknown", "ready", false, 9000, false},
		{"a service of no configuration, draining", "unknown", "draining", true, 1, false},
		{"another service, a later start", "other", "ready", true, 1, false},
		{"another service, no start", "other", "ready", false, 9000, false},
		{"a service of no configuration, a later start, after a restart", "unknown", "ready", true, 1, true},
		{"a service of no configuration, no start, after a restart", "unknown", "ready", false, 9000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPlatformFleet(t, 1)
			b, err := platformtest.Config(2, "h.example", platformtest.Route{PathPrefix: "/", Service: "s"}, platformtest.Route{PathPrefix: "/other/", Service: "other"})
			if err == nil {
				_, err = f.store.Overwrite(platform.ConfigKey, b)
			}
			if err != nil {
				t.Fatal(err)
			}
			f.waitServing(2)
			id, address, born := f.worker()
			if c.restart {
				f.kill(0)
				f.start(0, f.daemons[0].Settings())
				f.wait("the worker has answered", func() bool {
					return f.ask(0, func(k *control) bool { return k.announcement.ID == id })
				})
			}
			s := ""
			if c.later {
				s = fmt.Sprintf(`"born":%d,`, born+1000)
			}
			f.checkIn(id, fmt.Sprintf(`{"address":%q,%s"server_info":{"service":%q,"version":"v1","zone":"z","slot_count":4},"status":{"state":%q,"sequence":%d,"cold_left_s":0}}`, address, s, c.service, c.state, c.sequence))
			var first uint64
			f.ask(0, func(k *control) bool {
				first = k.announcement.Sequence
				return true
			})
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if s, code := f.send(0, "/x"); s != http.StatusOK {
					t.Errorf("a request ended with %d %s", s, code)
				}
			}
			for _, r := range f.runs.All() {
				if r.Caller != "s" {
					t.Fatalf("request %s names the service %q", r.ID, r.Caller)
				}
			}
			f.ask(0, func(k *control) bool {
				if a := k.announcement; a.ID != id || a.Service != "s" || a.Sequence <= first || a.Sequence >= 9000 {
					t.Errorf("the worker's check-ins do not count: %+v after the sequence %d", a, first)
				}
				return true
			})
		})
	}
}

// TestOriginOfWorkerFoundByHealthCheck guards against a first check-in of another writer, with the id of a worker that has only answered a health check, that changes the service that requests name. A check-in with a service that the configuration has is the worker's own: the settings may be older.
func TestOriginOfWorkerFoundByHealthCheck(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, service string
		born          int64
		want          string
	}{
		{"its own service", "s", 100, "s"},
		{"another service", "t", 100, "t"},
		{"another service, no start", "t", 0, "t"},
		{"a service of no configuration", "unknown", 100, "s"},
		{"a service of no configuration, no start", "unknown", 0, "s"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ask, asked := answers(t, answer{id: "w-1"})
			f := newWorkerFleet(t, ask)
			b, err := site.Table{Number: 1, Services: []site.Service{{Name: "s", HealthPath: "/health"}, {Name: "t", HealthPath: "/health"}}}.Encode()
			if err == nil {
				_, err = f.store.Put(t.Context(), "config/main", "", b)
			}
			if err != nil {
				t.Fatal(err)
			}
			f.addDaemon()
			f.waitAnswered(asked, 1)
			a := upstream.Announcement{ID: "w-1", Service: c.service, Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 1, Born: c.born}
			if err := f.daemons[0].takeAnnouncement(a, time.Now()); (err == nil) != (c.want == c.service) {
				t.Errorf("the check-in: %v", err)
			}
			f.wait("the view is published", func() bool {
				return f.ask(0, func(k *control) bool { return !k.viewOutdated })
			})
			if got := f.daemons[0].View().Origin; got != c.want {
				t.Errorf("origin %q, want %q", got, c.want)
			}
			if s := f.ask(0, func(k *control) bool { return k.table.Self().State == instance.Ready }); !s {
				t.Error("the worker is not in use")
			}
		})
	}
}
