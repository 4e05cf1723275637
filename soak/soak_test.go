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

// failedOnce are the seeds that ever failed, with a line on the cause.
var failedOnce = []uint64{}

// TestSoak plays a short seed, and those that ever failed, against the program
// as it is built from this tree.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some ten seconds a seed")
	}
	binary := filepath.Join(t.TempDir(), "figwheel")
	if b, err := exec.Command("go", "build", "-o", binary, "figwheel/cmd/figwheel").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	for _, seed := range append([]uint64{1}, failedOnce...) {
		var out strings.Builder
		ok, err := soak.Run(t.Context(), soak.Options{Binary: binary, Dir: t.TempDir(), Seed: seed, Daemons: 4, Length: 5 * time.Second, PortBase: 13000, Out: &out})
		if err != nil {
			t.Fatal(err)
		}
		t.Log(out.String())
		if !ok {
			t.Errorf("seed %d broke a promise", seed)
		}
	}
}

// TestPlan checks that a seed always gives the same steps, in order, and that
// every kind comes.
func TestPlan(t *testing.T) {
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
	for _, k := range []soak.Kind{soak.Kill, soak.Herd, soak.Pause, soak.StoreDown, soak.LinkSilentTo, soak.LinkReset, soak.WorkerCrash, soak.Term, soak.Config} {
		if !seen[k] {
			t.Errorf("%s never comes", k)
		}
	}
}

// TestProxy passes bytes on, holds them back while a way is silent, and resets.
func TestProxy(t *testing.T) {
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
		t.Error("nothing came back")
	}
	p.Set(soak.SilentFrom)
	if echo(200 * time.Millisecond) {
		t.Error("an answer came through a silent way")
	}
	p.Set(soak.Pass)
	if !echo(10 * time.Second) {
		t.Error("nothing came back after the silence")
	}
	p.Reset()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
}
