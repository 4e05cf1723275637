package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// lookaheadBytesMax limits the bytes of pipelined requests that are read before
// the current request is answered. The rest is not read until then, so that the
// caller has to hold it back.
const lookaheadBytesMax = 4 << 10

const (
	// lingerTimeMax is how long after an answer that was complete before its request
	// the caller may go on sending. A close resets the connection if bytes are unread
	// or still arrive, and a reset may discard the answer.
	lingerTimeMax = time.Second

	lingerBufferBytes = 16 << 10
)

// Connection is the connection of a caller. It detects that the caller has
// disconnected even while pipelined requests are pending. While net/http serves
// a request, it detects a disconnect by a read of one byte. The first byte of a
// pipelined request ends that read: without this type, a later disconnect would
// not be detected, and the daemon would complete work for a caller that has
// disconnected.
type Connection struct {
	net.Conn
	cancelRequests context.CancelFunc // cancels the contexts of the connection's requests
	progress       progress
	cut            func(Cut) // see Listener.Cut

	mu            sync.Mutex
	changed       sync.Cond
	readDeadline  time.Time     // zero for none
	lookahead     []byte        // bytes that were read ahead and not returned by Read yet
	lookaheadErr  error         // error that ended the lookahead, not returned by Read yet
	waitingReads  int           // calls of Read that wait for the lookahead
	lookaheadDone chan struct{} // closed when the lookahead has ended; nil if none is running
}

// Listener is a net.Listener that wraps each accepted connection in a
// Connection.
type Listener struct {
	net.Listener
	// Cut is called when a connection ends under a request that was read and not
	// answered; may be nil. It must not block.
	Cut func(c Cut)
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := newConnection(c)
	n.cut = l.Cut
	return n, nil
}

// ConnContext returns the context for the requests of a connection, which is
// cancelled when the caller disconnects. It is the http.Server.ConnContext for
// connections of a Listener.
func ConnContext(x context.Context, c net.Conn) context.Context {
	if k, ok := c.(*Connection); ok {
		x, k.cancelRequests = context.WithCancel(withProgress(x, &k.progress))
	}
	return x
}

func newConnection(c net.Conn) *Connection {
	n := &Connection{Conn: c, cancelRequests: func() {}}
	n.changed.L = &n.mu
	return n
}

// Read implements net.Conn.
func (c *Connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	for {
		if len(c.lookahead) > 0 {
			n := copy(p, c.lookahead)
			c.lookahead = c.lookahead[n:]
			c.changed.Broadcast()
			c.mu.Unlock()
			return n, nil
		}
		if err := c.lookaheadErr; err != nil {
			c.lookaheadErr = nil
			c.mu.Unlock()
			return 0, err
		}
		if c.lookaheadDone == nil {
			break
		}
		c.waitingReads++
		c.changed.Wait()
		c.waitingReads--
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.progress.read(n, err)
	// net/http reads a single byte only while it serves a request: the byte
	// belongs to the next request.
	if n == 1 && len(p) == 1 && err == nil {
		c.mu.Lock()
		c.lookaheadDone = make(chan struct{})
		go c.readAhead(c.lookaheadDone)
		c.mu.Unlock()
	}
	return n, err
}

// readAhead reads into the lookahead until a read fails, and closes done when it
// returns.
func (c *Connection) readAhead(done chan<- struct{}) {
	defer close(done)
	b := make([]byte, lookaheadBytesMax)
	for {
		c.mu.Lock()
		for len(c.lookahead) >= lookaheadBytesMax && c.lookaheadErr == nil {
			c.changed.Wait()
		}
		room := lookaheadBytesMax - len(c.lookahead)
		c.mu.Unlock()
		n, err := c.Conn.Read(b[:room])
		c.progress.read(n, err)
		c.mu.Lock()
		c.lookahead = append(c.lookahead, b[:n]...)
		// The deadline may have been replaced since the read timed out.
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && !c.deadlinePassed(time.Now()) {
			err = nil
		}
		if err != nil {
			c.lookaheadDone = nil
			// A read deadline applies only to a Read that is waiting for
			// bytes: a later Read has its own deadline.
			if !timeout || c.waitingReads > 0 && len(c.lookahead) == 0 {
				c.lookaheadErr = err
			}
			if !timeout {
				c.cancelRequests()
			}
		}
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// deadlinePassed reports whether the read deadline has passed at the time now.
func (c *Connection) deadlinePassed(now time.Time) bool {
	return !c.readDeadline.IsZero() && !now.Before(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Connection) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Write implements net.Conn.
func (c *Connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.report(c.progress.write(n, err))
	return n, err
}

// report passes k to the cut function if there is something to report.
func (c *Connection) report(k Cut, ok bool) {
	if ok && c.cut != nil {
		c.cut(k)
	}
}

// CloseWrite closes the writing side of the connection. net/http calls it before
// it closes a connection on which the caller may still be sending.
func (c *Connection) CloseWrite() error {
	c.progress.endWrite()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// linger ends the writing side of the connection, and discards what the caller sends
// until it closes its side or the time until has come.
func (c *Connection) linger(until time.Time) {
	if c.CloseWrite() != nil || c.SetReadDeadline(until) != nil {
		return
	}
	b := make([]byte, lingerBufferBytes)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// Close implements net.Conn. It lingers if the answer was complete before its request,
// unless another Close does so, which it ends. It returns after the lookahead has ended.
func (c *Connection) Close() error {
	if t := c.progress.lingerUntil(); !t.IsZero() {
		c.linger(t)
	}
	unread := HasUnreadBytes(c.Conn)
	err := c.Conn.Close()
	c.report(c.progress.close(unread))
	c.mu.Lock()
	done := c.lookaheadDone
	c.lookahead = nil
	if c.lookaheadErr == nil {
		c.lookaheadErr = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancelRequests()
	if done != nil {
		<-done
	}
	return err
}
