package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// scarceListener accepts connections as long as fewer than limit of them are open, and
// fails for lack of a descriptor otherwise.
type scarceListener struct {
	net.Listener
	limit  int64
	open   atomic.Int64
	failed atomic.Int64 // accepts
}

// Accept implements net.Listener.
func (l *scarceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.open.Add(1) > l.limit {
		// The kernel keeps the connection in its queue, as here until a later Accept.
		l.open.Add(-1)
		l.failed.Add(1)
		f, err := c.(*net.TCPConn).File()
		if err == nil {
			_ = c.Close()
			l.Listener = &requeueListener{Listener: l.Listener, file: f}
		}
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return &scarceConn{Conn: c, l: l}, nil
}

// requeueListener returns the connection of the file from its first Accept.
type requeueListener struct {
	net.Listener
	file *os.File
}

// Accept implements net.Listener.
func (l *requeueListener) Accept() (net.Conn, error) {
	if l.file == nil {
		return l.Listener.Accept()
	}
	f := l.file
	l.file = nil
	defer func() { _ = f.Close() }()
	return net.FileConn(f)
}

// scarceConn frees its descriptor when it is closed.
type scarceConn struct {
	net.Conn
	l    *scarceListener
	once sync.Once
}

// Close implements net.Conn.
func (c *scarceConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}

// startScarce starts a server for requests, which answers them with status 200 and
// accepts from l.
func startScarce(t *testing.T, s *servers, l net.Listener) *server {
	t.Helper()
	v := s.startWork(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	t.Cleanup(func() {
		_ = v.Close()
		if err := s.group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return v
}

// client is a caller with one connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dialClient(t *testing.T, address string) client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return client{c, bufio.NewReader(c)}
}

// call sends a request and reports whether it is answered.
func (c client) call(t *testing.T) bool {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(finishTimeout))
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return false
	}
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false
	}
	return p.Body.Close() == nil
}

// idleClients returns n callers with idle connections, the longest idle first.
func idleClients(t *testing.T, v *server, address string, n int) []client {
	t.Helper()
	var l []client
	for range n {
		c := dialClient(t, address)
		if !c.call(t) {
			t.Fatal("no answer on a new connection")
		}
		l = append(l, c)
		awaitIdle(t, v, len(l), 0)
	}
	awaitIdle(t, v, n, idleSettleTime)
	return l
}

// isClosed reports whether the server closes the connection.
func (c client) isClosed() bool {
	_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.r.ReadByte()
	return err == io.EOF
}

// awaitIdle waits until n connections have been idle for the time least.
func awaitIdle(t *testing.T, v *server, n int, least time.Duration) {
	t.Helper()
	x, stop := context.WithTimeout(t.Context(), finishTimeout)
	defer stop()
	for countIdle(v.connections, time.Now().Add(-least)) < n {
		if !pause(x, time.Millisecond) {
			t.Fatalf("there are no %d idle connections", n)
		}
	}
}

// countIdle returns how many connections have been idle since the time t.
func countIdle(c *connections, t time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, v := range c.states {
		if v.state == http.StateIdle && !v.since.After(t) {
			n++
		}
	}
	return n
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestCallerServedWhenIdleConnectionsHoldDescriptors guards against callers that get no connection because idle connections of others hold all descriptors.
func TestCallerServedWhenIdleConnectionsHoldDescriptors(t *testing.T) {
	t.Parallel()
	l := listenLocal(t)
	k := &scarceListener{Listener: l, limit: 2 * acceptFailureCloses}
	v := startScarce(t, &servers{daemon: &Daemon{}}, k)
	c := idleClients(t, v, l.Addr().String(), 2*acceptFailureCloses)
	if !dialClient(t, l.Addr().String()).call(t) {
		t.Error("no answer when idle connections hold all descriptors")
	}
	if k.failed.Load() == 0 {
		t.Error("no accept failed")
	}
	for i, n := range c[acceptFailureCloses:] {
		if !n.call(t) {
			t.Errorf("connection %d, not one of the longest idle, was closed", acceptFailureCloses+i)
		}
	}
}

// TestIdleConnectionsMakeRoomBeforeAcceptFails guards against descriptors that run out, and against a close of other connections than the longest idle.
func TestIdleConnectionsMakeRoomBeforeAcceptFails(t *testing.T) {
	t.Parallel()
	l := listenLocal(t)
	s := &servers{daemon: &Daemon{}}
	s.idle.limit = 4
	v := startScarce(t, s, l)
	c := idleClients(t, v, l.Addr().String(), s.idle.limit)
	if _, err := io.WriteString(c[0], "GET "); err != nil { // its next request is being read
		t.Fatal(err)
	}
	awaitRead(t, v)
	if !dialClient(t, l.Addr().String()).call(t) {
		t.Error("no answer on a new connection")
	}
	var got []bool
	for _, n := range c {
		got = append(got, n.isClosed())
	}
	if d := cmp.Diff([]bool{false, true, false, false}, got); d != "" {
		t.Errorf("closed (-want +got)\n%s", d)
	}
}

// failingListener fails each Accept until it is closed.
type failingListener struct {
	net.Listener
	failures chan struct{} // one element for each failed Accept
}

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	select {
	case l.failures <- struct{}{}:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	default:
		return nil, net.ErrClosed
	}
}

// TestFailedAcceptsAreLogged guards against an address that takes no connections without a log line.
func TestFailedAcceptsAreLogged(t *testing.T) {
	t.Parallel()
	l := listenLocal(t)
	var b bytes.Buffer
	s := &servers{daemon: &Daemon{log: slog.New(slog.NewJSONHandler(&b, nil))}}
	v := s.start(failingListener{l, make(chan struct{}, 3)}, http.NotFoundHandler())
	_ = s.group.Wait() // the closed listener ends the server
	_ = v.Close()
	var got struct {
		Event, Address, Cause string
		Failures              int
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatalf("%v in the log: %s", err, b.Bytes())
	}
	want := got
	want.Event, want.Address, want.Failures = "FE108", l.Addr().String(), 1
	want.Cause = "accept tcp: accept4: too many open files"
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("log line (-want +got)\n%s", d)
	}
}

// TestAcceptFailuresAreLoggedAtBoundedRate guards against a flood of log lines while no connection can be accepted.
func TestAcceptFailuresAreLoggedAtBoundedRate(t *testing.T) {
	var f acceptFailures
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	var got []int
	for range 25 {
		if f.add(now, 0) {
			got = append(got, f.count)
			f = acceptFailures{loggedAt: now}
		}
		now = now.Add(acceptLogInterval / 10)
	}
	if d := cmp.Diff([]int{1, 10, 10}, got); d != "" {
		t.Errorf("failures in each line (-want +got)\n%s", d)
	}
}
