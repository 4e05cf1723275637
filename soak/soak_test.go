package soak_test

import (
	"errors"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/soak"
)

// failedSeeds lists the seeds that have failed before, each with a comment on
// the cause.
var failedSeeds = []uint64{}

// TestSoak runs a short soak of one seed and of the seeds that have failed
// before, against the program built from this tree. It guards against changes
// that violate a guarantee when daemons, workers or the store fail.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about 10 s per seed")
	}
	binary := filepath.Join(t.TempDir(), "figwheel")
	if b, err := exec.Command("go", "build", "-o", binary, "figwheel/cmd/figwheel").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	for _, seed := range append([]uint64{1}, failedSeeds...) {
		var out strings.Builder
		ok, err := soak.Run(t.Context(), soak.Options{Binary: binary, Dir: t.TempDir(), Seed: seed, Daemons: 4, Length: 5 * time.Second, PortBase: 13000, Out: &out})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(out.String())
		if !ok {
			t.Errorf("seed %d violated a guarantee", seed)
		}
	}
}

// TestPlanIsReproducible checks that equal seeds give equal steps in order of
// time, without which a failed seed could not be run again, and that a long plan
// has steps of the kinds listed below.
func TestPlanIsReproducible(t *testing.T) {
	const length = 10 * time.Minute
	a := soak.Plan(7, 6, length)
	if d := cmp.Diff(a, soak.Plan(7, 6, length)); d != "" {
		t.Errorf("(-first +second)\n%s", d)
	}
	seen := make(map[soak.Kind]bool)
	var last time.Duration
	for _, s := range a {
		if s.At < last || s.At >= length || s.For <= 0 || s.Target < 0 || s.Target >= 6 {
			t.Errorf("%s", s)
		}
		last = s.At
		seen[s.Kind] = true
	}
	for _, k := range []soak.Kind{soak.WorkerLimit, soak.WorkerLeave, soak.Kill, soak.Herd, soak.Pause, soak.StoreDown, soak.StoreCopy, soak.LinkSilentTo, soak.LinkReset, soak.WorkerCrash, soak.WorkerLoses, soak.Term, soak.Config, soak.Flood, soak.KeyChange} {
		if !seen[k] {
			t.Errorf("no step of kind %s", k)
		}
	}
}

// TestProxyModes checks that the proxy forwards bytes, holds them back while a
// direction is silent, forwards them again afterwards and resets connections. A
// proxy without effect would let the soak pass without link faults.
func TestProxyModes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	p, err := soak.NewProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	go p.Run(t.Context())
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	echo := func(wait time.Duration) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(wait))
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}
	if !echo(10 * time.Second) {
		t.Error("no echo in mode Pass")
	}
	p.Set(soak.SilentFrom)
	if echo(200 * time.Millisecond) {
		t.Error("an echo passed in mode SilentFrom")
	}
	p.Set(soak.Pass)
	if !echo(10 * time.Second) {
		t.Error("no echo after the return to mode Pass")
	}
	p.Reset()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after Reset: got %v, want a connection reset", err)
	}
}
