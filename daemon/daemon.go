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

// Options are the settings and the dependencies of a daemon.
type Options struct {
	Settings settings.Settings
	Store    store.Store
	Log      *slog.Logger
	Now      func() time.Time
	Seed     uint64 // of all random numbers

	// Edge is the interface towards callers, workers and the writers of the
	// configuration; nil is figwheel's own.
	Edge *Edge

	// Listen opens an address; nil is net.Listen for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens connections for control traffic; nil is a net.Dialer.
	Dial peer.Dial
}

// Daemon is the process beside one worker. Create it with New and start it with
// Run.
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
	draining           atomic.Bool                         // callers should use another daemon
	activatedAt        atomic.Pointer[time.Time]           // when the served version came into force here, nil before the first
	cuts               atomic.Int64                        // connections that were cut, see recordCut
	offers             caller.Offers                       // of requests to instances, see metric.Gauges
	latestConfirmation atomic.Pointer[change.Confirmation] // nil before the first
	notReadyAnswers    atomic.Int64                        // count of answers that the daemon is not ready
	requests           chan func(*control)                 // run on the control goroutine
	unreachableWorkers chan upstream.Announcement          // last announcement of a worker that takes no connections
	clearedRequests    chan poison.Fingerprint             // suspected requests that the worker answered
	workerNotices      chan struct{}                       // signalled when the worker states something else about itself
	stopped            chan struct{}                       // closed when the control goroutine takes no more requests
	killed             chan struct{}                       // closed by tests to end the daemon without a drain
	contents           singleflight.Group                  // shares concurrent fetches of one content, by its hash
	quotas             *quotas
	metrics            *metric.Set
	randomSourceCount  atomic.Uint64

	callLogLimiter *rate.Limiter // limits the log lines about answered calls
}

// bytesPerMegabit converts the unit of the settings for links.
const bytesPerMegabit = 1e6 / 8

// callLogLinesPerSecondDefault is the default limit of log lines about answered
// calls.
const callLogLinesPerSecondDefault = 100

// New opens the addresses of the settings and returns a daemon, which Run starts.
// An address with port 0 is replaced by the address that was opened. It returns
// CannotListen if an address cannot be opened.
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
		workerNotices:      make(chan struct{}, 1),
		stopped:            make(chan struct{}),
		killed:             make(chan struct{}),
	}
	if d.log == nil {
		d.log = slog.New(slog.DiscardHandler)
	}
	d.log = d.log.With("Instance", o.Settings.Instance)
	n := cmp.Or(o.Settings.LogRate, callLogLinesPerSecondDefault)
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
	d.worker.Faulty = d.logFaultyAnswer
	d.worker.Noticed = d.signalNotice
	d.peers = peer.NewClient(&d.meter, o.Dial)
	d.quotas = newQuotas(o.Settings.Instance, o.Settings.Site, d.now())
	v := caller.NewView(nil, nil)
	v.Origin = o.Settings.Service
	d.view.Store(v)
	m, err := metric.New(metric.Gauges{
		Version:      func() int64 { return int64(d.View().Snapshot.Number()) },
		ControlIn:    d.meter.In,
		ControlOut:   d.meter.Out,
		InFlight:     func() int64 { return int64(d.worker.InFlight()) },
		PlatformCall: d.store.calls.Load,
		Sent:         d.worker.Sent,
		Cuts:         d.cuts.Load,
		LinkBacklog:  func() int64 { return d.worker.LinkLoad(d.now()).Backlog.Microseconds() },
		LinkWaiting:  func() int64 { return int64(d.worker.LinkLoad(d.now()).Waiting) },
		LinkRejected: func() int64 { return d.worker.LinkLoad(d.now()).Rejected },
		RateLimit:    d.worker.RateLimit,

		QuotaShort:    func() int64 { return int64(d.quotas.node.Short()) },
		QuotaIsolated: d.isQuotaIsolated,
		QuotaRefused:  d.quotas.node.Refused,
		QuotaMessages: d.quotas.sent.Load,
		QuotaFailures: d.quotas.failed.Load,

		OffersAnswered: d.offers.Answered,
		OffersFull:     d.offers.Full,
		OffersFailed:   d.offers.Failed,
		ReportAge:      d.offers.ReportAge,
	})
	if err != nil {
		return nil, err
	}
	d.metrics = m
	return d, d.listen(o.Listen)
}

// Settings returns the settings that the daemon was created with, with the
// addresses that were opened.
func (d *Daemon) Settings() settings.Settings { return d.settings }

// View implements caller.Daemon.
func (d *Daemon) View() *caller.View { return d.view.Load() }

// IsDraining implements caller.Daemon. It returns true from the start of a drain,
// before the other daemons learn that this instance is draining.
func (d *Daemon) IsDraining() bool { return d.draining.Load() }

// ControlBytes returns the control bytes received and sent so far.
func (d *Daemon) ControlBytes() (in, out int64) { return d.meter.In(), d.meter.Out() }

// ObserveRelease implements caller.Daemon. The release that another daemon
// serves is written as number-content. If it is the one staged here, it was
// accepted, and ObserveRelease returns after this daemon has activated it.
func (d *Daemon) ObserveRelease(release string) {
	n, h, ok := strings.Cut(release, "-")
	i, err := strconv.ParseUint(n, 10, 64)
	if !ok || err != nil || i <= d.View().Snapshot.Number() {
		return
	}
	_ = d.do(context.Background(), func(c *control) { c.observeRelease(i, h) })
}

// do runs f on the control goroutine and returns when f has returned. It returns
// an error without running f if x ends first or the daemon is stopping.
func (d *Daemon) do(x context.Context, f func(*control)) error {
	done := make(chan struct{})
	select {
	case d.requests <- func(c *control) { defer close(done); f(c) }:
		<-done // the control goroutine runs each request that it receives
		return nil
	case <-d.stopped:
		return result.New(result.Stopped, "the daemon is stopping")
	case <-x.Done():
		return x.Err()
	}
}

// newRandom returns a new source of random numbers. Each goroutine needs its own,
// because a source is not safe for concurrent use.
func (d *Daemon) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, d.randomSourceCount.Add(1)))
}

// event logs the event i.
func (d *Daemon) event(x context.Context, i event.ID, a ...slog.Attr) {
	event.Log(x, d.log, i, a...)
}

// compiledConfig is a checked configuration: site.Configuration or site.Table.
type compiledConfig interface {
	Snapshot(site string, number uint64, content string) (*site.Snapshot, error)
	Sites() []string // the sites that it lists, none if it is the same for all sites
}

// content is a configuration and its hash. If it cannot be served at this site,
// refusal says why.
type content struct {
	hash    string
	data    []byte
	config  compiledConfig
	refusal *result.Error

	// The bytes that peers fetch are compressed once. If many peers fetch at the
	// same time, a compressor for each of them would take megabytes.
	compressed func() ([]byte, error)
	deltas     sync.Map // of func() ([]byte, error), by the hash of the base
}

// number returns the number of a managed configuration, 0 for any other.
func (k *content) number() uint64 {
	t, _ := k.config.(site.Table)
	return t.Number
}

// newContent returns the content of that hash, not compiled.
func newContent(hash string, data []byte) *content {
	return &content{
		hash:       hash,
		data:       data,
		compressed: sync.OnceValues(func() ([]byte, error) { return store.Compress(data, nil) }),
	}
}

// reuseCompressed keeps the compressed bytes of f, so that peers which fetch k
// get them and k is not compressed again. It must be called before k is shared.
func (k *content) reuseCompressed(f fetched) {
	if len(f.compressed) == 0 {
		return
	}
	compressed := func() ([]byte, error) { return f.compressed, nil }
	if f.base == "" {
		k.compressed = compressed
		return
	}
	k.deltas.Store(f.base, compressed)
}

// delta returns the data of k compressed against the data of the base.
func (k *content) delta(base *content) ([]byte, error) {
	f, ok := k.deltas.Load(base.hash)
	if !ok {
		f, _ = k.deltas.LoadOrStore(base.hash, sync.OnceValues(func() ([]byte, error) { return store.Compress(k.data, base.data) }))
	}
	return f.(func() ([]byte, error))()
}

// guard runs f and recovers from a panic in it, which it logs under the name
// what. A panic, for example after a malformed message from a peer, must not end
// the process, which carries the requests of others.
func (d *Daemon) guard(what string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			d.logPanic(what, p)
		}
	}()
	f()
}

// logPanic logs a panic with its stack.
func (d *Daemon) logPanic(what string, cause any) {
	d.event(context.Background(), event.Panicked, slog.String("What", what), slog.String("Cause", fmt.Sprint(cause)), slog.String("Stack", string(debug.Stack())))
}

// pause waits for the duration t and returns true, or returns false as soon as x
// ends.
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

// backoff returns the next wait by decorrelated jitter: a random time between low
// and three times the last wait, at most high.
func backoff(r *rand.Rand, last, low, high time.Duration) time.Duration {
	n := low + time.Duration(r.Float64()*float64(max(last, low)*3-low))
	return min(n, high)
}

// countedStore is a store that counts its calls.
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

// changes returns a reader of changes that counts its calls, nil if the store is none.
func (s *countedStore) changes() changeReader {
	if _, ok := s.Store.(changeReader); !ok {
		return nil
	}
	return s
}

// Changes implements changeReader, for a store that does.
func (s *countedStore) Changes(x context.Context, prefix, from string, bytesMax int64) (store.Listing, error) {
	s.calls.Add(1)
	return s.Store.(changeReader).Changes(x, prefix, from, bytesMax)
}
