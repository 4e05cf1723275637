package hop

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A connection that went silent without a reset is found by probes of the
// kernel, so that it does not hold requests until their deadlines.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	unackedTime   = 2 * time.Second // after which sent bytes without an ack break the connection

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of Linux, which package syscall lacks

	connBufferBytes = 2 << 10 // each way; heads fit and larger bodies bypass it

	// expectTime bounds how long a daemon may take to say whether it wants a
	// large body. It is longer than any wait for a slot that a request outlives.
	expectTime = 10 * time.Minute

	// headBytesMax bounds the head of an answer, in bytes: a peer in trouble may
	// send one without end, and small machines hold many at a time.
	headBytesMax = 16 << 10
)

// Prober returns the settings by which the kernel finds silent connections.
func Prober() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer whose connections do not stay silent for long.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: Prober(), Control: boundUnacked}
}

func boundUnacked(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Without it a broken path is found later; nothing else depends on it.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTime.Milliseconds()))
	})
}

var errSealed = errors.New("the connection takes no more bytes")

// conn is a connection that knows whether anything was written to it. That is
// the only proof that a request which failed on it was not run.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool

	retired atomic.Bool // takes no further request
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids writes from now on and returns how many there were.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sent follows the connection that a request is sent on.
type sent struct {
	conn     *conn
	before   uint64 // writes to it before the request
	reused   bool
	opaque   bool // not one of this package's connections
	repeated bool // net/http wanted to send it once more
}

func (s *sent) trace(x context.Context) context.Context {
	return httptrace.WithClientTrace(x, &httptrace.ClientTrace{GotConn: s.got})
}

// got notes the connection. When one breaks, net/http sends many requests again
// by itself; whether that is safe, and within the budget, is decided elsewhere,
// so the second connection is not let write.
func (s *sent) got(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		s.opaque = true
		return
	}
	if s.conn != nil && s.conn.seal() != s.before {
		s.repeated = true
		c.seal()
	}
	s.conn = c
	s.before = c.written()
	s.reused = i.Reused
	if c.retired.Load() {
		c.seal() // fails before anything is written, and another is taken
	}
}

// retire keeps later requests off the connection: what it still brings belongs
// to none of them. One that has got it already goes on; net/http hands a
// connection out again as soon as an answer without a body has come.
func (s *sent) retire() {
	if s.conn != nil {
		s.conn.retired.Store(true)
	}
}

// nothing tells whether no byte of the request was or will be written.
func (s *sent) nothing() bool {
	if s.opaque || s.repeated {
		return false
	}
	return s.conn == nil || s.conn.seal() == s.before
}

// NewTransport returns a transport with at most n connections to an address,
// 0 for no limit, that closes those which were idle for longer than idle.
func NewTransport(n int, dial, idle time.Duration) *http.Transport {
	const idlePerAddress = 64
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
		MaxIdleConnsPerHost:    idlePerAddress,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headBytesMax,
		ExpectContinueTimeout:  expectTime,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
	}
}
