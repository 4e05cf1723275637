package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"figwheel/instance"
	"figwheel/peer"
	"figwheel/platform/platformtest"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/store"
	"figwheel/upstream"
)

// fleet is a number of real daemons on loopback in this process, with one
// stand-in of the platform. Workers may be announced but get no calls.
type fleet struct {
	t       testing.TB
	store   *platformtest.Store
	wrap    func(name string) store.Store
	daemons []*Daemon

	edge        *Edge        // nil is figwheel's own
	log         *slog.Logger // nil discards
	stageLimit  settings.Duration
	drainLimit  settings.Duration // 0 is 2 s
	now         func() time.Time  // nil is time.Now
	partitioned atomic.Bool       // whether sites cannot connect to each other
	sites       sync.Map          // site names by peer address
	stops       []context.CancelFunc
	ended       []chan error
}

// Range of the fleet's ports. It is below 32768, from where the kernel picks local
// ports of connections: a connection could take the port of a stopped daemon
// before the daemon is started again.
const (
	portMin = 20_000
	portMax = 32_000
)

// nextPort starts at a different port in each process, because tests of several
// processes may run at the same time.
var nextPort = func() *atomic.Int64 {
	var n atomic.Int64
	n.Store(int64(os.Getpid()) * 997)
	return &n
}()

// listenFleetPort listens on an address. Port 0 stands for the next free port of
// the fleet's range.
func listenFleetPort(address string) (net.Listener, error) {
	h, p, err := net.SplitHostPort(address)
	if err != nil || p != "0" {
		return net.Listen("tcp", address)
	}
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(h, strconv.Itoa(portMin+int(nextPort.Add(1))%(portMax-portMin))))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
}

func newStore() *platformtest.Store { return &platformtest.Store{} }

const testWait = 30 * time.Second

func newFleet(t testing.TB, sites, instances int) *fleet {
	f := &fleet{t: t, store: &platformtest.Store{}}
	f.startAll(sites, instances)
	return f
}

func (f *fleet) startAll(sites, instances int) {
	f.t.Cleanup(f.close)
	for i := range instances {
		f.add(settings.Settings{
			Instance: fmt.Sprintf("i-%03d", i),
			Site:     fmt.Sprintf("site-%d", i%sites),

			StageLimit: f.stageLimit,
		})
	}
	f.wait("all know each other", func() bool { return f.all(func(c *control) bool { return len(c.table.Live()) == instances }) })
}

// add starts a daemon. Addresses that the settings do not have are chosen by
// listenFleetPort.
func (f *fleet) add(s settings.Settings) {
	f.daemons = append(f.daemons, nil)
	f.stops = append(f.stops, nil)
	f.ended = append(f.ended, nil)
	for _, a := range []*string{&s.CallAddress, &s.LinkAddress, &s.PeerAddress, &s.UpstreamAddress, &s.OperatorAddress} {
		if *a == "" {
			*a = "127.0.0.1:0"
		}
	}
	if s.StageLimit == 0 {
		s.StageLimit = settings.Duration(3 * time.Second)
	}
	s.DrainLimit = cmp.Or(f.drainLimit, settings.Duration(2*time.Second))
	f.start(len(f.daemons)-1, s)
}

func (f *fleet) start(i int, s settings.Settings) {
	f.t.Helper()
	var p store.Store = f.store
	if f.wrap != nil {
		p = f.wrap(s.Instance)
	}
	l := cmp.Or(f.log, slog.New(slog.DiscardHandler))
	if os.Getenv("FIGWHEEL_TEST_LOG") != "" {
		l = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	now := f.now
	if now == nil {
		now = time.Now
	}
	d, err := New(Options{Settings: s, Store: p, Now: now, Dial: f.dial(s.Site), Seed: uint64(i + 1), Log: l, Edge: f.edge, Listen: listenFleetPort})
	if err != nil {
		f.t.Fatal(err)
	}
	f.sites.Store(d.Settings().PeerAddress, s.Site)
	x, stop := context.WithCancel(context.Background())
	f.daemons[i] = d
	f.stops[i] = stop
	f.ended[i] = make(chan error, 1)
	go func() { f.ended[i] <- d.Run(x) }()
}

// dial returns the dial function of the daemons of a site. While the sites are
// partitioned it refuses connections to other sites, and open ones break at the
// next write.
func (f *fleet) dial(site string) peer.Dial {
	var n net.Dialer
	return func(x context.Context, network, address string) (net.Conn, error) {
		to, _ := f.sites.Load(address)
		if f.partitioned.Load() && to != site {
			return nil, &net.OpError{Op: "dial", Err: errPartitioned}
		}
		c, err := n.DialContext(x, network, address)
		if err != nil || to == site {
			return c, err
		}
		return &partitionedConn{c, f}, nil
	}
}

var errPartitioned = errors.New("the sites are partitioned")

type partitionedConn struct {
	net.Conn
	f *fleet
}

// Write implements net.Conn.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.f.partitioned.Load() {
		_ = c.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(b)
}

// stop ends a daemon after a drain.
func (f *fleet) stop(i int) {
	f.stops[i]()
	if err := <-f.ended[i]; err != nil {
		f.t.Error(err)
	}
	f.stops[i] = nil
}

// kill ends the daemon without a drain, as a crash does.
func (d *Daemon) kill() { close(d.killed) }

// kill ends a daemon without a drain, as a crash does, and waits for its end.
func (f *fleet) kill(i int) {
	f.daemons[i].kill()
	f.stop(i)
}

func (f *fleet) close() {
	var w []int
	for i := range f.stops {
		if f.stops[i] != nil {
			f.daemons[i].kill()
			f.stops[i]()
			w = append(w, i)
		}
	}
	for _, i := range w {
		if err := <-f.ended[i]; err != nil {
			f.t.Error(err)
		}
		f.stops[i] = nil
	}
}

// all reports whether ok holds in every running daemon.
func (f *fleet) all(ok func(c *control) bool) bool {
	for i := range f.daemons {
		if f.stops[i] != nil && !f.ask(i, ok) {
			return false
		}
	}
	return true
}

// ask reports whether ok holds in the running daemon i.
func (f *fleet) ask(i int, ok func(c *control) bool) bool {
	var r bool
	err := f.daemons[i].do(context.Background(), func(c *control) { r = ok(c) })
	return err == nil && r
}

// wait waits until ok holds; the test fails if it takes too long.
func (f *fleet) wait(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testWait); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("not within %s: %s", testWait, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitServing waits until every running daemon serves the version n.
func (f *fleet) waitServing(n uint64) {
	f.t.Helper()
	f.wait(fmt.Sprintf("all serve version %d", n), func() bool {
		return f.all(func(c *control) bool { return c.serving.Number() == n })
	})
}

// announce announces a ready worker of the service at every daemon. The
// announcement is dated an hour ahead, so that it does not lapse during the test.
func (f *fleet) announce(service string) {
	for _, d := range f.daemons {
		_ = d.takeAnnouncement(upstream.Announcement{Service: service, Address: "127.0.0.1:1", State: instance.Ready.String()}, time.Now().Add(time.Hour))
	}
}

// waitAgreed waits until all running daemons have the same membership table.
func (f *fleet) waitAgreed() {
	f.t.Helper()
	f.wait("all agree", func() bool {
		var d uint64
		return f.all(func(c *control) bool {
			if d == 0 {
				d = c.table.Digest()
			}
			return c.table.Digest() == d
		})
	})
}

// submit submits a change at daemon i and returns its steps without repetitions.
func (f *fleet) submit(i int, id string, b site.Bundle) []progress {
	return f.submission(i, submission{id: id, submitter: "linh", bundle: b, began: time.Now()})
}

// submission submits s at daemon i and returns its steps without repetitions.
func (f *fleet) submission(i int, s submission) []progress {
	var r []progress
	x, stop := context.WithCancel(context.Background())
	defer stop()
	d := f.daemons[i]
	go func() {
		select {
		case <-d.stopped: // a submission must not outlive its daemon
			stop()
		case <-x.Done():
		}
	}()
	d.submit(x, s, func(p progress) {
		if len(r) == 0 || r[len(r)-1].step != p.step {
			r = append(r, p)
		}
	})
	return r
}

func last(p []progress) progress { return p[len(p)-1] }

// bundle returns files with that many sites and services. Their content differs
// by the edition.
func bundle(sites, services, edition int) site.Bundle {
	var b strings.Builder
	var n []string
	for i := range sites {
		n = append(n, fmt.Sprintf("site-%d", i))
	}
	_, _ = fmt.Fprintf(&b, "# edition %d\nOrganisation: test\nSites: [%s]\nServices:\n", edition, strings.Join(n, ", "))
	for i := range services {
		_, _ = fmt.Fprintf(&b, "  s-%d:\n    Deadline: %dms\n    Slots: 9\n    Connections: 120\n    NotIdempotent:\n      - Methods: [POST]\n        Path: /orders-%d\n", i, 1000+(edition+i)%7, i)
	}
	b.WriteString("Routes:\n")
	for i := range services {
		_, _ = fmt.Fprintf(&b, "  r-%d:\n    Host: h-%d.example\n    PathPrefix: /\n    Service: s-%d\n", i, i, i)
	}
	r := site.Bundle{Base: site.File{Name: "base.yaml", Text: b.String()}}
	for _, s := range slices.Sorted(slices.Values(n)) {
		r.Overlays = append(r.Overlays, site.File{Name: s + ".yaml", Text: fmt.Sprintf("Site: %s\nServices:\n  s-0:\n    Queue: 30\n", s)})
	}
	return r
}
