package caller_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
)

// pastTime is a read deadline that net/http sets to abort a read.
var pastTime = time.Unix(1, 0)

// lateConn is a connection whose reads report a timeout only after release is
// closed, as on a machine that is short of processor time.
type lateConn struct {
	net.Conn
	release chan struct{}
}

// Read implements net.Conn.
func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		<-c.release
	}
	return n, err
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conn net.Conn
}

// Accept implements net.Listener.
func (l oneConn) Accept() (net.Conn, error) { return l.conn, nil }

// TestAbortedLookaheadFailsNoLaterRead guards against a connection that is closed, or a request that is cancelled, by a read deadline that was withdrawn.
func TestAbortedLookaheadFailsNoLaterRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		ahead string // bytes of the next request that are read before the deadline
	}{{"while the next request is read", ""}, {"while the next request is served", "OST"}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				l := lateConn{Conn: far, release: make(chan struct{})}
				k, err := caller.Listener{Listener: oneConn{conn: l}}.Accept()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = k.Close() }()
				feed(t, near, "P")
				take(t, k, 1) // starts the lookahead
				if c.ahead != "" {
					feed(t, near, c.ahead)
				}
				synctest.Wait()
				if err := k.SetReadDeadline(pastTime); err != nil {
					t.Fatal(err)
				}
				synctest.Wait() // the lookahead has timed out and not reported it yet
				if err := k.SetReadDeadline(time.Time{}); err != nil {
					t.Fatal(err)
				}
				if c.ahead != "" {
					take(t, k, len(c.ahead))
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					take(t, k, 1)
				}()
				synctest.Wait() // that Read waits for the lookahead
				close(l.release)
				feed(t, near, "x")
				<-done
			})
		})
	}
}

// TestReadTimesOutWhileLookaheadRuns guards against deadlines that no longer end a Read.
func TestReadTimesOutWhileLookaheadRuns(t *testing.T) {
	for _, set := range []func(net.Conn, time.Time) error{net.Conn.SetReadDeadline, net.Conn.SetDeadline} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			k, err := caller.Listener{Listener: oneConn{conn: far}}.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = k.Close() }()
			feed(t, near, "P")
			take(t, k, 1)
			if err := set(k, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := k.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %v, want a timeout", err)
			}
		})
	}
}

// feed writes s, in a bubble of synctest.
func feed(t *testing.T, c net.Conn, s string) {
	t.Helper()
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte(s))
		sent <- err
	}()
	synctest.Wait()
	t.Cleanup(func() {
		if err := <-sent; err != nil {
			t.Error(err)
		}
	})
}

// take reads once and expects n bytes.
func take(t *testing.T, c net.Conn, n int) {
	t.Helper()
	if got, err := c.Read(make([]byte, n)); got != n || err != nil {
		t.Errorf("got %d bytes, %v; want %d", got, err, n)
	}
}
