package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The kernel's keep-alive probes find a connection that became silent without a
// reset, so that it does not block requests until their deadlines.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	unackedTimeout    = 2 * time.Second // unacknowledged bytes break the connection after this time

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, which package syscall lacks

	connBufferBytes = 2 << 10 // for each direction; message heads fit, and larger bodies bypass the buffer

	// expectContinueTimeout is how long the transport waits for a daemon to agree
	// to take a large body; after that it sends the body anyway. It is longer than
	// any wait for a slot that ends before the deadline of the request.
	expectContinueTimeout = 10 * time.Minute

	// responseHeadBytesMax bounds the head of a response, in bytes: a faulty peer
	// may send one without end, and small machines hold many at a time.
	responseHeadBytesMax = 16 << 10
)

// KeepAlive returns the keep-alive settings by which the kernel finds silent
// connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer with the given timeout. Its connections break soon after
// the other side has become silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: setUnackedTimeout}
}

// setUnackedTimeout is a net.Dialer.Control that sets unackedTimeout on the
// connection.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without the option a broken path is found later. Nothing else depends
		// on it, so an error is ignored.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

var errWritesBlocked = errors.New("the connection takes no more bytes")

// conn is a connection that counts the writes to it. A request that failed on it is
// proved not to have run if nothing was written, and otherwise only if a daemon got
// none of its body, as Body.Withheld reports.
type conn struct {
	net.Conn
	mu            sync.Mutex
	writes        uint64
	writesBlocked bool

	writing  sync.Mutex // held during a write
	writeErr error      // first error of a write, guarded by writing

	retired  atomic.Bool // whether no further request may use it
	refusals refusals
	coding   codingScan
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the other side has closed the
// connection, and the error of the connection if it broke.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.coding.read(b[:n])
	if errors.Is(err, io.EOF) {
		if broken := c.brokenBefore(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// brokenBefore returns the error by which the connection broke if a write has returned
// it. The kernel reports the error of a broken connection once: if a write gets it, reads
// return the end of the stream from then on, as if the other side had closed the connection.
// A write that is in progress is ended, since it may have got the error and not
// returned: what is left to write has no reader after the end of the stream.
func (c *conn) brokenBefore() error {
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	var e syscall.Errno
	// EPIPE says that the other side had closed the connection before it broke.
	if errors.As(c.writeErr, &e) && e != syscall.EPIPE {
		return c.writeErr
	}
	return nil
}

// writeCount returns the number of writes so far.
func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites makes further writes fail and returns the number of writes so far.
func (c *conn) blockWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes
}

// errResend ends a round trip whose request the transport wants to write a second time.
var errResend = errors.New("the connection broke after the request was written to it")

// connTrace tracks the connections on which the transport sends one request. It lets
// the transport write the request to one of them at most.
type connTrace struct {
	cancel       context.CancelCauseFunc // of the context of the request
	conn         *conn                   // the last connection that the request got
	writesBefore uint64                  // writes on conn before the request
	reused       bool                    // whether the last connection has carried another request before
	untracked    bool                    // whether the request got a connection that is not a *conn
	resent       bool                    // whether net/http wanted to resend the request after a write
	requestID    string                  // see contract.Headers; empty if the request has none
	refusedConns int                     // connections that were avoided, see mustAvoid
	passedOver   bool                    // whether the last connection takes no further request, or not this one
	repeated     bool                    // whether the id was among conn.refusals before
	refused      bool                    // whether a refusal that names the id was proved to be of the request
	interimBytes int                     // of the heads of interim responses
}

// withTrace returns x with a trace that calls getConn, gotConn and gotInterim. It sets
// s.cancel, which is to be called when the response has been read.
func (s *connTrace) withTrace(x context.Context) context.Context {
	x, s.cancel = context.WithCancelCause(x)
	return httptrace.WithClientTrace(x, &httptrace.ClientTrace{GetConn: s.getConn, GotConn: s.gotConn, Got1xxResponse: s.gotInterim})
}

// getConn ends the round trip if the transport asks for another connection after it
// wrote to the last one. When a reused connection breaks, net/http resends requests by
// itself, chosen by their methods and headers. Whether a resend is safe and within the
// retry budget is decided elsewhere. A request of which nothing was written goes on.
func (s *connTrace) getConn(string) {
	if !s.unsent() {
		s.resent = true
		s.cancel(errResend)
	}
}

// gotConn records the connection that the request got.
func (s *connTrace) gotConn(i httptrace.GotConnInfo) {
	if s.resent {
		// An idle connection may be handed out although the round trip has ended.
		_ = i.Conn.Close()
		return
	}
	s.reused = i.Reused
	c, ok := i.Conn.(*conn)
	if !ok {
		s.untracked = true
		return
	}
	s.conn = c
	s.writesBefore = c.writeCount()
	s.passedOver = c.retired.Load() || s.mustAvoid(c)
	s.repeated = s.requestID != "" && !c.refusals.add(s.requestID)
	c.coding.due.Store(true)
	if s.passedOver {
		c.blockWrites() // the request fails before anything is written, and is sent on another connection
	}
}

// retire keeps later requests off the connection: a late response on it belongs to
// none of them. A request that already has the connection continues: net/http
// reuses a connection as soon as a response without a body has arrived.
func (s *connTrace) retire() {
	if s.conn != nil {
		s.conn.retired.Store(true)
	}
}

// unsent reports whether no byte of the request was written. It blocks further
// writes on the connection, so that none will be.
func (s *connTrace) unsent() bool {
	if s.untracked || s.resent {
		return false
	}
	return s.conn == nil || s.conn.blockWrites() == s.writesBefore
}

// NewTransport returns a transport with at most n connections to an address, or any
// number if n is 0. A connection must be established within the time dial, and is
// closed when it has been idle for longer than the time idle.
func NewTransport(n int, dial, idle time.Duration) *http.Transport {
	const idleConnsPerAddress = 64
	d := Dialer(dial)
	return &http.Transport{
		DialContext: func(x context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(x, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        n,
		MaxIdleConnsPerHost:    idleConnsPerAddress,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: responseHeadBytesMax,
		ExpectContinueTimeout:  expectContinueTimeout,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
}
