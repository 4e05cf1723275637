package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"figwheel/caller"
	"figwheel/change"
	"figwheel/event"
	"figwheel/metric"
	"figwheel/peer"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/store"
	"figwheel/upstream"
)

// Options are what a daemon is made of.
type Options struct {
	Settings settings.Settings
	Store    store.Store
	Log      *slog.Logger
	Now      func() time.Time
	Seed     uint64 // of all random choices

	// Edge is what callers, workers and supervisors speak; nil is figwheel's own.
	Edge *Edge

	// Listen opens an address; nil is net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens connections for control traffic; nil is a net.Dialer.
	Dial peer.Dial
}

// Daemon is one running daemon.
type Daemon struct {
	settings  settings.Settings
	store     *countedStore
	log       *slog.Logger
	now       func() time.Time
	seed      uint64
	listeners listeners

	edge               Edge
	meter              peer.Meter
	peers              *peer.Client
	worker             upstream.Worker
	view               atomic.Pointer[caller.View]
	closing            atomic.Bool
	latestConfirmation atomic.Pointer[change.Confirmation] // the newest; nil without one
	notReadyAnswers    atomic.Int64                        // answers that the daemon is not ready
	requests           chan func(*control)
	unreachableWorkers chan upstream.Announcement // of a worker that takes no connections
	clearedRequests    chan poison.Fingerprint    // of a suspected request that a worker answered
	stopped            chan struct{}
	killed             chan struct{}
	contents           singleflight.Group
	metrics            *metric.Set
	randomSources      atomic.Uint64

	callLogLimiter *rate.Limiter // of the log about calls that were answered
}

// bytesPerMegabit converts the unit of the settings for links.
const bytesPerMegabit = 1e6 / 8

// callLogRate is how many of those lines a second the settings leave open.
const callLogRate = 100

// New opens the addresses of the settings and returns a daemon that Run
// starts. An address of port 0 is replaced by the one it got.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings:           o.Settings,
		store:              &countedStore{Store: o.Store},
		log:                o.Log,
		now:                o.Now,
		seed:               o.Seed,
		requests:           make(chan func(*control)),
		unreachableWorkers: make(chan upstream.Announcement, 1),
		clearedRequests:    make(chan poison.Fingerprint, 1),
		stopped:            make(chan struct{}),
		killed:             make(chan struct{}),
	}
	if d.log == nil {
		d.log = slog.New(slog.DiscardHandler)
	}
	d.log = d.log.With("Instance", o.Settings.Instance)
	n := cmp.Or(o.Settings.LogRate, callLogRate)
	d.callLogLimiter = rate.NewLimiter(rate.Limit(n), n)
	d.edge = ownEdge()
	if o.Edge != nil {
		d.edge = *o.Edge
	}
	d.worker.Headers = d.edge.Headers
	d.worker.HoldBack = d.edge.HoldBack
	d.worker.SetLink(o.Settings.LinkMbps * bytesPerMegabit)
	d.worker.Unreachable = d.reportUnreachable
	d.worker.Cleared = d.reportCleared
	d.peers = peer.NewClient(&d.meter, o.Dial)
	d.view.Store(caller.NewView(nil, nil))
	m, err := metric.New(metric.Gauges{
		Version:      func() int64 { return int64(d.View().Snapshot.Number()) },
		ControlIn:    d.meter.In,
		ControlOut:   d.meter.Out,
		InFlight:     func() int64 { return int64(d.worker.InFlight()) },
		PlatformCall: d.store.calls.Load,
	})
	if err != nil {
		return nil, err
	}
	d.metrics = m
	return d, d.listen(o.Listen)
}

// Settings returns the settings with the addresses that were opened.
func (d *Daemon) Settings() settings.Settings { return d.settings }

// View implements caller.Daemon.
func (d *Daemon) View() *caller.View { return d.view.Load() }

// Closing implements caller.Daemon.
func (d *Daemon) Closing() bool { return d.closing.Load() }

// ControlBytes returns the control bytes received and sent so far.
func (d *Daemon) ControlBytes() (in, out int64) { return d.meter.In(), d.meter.Out() }

// Seen implements caller.Daemon: another daemon serves the release, written
// as number-content. If it is the one staged here, it was accepted, and this
// daemon activates it before the call goes on.
func (d *Daemon) Seen(release string) {
	n, h, ok := strings.Cut(release, "-")
	i, err := strconv.ParseUint(n, 10, 64)
	if !ok || err != nil || i <= d.View().Snapshot.Number() {
		return
	}
	_ = d.do(context.Background(), func(c *control) { c.observeRelease(i, h) })
}

// do runs f on the control goroutine and waits for it.
func (d *Daemon) do(x context.Context, f func(*control)) error {
	done := make(chan struct{})
	select {
	case d.requests <- func(c *control) { defer close(done); f(c) }:
		<-done // what control took, it runs
		return nil
	case <-d.stopped:
		return result.New(result.Stopped, "the daemon is stopping")
	case <-x.Done():
		return x.Err()
	}
}

// random returns a source of its own for each use, so that no two goroutines
// share one.
func (d *Daemon) random() *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, d.randomSources.Add(1)))
}

func (d *Daemon) event(x context.Context, i event.ID, a ...slog.Attr) {
	event.Log(x, d.log, i, a...)
}

// compiled is a checked configuration: base and overlays, or a table.
type compiled interface {
	Snapshot(site string, number uint64, content string) (*site.Snapshot, error)
	Sites() []string // that it lists, none if it is the same everywhere
}

// content is a configuration by its hash. When it cannot be served at this
// site, refusal says why.
type content struct {
	hash    string
	data    []byte
	config  compiled
	refusal *result.Error

	// The bytes that peers fetch are made once: a herd that each cost a compressor
	// of its own would take megabytes.
	compressed func() ([]byte, error)
	deltas     sync.Map // of func() ([]byte, error), by the hash of the base
}

func newContent(hash string, data []byte) *content {
	return &content{
		hash:       hash,
		data:       data,
		compressed: sync.OnceValues(func() ([]byte, error) { return store.Compress(data, nil) }),
	}
}

// reuseCompressed hands on what was fetched as it came, without a compressor of its own.
// It is called before others know of k.
func (k *content) reuseCompressed(f fetched) {
	if len(f.compressed) == 0 {
		return
	}
	packed := func() ([]byte, error) { return f.compressed, nil }
	if f.base == "" {
		k.compressed = packed
		return
	}
	k.deltas.Store(f.base, packed)
}

// delta returns the data compressed against those of the base.
func (k *content) delta(base *content) ([]byte, error) {
	f, ok := k.deltas.Load(base.hash)
	if !ok {
		f, _ = k.deltas.LoadOrStore(base.hash, sync.OnceValues(func() ([]byte, error) { return store.Compress(k.data, base.data) }))
	}
	return f.(func() ([]byte, error))()
}

// guard runs f. An unexpected error in it, as after a message that no peer
// should send, ends f and not the process, which carries requests of others.
func (d *Daemon) guard(what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			d.logPanic(what, p)
		}
	}()
	f()
}

func (d *Daemon) logPanic(what string, cause any) {
	d.event(context.Background(), event.Panicked, slog.String("What", what), slog.String("Cause", fmt.Sprint(cause)), slog.String("Stack", string(debug.Stack())))
}

// pause waits for t or the end of x and tells whether x goes on.
func pause(x context.Context, t time.Duration) bool {
	k := time.NewTimer(t)
	defer k.Stop()
	select {
	case <-k.C:
		return true
	case <-x.Done():
		return false
	}
}

// backoff draws the next wait by decorrelated jitter: between low and three
// times the last one, at most high.
func backoff(r *rand.Rand, last, low, high time.Duration) time.Duration {
	n := low + time.Duration(r.Float64()*float64(max(last, low)*3-low))
	return min(n, high)
}

// countedStore counts the calls of the platform.
type countedStore struct {
	store.Store
	calls atomic.Int64
}

func (s *countedStore) Get(x context.Context, key string) (store.Object, error) {
	s.calls.Add(1)
	return s.Store.Get(x, key)
}

func (s *countedStore) Put(x context.Context, key, version string, value []byte) (store.Object, error) {
	s.calls.Add(1)
	return s.Store.Put(x, key, version, value)
}

func (s *countedStore) List(x context.Context, prefix string) (store.Listing, error) {
	s.calls.Add(1)
	return s.Store.List(x, prefix)
}

func (s *countedStore) Watch(x context.Context, prefix, revision string, f func(store.Event) error) error {
	s.calls.Add(1)
	return s.Store.Watch(x, prefix, revision, f)
}
