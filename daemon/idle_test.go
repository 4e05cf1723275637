package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/site"
)

// TestConfiguredIdleTimeoutClosesCallersConnection guards against an idle time-out of the configuration that has no effect.
func TestConfiguredIdleTimeoutClosesCallersConnection(t *testing.T) {
	t.Parallel()
	m := newManagedFleet(t, 2)
	m.waitServing(1)
	const timeout = 300 * time.Millisecond
	b, err := site.Table{Number: 2, Limits: site.Limits{IdleTime: timeout}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m.put(b)
	m.waitServing(2)
	c := dialClient(t, m.daemons[0].Settings().CallAddress)
	if !c.call(t) {
		t.Fatal("no answer")
	}
	answered := time.Now()
	_ = c.SetDeadline(answered.Add(finishTimeout))
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want the end of the connection", err)
	}
	if d := time.Since(answered); d < timeout*9/10 {
		t.Errorf("closed after %s, the time-out is %s", d, timeout)
	}
}

// TestConnectionStaysOpenUntilIdleTimeout guards against a close under a caller that uses a connection again before the configured time-out, and against one that stays open for a request that never arrives.
func TestConnectionStaysOpenUntilIdleTimeout(t *testing.T) {
	const timeout = 300 * time.Second // more than the constant idleTimeout
	type test struct {
		reading bool // whether the first byte of the next request has been read
		after   time.Duration
		want    bool
	}
	for _, v := range []test{
		{false, timeout * 4 / 5, false},
		{false, timeout - 1, false},
		{false, timeout, true},
		{true, timeout, false},
		{true, timeout + stalledTime - 1, false},
		{true, timeout + stalledTime, true},
	} {
		near, far := net.Pipe()
		k := &keptConn{Conn: far, read: v.reading, nextBegun: v.reading}
		c := &connections{}
		c.setState(k, http.StateIdle)
		c.closeExpired(c.states[k].since.Add(v.after), timeout)
		got := v
		got.want = c.count() == 0
		if d := cmp.Diff(v, got, cmp.AllowUnexported(test{})); d != "" {
			t.Errorf("closed (-want +got)\n%s", d)
		}
		_ = near.Close()
		_ = far.Close()
	}
}
