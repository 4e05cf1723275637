package daemon

import (
	"bytes"
	"net"
	"net/http"
	"sync"

	"figwheel/caller"
)

// http2Preface begins a connection that carries several requests at a time.
const http2Preface = "PRI "

// keptConn is a connection that can be closed between two requests: while net/http
// has got no byte of the next one. Its state, as net/http reports it, does not show
// that: a request counts as active only when its headers have been read.
type keptConn struct {
	net.Conn

	mu          sync.Mutex
	read        bool // whether bytes of a request have been read
	served      bool // whether the headers of a request have been read and it has not ended
	nextBegun   bool // whether a byte of the request after the current one has been read
	multiplexed bool // whether it is an HTTP/2 connection
	closed      bool // whether closeUnread has closed it
}

// keptListener wraps each accepted connection in a keptConn.
type keptListener struct{ net.Listener }

// Accept implements net.Listener.
func (l keptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c}, nil
}

// Read implements net.Conn.
func (c *keptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if !c.read && bytes.HasPrefix(p[:n], []byte(http2Preface)) {
		c.multiplexed = true
	}
	// While net/http serves a request, it reads a single byte of the next one.
	if c.served && len(p) == 1 {
		c.nextBegun = true
	}
	c.read = true
	return n, err
}

// setState records that a request is served, or that the current one has ended.
func (c *keptConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = s == http.StateActive
	if s == http.StateIdle {
		c.read, c.nextBegun = c.nextBegun, false
	}
}

// isReading reports whether bytes of the next request have been read.
func (c *keptConn) isReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read && !c.multiplexed
}

// closeUnread closes the connection and reports true if no byte of a next request
// has been read or has arrived: a close would reset the connection under it. For
// HTTP/2, whose frames between requests are not told apart from requests, the caller
// has to know that it is idle.
func (c *keptConn) closeUnread() bool {
	c.mu.Lock()
	if c.read && !c.multiplexed || caller.HasUnreadBytes(c.Conn) {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// CloseWrite closes the writing side of the connection. net/http calls it before
// it closes a connection on which the caller may still be sending.
func (c *keptConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection is closed, see net.TCPConn.SetLinger.
func (c *keptConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
