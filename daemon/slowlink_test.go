package daemon

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

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
