package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lookaheadBytesMax bounds the memory for bytes that are read ahead on one
	// connection. The caller has to hold back the rest.
	lookaheadBytesMax = 1 << 20
	// lookaheadBytesTotalMax bounds the memory for bytes that are read ahead on all
	// connections. Above it, a connection reads ahead only lookaheadBytesMin.
	lookaheadBytesTotalMax = 16 << 20
	lookaheadBytesMin      = 4 << 10
	// lookaheadReadBytesMax bounds the bytes of one read.
	lookaheadReadBytesMax = 32 << 10
	// lookaheadPieceBytesMin is the least memory for bytes of one read.
	lookaheadPieceBytesMin = 1 << 10
	// lookaheadCheckTime is how often a connection that may not read ahead looks
	// whether it may again, and whether the caller has disconnected.
	lookaheadCheckTime = 100 * time.Millisecond
)

// lookaheadBytes is the memory in bytes that the lookaheads of all connections hold.
var lookaheadBytes atomic.Int64

const (
	// lingerTimeMax is how long after an answer that was complete before its request
	// the caller may go on sending. A close resets the connection if bytes are unread
	// or still arrive, and a reset may discard the answer.
	lingerTimeMax = time.Second

	lingerBufferBytes = 16 << 10
)

// Connection is the connection of a caller. It detects that the caller has
// disconnected even while bytes of the caller are pending. While net/http serves
// a request, it detects a disconnect by a read of one byte, which it starts when
// the body has been read, and which the first byte of a pipelined request ends.
// Without this type, a disconnect would not be detected before or after that, and
// the daemon would complete work for a caller that has disconnected.
type Connection struct {
	net.Conn
	cancelRequests context.CancelFunc // cancels the contexts of the connection's requests
	progress       progress
	cut            func(Cut)       // see Listener.Cut
	raw            syscall.RawConn // nil if there is none
	checkState     func(fd uintptr)
	closedByCaller bool // set by checkState; mu is held

	mu            sync.Mutex
	changed       sync.Cond
	readDeadline  time.Time     // zero for none
	lookahead     lookahead     // bytes that were read ahead and not returned by Read yet
	lookaheadErr  error         // error that ended the lookahead, not returned by Read yet
	waitingReads  int           // calls of Read that wait for the lookahead
	lookaheadDone chan struct{} // closed when the lookahead has ended; nil if none is running
	pipeline      pipeline
}

// Listener is a net.Listener that wraps each accepted connection in a
// Connection. It closes connections whose callers have disconnected meanwhile: a
// daemon that is behind has many in its accept queue, and to read the request of each
// would cost much more.
//
// Before each accept it lets all goroutines run that are ready. As long as connections
// wait in the accept queue, neither Accept nor the goroutines that follow from it block,
// and the Go scheduler takes those before any goroutine whose bytes have arrived: before
// answers to requests that were accepted earlier, and control traffic.
type Listener struct {
	net.Listener
	// Cut is called when a connection ends under a request that was read and not
	// answered; may be nil. It must not block.
	Cut func(c Cut)
	// Ahead says how requests are served that a caller sends before earlier ones have
	// been answered.
	Ahead Ahead
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		runtime.Gosched()
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := newConnection(c)
		if n.raw != nil && n.hasLeft() {
			_ = c.Close()
			continue
		}
		n.cut = l.Cut
		n.pipeline.config = l.Ahead
		return n, nil
	}
}

// ConnContext returns the context for the requests of a connection, which is
// cancelled when the caller disconnects. It is the http.Server.ConnContext for
// connections of a Listener.
func ConnContext(x context.Context, c net.Conn) context.Context {
	if k, ok := c.(*Connection); ok {
		x, k.cancelRequests = context.WithCancel(context.WithValue(x, connectionKey{}, k))
		k.pipeline.context = x
	}
	return x
}

// connectionKey is the key of a *Connection in the context of its requests.
type connectionKey struct{}

// connectionOf returns the connection of r, nil if it was not accepted by a Listener.
func connectionOf(r *http.Request) *Connection {
	c, _ := r.Context().Value(connectionKey{}).(*Connection)
	return c
}

func newConnection(c net.Conn) *Connection {
	n := &Connection{Conn: c, cancelRequests: func() {}}
	n.changed.L = &n.mu
	if s, ok := c.(syscall.Conn); ok {
		n.raw, _ = s.SyscallConn() // nil after an error
	}
	n.checkState = func(fd uintptr) { n.closedByCaller = isClosedByPeer(int(fd)) }
	return n
}

// watch detects a disconnect of the caller of r while the body of r is unread. It
// reads the body ahead.
func watch(r *http.Request) {
	c := connectionOf(r)
	if c == nil || r.ProtoMajor != 1 { // HTTP/2 connections are read all the time
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startLookahead()
}

// startLookahead starts the lookahead unless it runs or has ended with the connection.
// c.mu is held.
func (c *Connection) startLookahead() {
	if c.lookaheadDone == nil && c.lookaheadErr == nil {
		c.lookaheadDone = make(chan struct{})
		go c.readAhead(c.lookaheadDone)
	}
}

// cancelIfLeft cancels the requests of the connection of r if the caller has
// disconnected, even if that is still to be read: the daemon may be late, or bytes
// that are held back may come first. It is called before r is sent on.
func cancelIfLeft(r *http.Request) {
	c := connectionOf(r)
	if c == nil || c.raw == nil {
		return
	}
	c.mu.Lock()
	left := c.hasLeft()
	c.mu.Unlock()
	if left {
		c.cancelRequests()
	}
}

// hasLeft reports whether the caller has disconnected, even if that is still to be
// read. c.mu is held, c.raw is not nil.
func (c *Connection) hasLeft() bool {
	c.closedByCaller = false
	_ = c.raw.Control(c.checkState) // fails only on a closed connection, whose requests are cancelled
	return c.closedByCaller
}

// Read implements net.Conn.
func (c *Connection) Read(p []byte) (int, error) {
	// net/http reads a single byte only while it serves a request: the byte
	// belongs to the next request.
	next := len(p) == 1
	if !next {
		c.progress.awaitNext()
	}
	c.mu.Lock()
	c.pipeline.serving = c.pipeline.serving && next
	for {
		if !c.lookahead.isEmpty() {
			n := c.lookahead.take(p[:c.pipeline.framer.limit(len(p))])
			c.pipeline.framer.deliver(n)
			if next {
				c.startLookahead()
			}
			c.changed.Broadcast()
			c.mu.Unlock()
			if next {
				c.progress.beginNext()
			}
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
	n = c.keepNext(p[:n])
	if n == 1 && next && err == nil {
		c.progress.beginNext()
		c.mu.Lock()
		c.startLookahead()
		c.mu.Unlock()
	}
	return n, err
}

// keepNext scans the bytes b that were read and moves those of later requests to the
// lookahead. It returns the number of the others, which net/http gets.
func (c *Connection) keepNext(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipeline.scan(c, b)
	n := c.pipeline.framer.limit(len(b))
	if n < len(b) {
		c.lookahead.add(b[n:])
	}
	c.pipeline.framer.deliver(n)
	return n
}

// readAhead reads into the lookahead until a read fails, or the caller has disconnected
// while there is no room: Read then returns the rest. It closes done when it returns.
func (c *Connection) readAhead(done chan<- struct{}) {
	defer close(done)
	b := make([]byte, lookaheadBytesMin)
	for {
		c.mu.Lock()
		if c.lookaheadRoom() <= 0 && !c.awaitRoom() {
			c.progress.read(0, io.EOF)
			c.lookaheadDone = nil
			c.cancelRequests()
			c.changed.Broadcast()
			c.mu.Unlock()
			return
		}
		room := min(max(c.lookaheadRoom(), 1), len(b))
		c.mu.Unlock()
		n, err := c.Conn.Read(b[:room])
		c.progress.read(n, err)
		c.mu.Lock()
		c.lookahead.add(b[:n])
		c.pipeline.scan(c, b[:n])
		// The deadline may have been replaced since the read timed out.
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && !c.deadlinePassed(time.Now()) {
			err = nil
		}
		if err != nil {
			c.lookaheadDone = nil
			// A read deadline applies only to a Read that is waiting for
			// bytes: a later Read has its own deadline.
			if !timeout || c.waitingReads > 0 && c.lookahead.isEmpty() {
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
		if n == len(b) && n < lookaheadReadBytesMax {
			b = make([]byte, 2*n)
		}
	}
}

// awaitRoom waits until more may be read ahead or the connection is closed, and returns
// true, or until the caller has disconnected, and returns false. c.mu is held.
func (c *Connection) awaitRoom() bool {
	due := false
	t := time.AfterFunc(lookaheadCheckTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		due = true
		c.changed.Broadcast()
	})
	defer t.Stop()
	for c.lookaheadRoom() <= 0 && c.lookaheadErr == nil {
		c.changed.Wait()
		if !due {
			continue
		}
		if c.raw != nil && c.hasLeft() {
			return false
		}
		due = false
		t.Reset(lookaheadCheckTime)
	}
	return true
}

// hasLookahead reports whether bytes have been read ahead and not returned by Read.
func (c *Connection) hasLookahead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.lookahead.isEmpty()
}

// lookaheadRoom returns how many more bytes may be read ahead.
func (c *Connection) lookaheadRoom() int {
	if lookaheadBytes.Load() >= lookaheadBytesTotalMax {
		return lookaheadBytesMin - c.lookahead.size
	}
	return lookaheadBytesMax - c.lookahead.size
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
// unless another Close does so, which it ends. It returns after the lookahead and the
// requests that were begun ahead have ended.
func (c *Connection) Close() error {
	if t := c.progress.lingerUntil(); !t.IsZero() {
		c.linger(t)
	}
	unread := HasUnreadBytes(c.Conn)
	c.mu.Lock()
	ahead := c.pipeline.begun()
	c.mu.Unlock()
	cut, ok := c.progress.close(unread, ahead) // before a Write fails, which is only a consequence
	err := c.Conn.Close()
	c.report(cut, ok)
	c.mu.Lock()
	done := c.lookaheadDone
	if c.lookaheadErr == nil {
		c.lookaheadErr = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancelRequests()
	if done != nil {
		<-done
	}
	c.mu.Lock()
	c.lookahead.release()
	unused := c.pipeline.unused()
	c.mu.Unlock()
	for _, a := range unused {
		<-a.done
		a.release()
	}
	return err
}
