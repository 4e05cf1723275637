package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/instance"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/upstream"
)

// platformFleet is a fleet on the users' platform whose workers check in each half second
// and crash at requests with crashPath. A worker that has crashed stays away until it is
// started again.
type platformFleet struct {
	*fleet
	runs    *platformtest.Runs
	workers []*platformtest.Worker
	ended   []chan error
	ids     atomic.Int64
}

const (
	crashPath     = "/crash"
	platformLapse = settings.Duration(4500 * time.Millisecond) // three times the time between check-ins there
)

// newPlatformFleet starts n daemons with their workers, after prepare has changed the fleet.
func newPlatformFleet(t *testing.T, n int, prepare ...func(f *fleet)) *platformFleet {
	t.Helper()
	e := &Edge{
		Headers:      platform.Headers(),
		Workers:      platform.Workers,
		AskWorker:    platform.AskWorker,
		ReadyPath:    platform.ReadyPath,
		HoldBack:     true,
		ConfigKey:    platform.ConfigKey,
		DecodeConfig: platform.DecodeConfig,
	}
	f := &platformFleet{fleet: &fleet{t: t, store: newStore(), edge: e}, runs: &platformtest.Runs{}}
	for _, p := range prepare {
		p(f.fleet)
	}
	b, err := platformtest.Config(1, "h.example", platformtest.Route{PathPrefix: "/", Service: "s"})
	if err == nil {
		_, err = f.store.Put(context.Background(), platform.ConfigKey, "", b)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	x, stop := context.WithCancel(context.Background())
	var l []net.Listener
	for i := range n {
		a, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, a)
		f.add(settings.Settings{Instance: fmt.Sprintf("i-%d", i), Site: "site-0", Service: "s", WorkerAddress: a.Addr().String(), WorkerLapse: platformLapse})
		f.workers = append(f.workers, &platformtest.Worker{Service: "s", Slots: 4, Runs: f.runs, CrashPath: crashPath})
		f.ended = append(f.ended, make(chan error, 1))
	}
	t.Cleanup(func() {
		stop()
		for _, c := range f.ended {
			if err := <-c; err != nil {
				t.Error(err)
			}
		}
	})
	for i, k := range f.workers {
		go func() { f.ended[i] <- k.Run(x, l[i], f.daemons[i].Settings().UpstreamAddress) }()
	}
	f.wait("all workers have checked in more than once, and are ready everywhere", func() bool {
		return f.all(func(c *control) bool { return len(c.readyInstances()) == n && c.announcement.Sequence > 1 })
	})
	return f
}

// send sends a request with the path to the daemon i and returns its status and the code
// of the daemon that answered.
func (f *platformFleet) send(i int, path string) (status int, code string) {
	f.t.Helper()
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.daemons[i].Settings().CallAddress+path, strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set(platform.Headers().RequestID, strconv.FormatInt(f.ids.Add(1), 10))
	q.Close = true
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, p.Body)
	return p.StatusCode, p.Header.Get(contract.CodeHeader)
}

// TestCrashingRequestIsSuspectedOnPlatform guards against a request that crashes one worker after the other, on the users' platform, where each check-in has another sequence. The workers that have crashed stay away for longer than a crash is put down to a broken connection, so that neither their next start nor the lapse of their check-ins shows it in time.
func TestCrashingRequestIsSuspectedOnPlatform(t *testing.T) {
	t.Parallel()
	f := newPlatformFleet(t, 4)
	fingerprint := poison.Request{Method: http.MethodPost, Host: "h.example", URI: crashPath, Origin: "s", Body: []byte("body")}.Fingerprint()
	for n := range poison.RefuseLevel {
		if s, c := f.send(n, crashPath); s != http.StatusBadGateway {
			t.Fatalf("got %d %s, want %d: no answer of the worker", s, c, http.StatusBadGateway)
		}
		f.wait(fmt.Sprintf("all suspect it at level %d", n+1), func() bool {
			return f.all(func(c *control) bool { return c.suspects.Level(fingerprint) == n+1 })
		})
	}
	for i := range f.daemons {
		if s, c := f.send(i, crashPath); s != http.StatusServiceUnavailable || c != result.CrashesWorkers.String() {
			t.Errorf("daemon %d answers %d %s, want it refused", i, s, c)
		}
		if s, c := f.send(i, "/other"); s != http.StatusOK {
			t.Errorf("daemon %d answers another request with %d %s", i, s, c)
		}
	}
}

// TestUnreachableWorkerIsLost guards against a worker that takes no connections and stays in use because it has repeated its announcement since the request that found it so, and against one that is lost for what was found of an earlier start.
func TestUnreachableWorkerIsLost(t *testing.T) {
	t.Parallel()
	ready := upstream.Announcement{ID: "w-1", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 3, Born: 200, ColdLeft: time.Second}
	with := func(f func(a *upstream.Announcement)) upstream.Announcement {
		a := ready
		a.Sequence++
		f(&a)
		return a
	}
	for _, c := range []struct {
		name   string
		report upstream.Announcement // as of the request
		want   instance.State
	}{
		{"the last announcement", ready, instance.Starting},
		{"an earlier announcement", with(func(a *upstream.Announcement) { a.Sequence = 1 }), instance.Starting},
		{"when it was slow after its start", with(func(a *upstream.Announcement) { a.ColdLeft = time.Minute }), instance.Starting},
		{"when its start was not known", with(func(a *upstream.Announcement) { a.Born = 0 }), instance.Starting},
		{"with other slots", with(func(a *upstream.Announcement) { a.Slots = 4 }), instance.Starting},
		{"another start", with(func(a *upstream.Announcement) { a.ID, a.Born = "w-0", 100 }), instance.Ready},
		{"an earlier start with the same id", with(func(a *upstream.Announcement) { a.Born = 100 }), instance.Ready},
		{"at another address", with(func(a *upstream.Announcement) { a.Address = "127.0.0.1:2" }), instance.Ready},
		{"before the first announcement", upstream.Announcement{}, instance.Ready},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newWorkerFleet(t, nil)
			f.putService()
			f.addDaemon()
			_ = f.daemons[0].takeAnnouncement(ready, time.Now())
			f.wait("the worker is ready", func() bool {
				return f.ask(0, func(c *control) bool { return c.table.Self().State == instance.Ready })
			})
			f.ask(0, func(k *control) bool {
				k.workerUnreachable(c.report, time.Now())
				if s := k.table.Self().State; s != c.want {
					t.Errorf("state %s, want %s", s, c.want)
				}
				return true
			})
		})
	}
}
