package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/instance"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/upstream"
)

// workerFleet is a fleet of one daemon with a managed configuration, beside a worker
// that is only announced.
type workerFleet struct{ *fleet }

// newWorkerFleet returns a fleet whose daemon asks its worker by ask, which may be
// nil.
func newWorkerFleet(t *testing.T, ask func(x context.Context, address, path string) (upstream.Health, error)) workerFleet {
	e := ownEdge()
	e.ConfigKey = "config/main"
	e.DecodeConfig = decodeTable
	e.AskWorker = ask
	f := workerFleet{&fleet{t: t, store: newStore(), edge: &e}}
	t.Cleanup(f.close)
	return f
}

// putService writes a configuration with the worker's service.
func (f workerFleet) putService() {
	f.t.Helper()
	b, err := site.Table{Number: 1, Services: []site.Service{{Name: "s", HealthPath: "/health"}}}.Encode()
	if err == nil {
		_, err = f.store.Put(context.Background(), "config/main", "", b)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// addDaemon starts the daemon.
func (f workerFleet) addDaemon() {
	f.t.Helper()
	f.add(settings.Settings{Instance: "i-0", Site: "site-0", Service: "s", WorkerAddress: "127.0.0.1:1"})
}

// TestWorkerFound guards against a worker that gets no calls, or gets calls while
// it is leaving, after a restart of its daemon. The worker was running before and
// has not announced itself to the new process yet; the daemon requests its health
// and then gets the announcements of the case.
func TestWorkerFound(t *testing.T) {
	ready := upstream.Announcement{ID: "w-2", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	next := ready
	next.Sequence++
	draining := next
	draining.State = instance.Draining.String()
	leaving := contract.Notice{Leaving: "1"}
	older := ready
	older.ID, older.Born = "w-1", 100
	cases := []struct {
		name    string
		id      string // in the worker's answer
		err     error
		notice  contract.Notice // in the worker's answer
		then    []upstream.Announcement
		want    instance.State
		slots   uint32
		finalID string // of the worker at the daemon, after the announcements
	}{
		{"it is ready", "w-2", nil, contract.Notice{}, nil, instance.Ready, provisionalSlots, "w-2"},
		{"it is not ready", "", nil, contract.Notice{}, nil, instance.Starting, 0, ""},
		{"a late announcement from before it was leaving", "", nil, contract.Notice{}, []upstream.Announcement{ready}, instance.Starting, 0, ""},
		{"it was leaving and announces that", "", nil, contract.Notice{}, []upstream.Announcement{ready, draining}, instance.Draining, 7, "w-2"},
		{"it was not ready for a short time", "", nil, contract.Notice{}, []upstream.Announcement{ready, next}, instance.Ready, 7, "w-2"},
		{"it takes no connection and announces itself", "", errors.New("refused"), contract.Notice{}, []upstream.Announcement{ready}, instance.Ready, 7, "w-2"},
		{"it takes no connection", "", errors.New("refused"), contract.Notice{}, nil, instance.Starting, 0, ""},
		{"it announces itself later", "w-2", nil, contract.Notice{}, []upstream.Announcement{ready}, instance.Ready, 7, "w-2"},
		{"a late announcement of an earlier start comes first", "w-2", nil, contract.Notice{}, []upstream.Announcement{older, ready}, instance.Ready, 7, "w-2"},
		{"it states that it is leaving", "w-2", nil, leaving, nil, instance.Starting, 0, ""},
		{"it states that it is leaving, and a late announcement comes", "w-2", nil, leaving, []upstream.Announcement{ready}, instance.Starting, 0, ""},
		{"it states that it is leaving when it rejects the check", "", errors.New("refused"), leaving, []upstream.Announcement{ready}, instance.Starting, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			asked := make(chan string, 1)
			f := newWorkerFleet(t, func(_ context.Context, address, path string) (upstream.Health, error) {
				asked <- address + path
				return upstream.Health{ID: c.id, Notice: c.notice}, c.err
			})
			f.putService()
			f.addDaemon()
			if a := <-asked; a != "127.0.0.1:1/health" {
				t.Errorf("asked %s", a)
			}
			f.wait("the answer is applied", func() bool {
				return f.ask(0, func(c2 *control) bool {
					return c.err != nil && c.notice == (contract.Notice{}) || c2.workerUnready || c2.announcement.ID != ""
				})
			})
			for _, a := range c.then {
				_ = f.daemons[0].takeAnnouncement(a, time.Now())
			}
			type state struct {
				State instance.State
				Slots uint32
				ID    string
			}
			var got state
			f.ask(0, func(c *control) bool {
				r := c.table.Self()
				got = state{r.State, r.Slots, c.announcement.ID}
				return true
			})
			if d := cmp.Diff(state{c.want, c.slots, c.finalID}, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestWorkerThatStatesThatItIsLeaving guards against requests to a worker that says
// in its answers that it is leaving, whatever its announcements say, and against
// one that gets none after it has started again.
func TestWorkerThatStatesThatItIsLeaving(t *testing.T) {
	ready := upstream.Announcement{ID: "w-2", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	with := func(f func(a *upstream.Announcement)) upstream.Announcement {
		a := ready
		a.Sequence++
		f(&a)
		return a
	}
	next := with(func(*upstream.Announcement) {})
	noID := with(func(a *upstream.Announcement) { a.ID, a.Born, a.Sequence = "", 0, 0 })
	noIDStarting := noID
	noIDStarting.State = instance.Starting.String()
	cases := []struct {
		name  string
		first upstream.Announcement
		then  []upstream.Announcement
		want  instance.State
	}{
		{"no announcement", ready, nil, instance.Draining},
		{"announces that it is ready", ready, []upstream.Announcement{next}, instance.Draining},
		{"announces that it has left", ready, []upstream.Announcement{with(func(a *upstream.Announcement) { a.State = instance.Left.String() })}, instance.Starting},
		{"another worker", ready, []upstream.Announcement{with(func(a *upstream.Announcement) { a.ID, a.Born, a.Sequence = "w-3", 300, 1 })}, instance.Ready},
		{"the same id, started again", ready, []upstream.Announcement{with(func(a *upstream.Announcement) { a.Born, a.Sequence = 300, 1 })}, instance.Ready},
		{"without an id", noID, []upstream.Announcement{noID}, instance.Draining},
		{"without an id, started again", noID, []upstream.Announcement{noIDStarting, noID}, instance.Ready},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newWorkerFleet(t, nil)
			f.putService()
			f.addDaemon()
			state := func(s instance.State) func() bool {
				return func() bool {
					return f.ask(0, func(c *control) bool { return c.table.Self().State == s })
				}
			}
			_ = f.daemons[0].takeAnnouncement(c.first, time.Now())
			f.wait("the worker is ready", state(instance.Ready))
			f.daemons[0].worker.RecordHealth(upstream.Health{ID: c.first.ID, Notice: contract.Notice{Leaving: "1"}}, time.Now())
			f.wait("the worker is draining", state(instance.Draining))
			for _, a := range c.then {
				_ = f.daemons[0].takeAnnouncement(a, time.Now())
			}
			f.ask(0, func(k *control) bool {
				if s := k.table.Self().State; s != c.want {
					t.Errorf("state %s, want %s", s, c.want)
				}
				return true
			})
		})
	}
}

// TestWorkerAskedForRateLimitAfterItsAnnouncement guards against a daemon that gets its worker's announcement before its configuration and then sends more than the worker takes.
func TestWorkerAskedForRateLimitAfterItsAnnouncement(t *testing.T) {
	f := newWorkerFleet(t, func(context.Context, string, string) (upstream.Health, error) {
		return upstream.Health{ID: "w-1", Notice: contract.Notice{RateLimit: "2"}}, nil
	})
	f.addDaemon()
	a := upstream.Announcement{ID: "w-1", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	if err := f.daemons[0].takeAnnouncement(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	f.putService()
	f.wait("the rate limit is known", func() bool {
		return f.daemons[0].worker.Load(time.Now(), "k").RateLimit == 2
	})
}

// TestNoRequestsBeforeWorkerIsAsked guards against requests that reach a worker after a restart of its daemon, before the daemon knows whether the worker is leaving or limits its rate.
func TestNoRequestsBeforeWorkerIsAsked(t *testing.T) {
	answer := make(chan struct{})
	f := newWorkerFleet(t, func(context.Context, string, string) (upstream.Health, error) {
		<-answer
		return upstream.Health{}, errors.New("refused")
	})
	f.putService()
	f.addDaemon()
	f.wait("the configuration is in force", func() bool {
		return f.ask(0, func(c *control) bool { return c.serving != nil })
	})
	a := upstream.Announcement{ID: "w-1", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	if err := f.daemons[0].takeAnnouncement(a, time.Now()); err != nil {
		t.Fatal(err)
	}
	state := func() (s instance.State) {
		f.ask(0, func(c *control) bool { s = c.table.Self().State; return true })
		return s
	}
	if s := state(); s != instance.Starting {
		t.Errorf("%s before the worker has answered, want Starting", s)
	}
	r := httptest.NewRequest(http.MethodGet, "http://s.example/", http.NoBody)
	w := httptest.NewRecorder()
	q := upstream.Request{Service: "s", Body: hop.NewBody(w, r), Now: time.Now}
	if c := f.daemons[0].worker.Serve(context.Background(), w, r, time.Now(), q).Code; c != result.Leaving {
		t.Errorf("a request ended with %s before the worker has answered, want %s", c, result.Leaving)
	}
	close(answer)
	f.wait("the instance is ready", func() bool { return state() == instance.Ready })
}
