package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/change"
	"figwheel/hop"
	"figwheel/peer"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/site"
	"figwheel/store"
)

const (
	baselinePollInterval  = time.Second
	baselineQuietDuration = 5 * time.Second
)

// baseline is a fleet of proxies without figwheel. Each of them watches or polls
// the platform and fetches each content from it.
type baseline struct {
	b        *testing.B
	store    *platformtest.Store
	meter    peer.Meter
	client   *platform.Client
	sequence uint64
	served   []atomic.Uint64
	stop     context.CancelFunc
	ended    sync.WaitGroup
}

// newBaseline starts n proxies. They poll the platform if way is "poll" and watch
// it otherwise.
func newBaseline(b *testing.B, n int, way string) *baseline {
	p := &baseline{b: b, store: &platformtest.Store{}, served: make([]atomic.Uint64, n)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	x, stop := context.WithCancel(context.Background())
	p.stop = stop
	s := &http.Server{Handler: platformtest.Handler{Store: p.store}, ReadHeaderTimeout: headerTimeout}
	p.ended.Go(func() { _ = s.Serve(p.meter.Listener(l)) })
	p.ended.Go(func() {
		<-x.Done()
		_ = s.Close()
	})
	p.client = &platform.Client{Base: "http://" + l.Addr().String()}
	p.change(0)
	for i := range n {
		c := p.client
		c.HTTP = &http.Client{Transport: hop.NewTransport(0, time.Second, time.Minute)}
		p.ended.Go(func() {
			if way == "poll" {
				p.poll(x, c, i, time.Duration(i)*baselinePollInterval/time.Duration(n))
				return
			}
			p.watch(x, c, i)
		})
	}
	return p
}

// change writes the next version and returns the time after it. There is no
// other writer.
func (p *baseline) change(edition int) time.Time {
	b, err := bundle(benchSites, benchServices, edition).Encode()
	if err != nil {
		p.b.Fatal(err)
	}
	x := context.Background()
	h, err := store.PutContent(x, p.store, b)
	if err != nil {
		p.b.Fatal(err)
	}
	o, _ := p.store.Get(x, change.HeadKey)
	p.sequence++
	d, err := change.Head{Sequence: p.sequence, InForce: change.Release{Number: p.sequence, Content: h}}.Encode()
	if err != nil {
		p.b.Fatal(err)
	}
	if _, err := p.store.Put(x, change.HeadKey, o.Version, d); err != nil {
		p.b.Fatal(err)
	}
	return time.Now()
}

func (p *baseline) watch(x context.Context, c *platform.Client, i int) {
	for x.Err() == nil {
		_ = c.Watch(x, change.HeadKey, "", func(e store.Event) error { return p.take(x, c, i, e.Object) })
	}
}

func (p *baseline) poll(x context.Context, c *platform.Client, i int, first time.Duration) {
	for pause(x, first) {
		first = baselinePollInterval
		if o, err := c.Get(x, change.HeadKey); err == nil {
			_ = p.take(x, c, i, o)
		}
	}
}

// take fetches, checks and compiles the content that the head in o names, as a
// daemon does.
func (p *baseline) take(x context.Context, c *platform.Client, i int, o store.Object) error {
	h, err := change.DecodeHead(o.Value)
	if err != nil || h.InForce.Number <= p.served[i].Load() {
		return err
	}
	d, err := store.GetContent(x, c, h.InForce.Content)
	if err != nil {
		return err
	}
	b, err := site.DecodeBundle(d)
	if err != nil {
		return err
	}
	n := fmt.Sprintf("site-%d", i%benchSites)
	f, _ := site.CheckSite(b, n)
	if _, err := f.Snapshot(n, h.InForce.Number, h.InForce.Content); err != nil {
		return err
	}
	p.served[i].Store(h.InForce.Number)
	return nil
}

// convergenceTimes waits until each proxy serves the version in force and returns
// how long after t each of them did.
func (p *baseline) convergenceTimes(t time.Time) []time.Duration {
	r := make([]time.Duration, len(p.served))
	var w sync.WaitGroup
	for i := range p.served {
		w.Go(func() {
			for p.served[i].Load() < p.sequence {
				time.Sleep(200 * time.Microsecond)
			}
			r[i] = time.Since(t)
		})
	}
	w.Wait()
	return r
}

func (p *baseline) bytes() float64 { return float64(p.meter.In() + p.meter.Out()) }

// BenchmarkBaseline measures fleets that watch or poll the platform, to compare
// with BenchmarkConverge and BenchmarkQuiet.
func BenchmarkBaseline(b *testing.B) {
	for _, n := range benchSizes() {
		for _, way := range []string{"watch-all", "poll"} {
			b.Run(fmt.Sprintf("instances=%d/way=%s", n, way), func(b *testing.B) {
				for range b.N {
					measureBaseline(b, n, way)
				}
			})
		}
	}
}

func measureBaseline(b *testing.B, n int, way string) {
	p := newBaseline(b, n, way)
	p.convergenceTimes(time.Now())
	w, c, t := p.bytes(), p.store.Counts().Calls(), time.Now()
	time.Sleep(baselineQuietDuration)
	s := time.Since(t).Seconds()
	b.ReportMetric((p.bytes()-w)/s/float64(n), "control-B/instance/s")
	b.ReportMetric(float64(p.store.Counts().Calls()-c)/s, "platform-calls/s")
	w, c = p.bytes(), p.store.Counts().Calls()
	var took []time.Duration
	for i := range benchChanges {
		took = append(took, p.convergenceTimes(p.change(i+1))...)
	}
	reportQuantiles(b, took)
	b.ReportMetric((p.bytes()-w)/benchChanges/float64(n), "change-B/instance")
	b.ReportMetric(float64(p.store.Counts().Calls()-c)/benchChanges, "platform-calls/change")
	p.stop()
	p.ended.Wait()
}
