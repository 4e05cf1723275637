package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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

// answer is a worker's answer to one health check.
type answer struct {
	id     string // empty if the worker is not ready
	notice contract.Notice
	err    error
}

// answers returns a function that a daemon asks its worker by: it gives the answers in
// turn, and the last one again after that. It counts the questions.
func answers(t *testing.T, l ...answer) (ask func(x context.Context, address, path string) (upstream.Health, error), asked *atomic.Int32) {
	asked = new(atomic.Int32)
	return func(_ context.Context, address, path string) (upstream.Health, error) {
		if a := address + path; a != "127.0.0.1:1/health" {
			t.Errorf("asked %s", a)
		}
		a := l[min(int(asked.Add(1)), len(l))-1]
		return upstream.Health{ID: a.id, Notice: a.notice}, a.err
	}, asked
}

// waitAnswered waits until the daemon has applied n answers of its worker and awaits no
// other one.
func (f workerFleet) waitAnswered(asked *atomic.Int32, n int32) {
	f.t.Helper()
	f.wait("the worker's answer is applied", func() bool {
		return asked.Load() >= n && f.ask(0, func(c *control) bool { return !c.workerBeingAsked })
	})
}

// TestWorkerFound guards against a worker that gets no calls, or gets calls while
// it is leaving, after a restart of its daemon. The worker was running before and
// has not announced itself to the new process yet; the daemon requests its health
// and then gets the announcements of the case. An earlier process may have acknowledged
// that the worker leaves, and any number of announcements from before that may be late.
func TestWorkerFound(t *testing.T) {
	ready := upstream.Announcement{ID: "w-2", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	with := func(f func(a *upstream.Announcement)) upstream.Announcement {
		a := ready
		a.Sequence++
		f(&a)
		return a
	}
	next := with(func(*upstream.Announcement) {})
	third := with(func(a *upstream.Announcement) { a.Sequence++ })
	draining := with(func(a *upstream.Announcement) { a.State = instance.Draining.String() })
	left := upstream.Announcement{ID: "w-2", State: instance.Left.String()}
	later := with(func(a *upstream.Announcement) { a.Born, a.Sequence = 300, 1 })
	older := with(func(a *upstream.Announcement) { a.ID, a.Born = "w-1", 100 })
	olderLeft := upstream.Announcement{ID: "w-1", State: instance.Left.String()}
	newer := with(func(a *upstream.Announcement) { a.ID, a.Born, a.Sequence = "w-3", 300, 1 })
	is, notReady, refused := answer{id: "w-2"}, answer{}, answer{err: errors.New("refused")}
	leaving := contract.Notice{Leaving: "1"}
	cases := []struct {
		name    string
		answers []answer // to the first question, and to those after the announcements
		then    []upstream.Announcement
		want    instance.State
		slots   uint32
		finalID string // of the worker at the daemon, after the announcements
	}{
		{"it is ready", []answer{is}, nil, instance.Ready, provisionalSlots, "w-2"},
		{"it is not ready", []answer{notReady}, nil, instance.Starting, 0, ""},
		{"a late announcement from before it was leaving", []answer{notReady}, []upstream.Announcement{ready}, instance.Starting, 0, ""},
		{"two late announcements from before it was leaving", []answer{notReady}, []upstream.Announcement{ready, next}, instance.Starting, 0, ""},
		{"three late announcements, the last one first", []answer{notReady}, []upstream.Announcement{third, ready, next}, instance.Starting, 0, ""},
		{"late announcements before and after it is leaving", []answer{notReady}, []upstream.Announcement{ready, draining, third}, instance.Draining, 7, "w-2"},
		{"late announcements after it has left", []answer{is, notReady}, []upstream.Announcement{left, ready, next}, instance.Starting, 0, "w-2"},
		{"an earlier start announced late that it has left", []answer{is, is}, []upstream.Announcement{left, ready, next}, instance.Ready, 7, "w-2"},
		{"another writer announced that it is leaving", []answer{is, is}, []upstream.Announcement{ready, draining, third}, instance.Ready, 7, "w-2"},
		{"another writer announced that it has left, and it takes no connection at first", []answer{is, refused, is}, []upstream.Announcement{ready, left, third}, instance.Ready, 7, "w-2"},
		{"a late announcement after it has left, in the name of a later start", []answer{is, notReady}, []upstream.Announcement{ready, left, later}, instance.Starting, 7, "w-2"},
		{"it was leaving and announces that", []answer{notReady}, []upstream.Announcement{ready, draining}, instance.Draining, 7, "w-2"},
		{"it was not ready for a short time", []answer{notReady, is}, []upstream.Announcement{ready, next}, instance.Ready, 7, "w-2"},
		{"another worker has followed it", []answer{notReady, {id: "w-3"}}, []upstream.Announcement{newer, ready}, instance.Ready, 7, "w-3"},
		{"it takes no connection, announces itself and is ready", []answer{refused, is}, []upstream.Announcement{ready}, instance.Ready, 7, "w-2"},
		{"it takes no connection, and announces itself twice before it answers", []answer{refused, refused, is}, []upstream.Announcement{ready, next}, instance.Ready, 7, "w-2"},
		{"it takes no connection, and late announcements come", []answer{refused, refused, notReady}, []upstream.Announcement{ready, next}, instance.Starting, 0, ""},
		{"it takes no connection", []answer{refused}, nil, instance.Starting, 0, ""},
		{"it announces itself later", []answer{is}, []upstream.Announcement{ready}, instance.Ready, 7, "w-2"},
		{"a late announcement of an earlier start comes first", []answer{is}, []upstream.Announcement{older, ready}, instance.Ready, 7, "w-2"},
		{"only a late announcement of an earlier start comes", []answer{is}, []upstream.Announcement{older}, instance.Ready, provisionalSlots, "w-2"},
		{"an earlier start announces late that it has left", []answer{is}, []upstream.Announcement{olderLeft, ready}, instance.Ready, 7, "w-2"},
		{"it states that it is leaving", []answer{{id: "w-2", notice: leaving}}, nil, instance.Starting, 0, ""},
		{"it states that it is leaving, and late announcements come", []answer{{id: "w-2", notice: leaving}}, []upstream.Announcement{ready, next}, instance.Starting, 0, ""},
		{"it states that it is leaving when it rejects the check", []answer{{notice: leaving, err: errors.New("refused")}}, []upstream.Announcement{ready, next}, instance.Starting, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ask, asked := answers(t, c.answers...)
			f := newWorkerFleet(t, ask)
			f.putService()
			f.addDaemon()
			f.waitAnswered(asked, 1)
			for _, a := range c.then {
				_ = f.daemons[0].takeAnnouncement(a, time.Now())
				f.waitAnswered(asked, 1)
			}
			f.waitAnswered(asked, int32(len(c.answers)))
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

// TestAnnouncementBeforeHealthAnswer guards against a worker that is leaving and gets
// calls because a late announcement reaches a daemon that has just started before the
// worker's answer that it is not ready.
func TestAnnouncementBeforeHealthAnswer(t *testing.T) {
	ready := upstream.Announcement{ID: "w-1", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 200}
	left := upstream.Announcement{ID: "w-1", State: instance.Left.String()}
	for _, c := range []struct {
		name string
		then []upstream.Announcement // before the answer
		ids  []string                // in the answers
		want instance.State
	}{
		{"it is ready", []upstream.Announcement{ready}, []string{"w-1"}, instance.Ready},
		{"it is not ready", []upstream.Announcement{ready}, []string{""}, instance.Starting},
		{"another start is ready", []upstream.Announcement{ready}, []string{"w-2"}, instance.Ready},
		{"it has left since it answered", []upstream.Announcement{left}, []string{"w-1"}, instance.Starting},
		{"it has left since it announced itself and answered", []upstream.Announcement{ready, left}, []string{"w-1"}, instance.Starting},
		{"it has left since it answered, and a late announcement comes", []upstream.Announcement{left, ready}, []string{"w-1", ""}, instance.Starting},
		{"an earlier start has left since it answered", []upstream.Announcement{left, ready}, []string{"w-1", "w-1"}, instance.Ready},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			proceed := make(chan struct{})
			var l []answer
			for _, id := range c.ids {
				l = append(l, answer{id: id})
			}
			ask, asked := answers(t, l...)
			f := newWorkerFleet(t, func(x context.Context, a, p string) (upstream.Health, error) {
				<-proceed
				return ask(x, a, p)
			})
			f.putService()
			f.addDaemon()
			f.wait("the configuration is in force", func() bool {
				return f.ask(0, func(c *control) bool { return c.workerBeingAsked })
			})
			for _, a := range c.then {
				_ = f.daemons[0].takeAnnouncement(a, time.Now())
			}
			close(proceed)
			f.waitAnswered(asked, int32(len(c.ids)))
			f.ask(0, func(k *control) bool {
				if s := k.table.Self().State; s != c.want {
					t.Errorf("state %s, want %s", s, c.want)
				}
				if id := c.ids[len(c.ids)-1]; c.want == instance.Ready && k.announcement.ID != id {
					t.Errorf("worker %s, want %s", k.announcement.ID, id)
				}
				return true
			})
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
		return upstream.Health{ID: "w-1"}, nil
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
