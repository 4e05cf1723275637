package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// aheadBytesMax bounds what is read of requests that follow before the first
// one is answered, in bytes. What comes after it waits with the caller.
const aheadBytesMax = 4 << 10

// Connection is a caller's connection that notices its end while further
// requests wait on it. net/http notices a caller that leaves by a read of one
// byte while it answers. The byte of a further request ends that read, and
// without this type the work for the caller would go on to its end.
type Connection struct {
	net.Conn
	left context.CancelFunc // ends the contexts of the connection's requests

	mu      sync.Mutex
	changed sync.Cond
	ahead   []byte        // that were read and not taken yet
	err     error         // that ended the reading ahead, not taken yet
	waiting int           // reads that wait for the reading ahead
	ended   chan struct{} // closed when the reading ahead has ended; nil if there is none
}

// Listener makes each connection that it accepts a Connection.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(c), nil
}

// ConnContext is the http.Server.ConnContext for connections of a Listener: the
// context of their requests ends when the caller has left.
func ConnContext(x context.Context, c net.Conn) context.Context {
	if k, ok := c.(*Connection); ok {
		x, k.left = context.WithCancel(x)
	}
	return x
}

func newConnection(c net.Conn) *Connection {
	n := &Connection{Conn: c, left: func() {}}
	n.changed.L = &n.mu
	return n
}

// Read implements net.Conn.
func (c *Connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	for {
		if len(c.ahead) > 0 {
			n := copy(p, c.ahead)
			c.ahead = c.ahead[n:]
			c.changed.Broadcast()
			c.mu.Unlock()
			return n, nil
		}
		if err := c.err; err != nil {
			c.err = nil
			c.mu.Unlock()
			return 0, err
		}
		if c.ended == nil {
			break
		}
		c.waiting++
		c.changed.Wait()
		c.waiting--
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	// A read of one byte is that of net/http while it answers a request: what
	// it returns belongs to the next one.
	if n == 1 && len(p) == 1 && err == nil {
		c.mu.Lock()
		c.ended = make(chan struct{})
		go c.readAhead(c.ended)
		c.mu.Unlock()
	}
	return n, err
}

// readAhead reads until the connection ends, and reports its own end by
// closing ended.
func (c *Connection) readAhead(ended chan<- struct{}) {
	defer close(ended)
	b := make([]byte, aheadBytesMax)
	for {
		c.mu.Lock()
		for len(c.ahead) >= aheadBytesMax && c.err == nil {
			c.changed.Wait()
		}
		room := aheadBytesMax - len(c.ahead)
		c.mu.Unlock()
		n, err := c.Conn.Read(b[:room])
		c.mu.Lock()
		c.ahead = append(c.ahead, b[:n]...)
		if err != nil {
			c.ended = nil
			// A deadline concerns only a read that waits for bytes: one that
			// comes later has its own.
			timeout := errors.Is(err, os.ErrDeadlineExceeded)
			if !timeout || c.waiting > 0 && len(c.ahead) == 0 {
				c.err = err
			}
			if !timeout {
				c.left()
			}
		}
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// CloseWrite ends what is written, as net/http does before it closes a
// connection on which the caller may still be sending.
func (c *Connection) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It returns when nothing is read any more.
func (c *Connection) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	ended := c.ended
	c.ahead = nil
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.left()
	if ended != nil {
		<-ended
	}
	return err
}
