package daemon

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/change"
	"figwheel/hop/hoptest"
	"figwheel/peer"
	"figwheel/peer/peerpb"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/site"
	"figwheel/store"
)

// slowLinkBytesPerSecond is the rate of the links of most machines of a site, 5 Mbit/s.
const slowLinkBytesPerSecond = 5e6 / 8

// serveSlowly serves h over a slow link until the test ends, and returns its URL.
func serveSlowly(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v := httptest.NewUnstartedServer(h)
	_ = v.Listener.Close()
	v.Listener = &hoptest.SlowLink{Listener: l, BytesPerSecond: slowLinkBytesPerSecond}
	v.Start()
	t.Cleanup(func() { v.CloseClientConnections(); v.Close() })
	return v.URL
}

// behindSlowLinks returns what prepares a fleet whose daemons read the platform's store each
// over a slow link of its own.
func behindSlowLinks(t *testing.T) func(f *fleet) {
	return func(f *fleet) {
		f.wrap = func(string) store.Store {
			return &platform.Client{Base: serveSlowly(t, platformtest.Handler{Store: f.store})}
		}
	}
}

// TestLargeConfigurationOverSlowLinks guards against a configuration that never comes into force because it takes longer on the link of each machine than one read of it may take. It grows as far as the store takes it, and is there again after a restart of all daemons.
func TestLargeConfigurationOverSlowLinks(t *testing.T) {
	t.Parallel()
	const (
		applied   = 10 * time.Second // a version within seconds
		recovered = 15 * time.Second
	)
	f := newPlatformFleet(t, 3, behindSlowLinks(t))
	within := func(most time.Duration, what string, n uint64) {
		t.Helper()
		began := time.Now()
		f.waitServing(n)
		if d := time.Since(began); d > most {
			t.Errorf("%s: in force after %s, want %s", what, d, most)
		}
	}
	var last uint64
	for n, routes := range []int{1600, 3240, 4880} {
		r := []platformtest.Route{{PathPrefix: "/", Service: "s"}}
		for i := range routes {
			r = append(r, platformtest.Route{PathPrefix: fmt.Sprintf("/idle%04d/", i), Service: "s", Repeats: true})
		}
		last = uint64(n) + 2
		b, err := platformtest.Config(last, "h.example", r...)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.Overwrite(platform.ConfigKey, b); err != nil { // a larger one than daemons write
			t.Fatal(err)
		}
		within(applied, fmt.Sprintf("%d bytes", len(b)), last)
	}
	for i := range f.daemons {
		f.kill(i)
	}
	for i := range f.daemons {
		f.start(i, f.daemons[i].Settings())
	}
	within(recovered, "after a restart", last)
}

// contentPeer has one content.
type contentPeer struct {
	peerpb.UnimplementedPeerServiceHandler
	data []byte
}

// Fetch implements peerpb.PeerServiceHandler.
func (p contentPeer) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	z, err := store.Compress(p.data, nil)
	return &peerpb.FetchResponse{Compressed: z}, err
}

// TestLargeContentOverSlowLink guards against a content that no daemon can fetch from another one because it takes longer on the link than one message.
func TestLargeContentOverSlowLink(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	p := contentPeer{data: make([]byte, 1<<20)}
	r := rand.New(rand.NewPCG(1, 1))
	for i := range p.data {
		p.data[i] = byte(r.Uint32()) // takes as many bytes when it is compressed
	}
	path, h := peer.NewHandler(p)
	m := http.NewServeMux()
	m.Handle(path, h)
	u := serveSlowly(t, m)
	g, ok := f.daemons[0].fetchFromPeer(t.Context(), u[len("http://"):], site.Hash(p.data))
	if !ok || !bytes.Equal(g.data, p.data) {
		t.Errorf("%d of %d bytes", len(g.data), len(p.data))
	}
}

// countingWriter counts the bytes of the bodies of answers.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

// Write implements http.ResponseWriter.
func (w countingWriter) Write(b []byte) (int, error) {
	w.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

// TestLargeConfigurationIsReadOnce guards against pollers that take all of a slow link to read again a large configuration that has not changed, so that a change waits for that. It still has to be found at once, also when the store has forgotten the history that the daemons know, refuses them for a time or comes back from a copy.
func TestLargeConfigurationIsReadOnce(t *testing.T) {
	t.Parallel()
	const (
		calm      = 4 * time.Second // some intervals of the pollers
		instances = 3
	)
	var sent atomic.Int64
	f := newPlatformFleet(t, instances, func(f *fleet) {
		h := platformtest.Handler{Store: f.store}
		v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(countingWriter{w, &sent}, r)
		}))
		t.Cleanup(func() { v.CloseClientConnections(); v.Close() })
		f.wrap = func(string) store.Store { return &platform.Client{Base: v.URL} }
	})
	n := uint64(1)
	write := func() (bytes int64) {
		t.Helper()
		n++
		r := []platformtest.Route{{PathPrefix: "/", Service: "s"}}
		for i := range 1600 {
			r = append(r, platformtest.Route{PathPrefix: fmt.Sprintf("/idle%04d-%d/", i, n), Service: "s"})
		}
		b, err := platformtest.Config(n, "h.example", r...)
		if err == nil {
			_, err = f.store.Overwrite(platform.ConfigKey, b)
		}
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		f.waitServing(n)
		if d := time.Since(began); d > 2*time.Second {
			t.Errorf("version %d: in force after %s", n, d)
		}
		return int64(len(b))
	}
	size := write()
	time.Sleep(calm)
	before := sent.Load()
	time.Sleep(calm)
	if got := sent.Load() - before; got > size/2 {
		t.Errorf("%d bytes were read while nothing changed; the configuration has %d", got, size)
	}
	write()
	f.store.SetFaults(platformtest.Faults{ForgottenBefore: 1000})
	write()
	f.store.SetFaults(platformtest.Faults{Refuses: true})
	time.Sleep(2 * change.PollInterval)
	f.store.SetFaults(platformtest.Faults{})
	write()
	f.store.SetEra(5)
	f.store.Restore(time.Now())
	write()
}
