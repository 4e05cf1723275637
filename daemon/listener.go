package daemon

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// drainingListener is a listener that can be drained: closed without the loss of
// connections that are not accepted yet. Closing a listener, with which
// http.Server.Shutdown begins, resets the connections in its accept queue. Their
// callers may have sent requests already, whose outcome they then do not know.
// Draining accepts the whole queue and stops listening with the next system
// call. To wait until the queue is empty and then close is not enough: callers
// may connect in between, while this process waits for the processor.
type drainingListener struct {
	net.Listener
	draining    atomic.Bool
	queued      []net.Conn    // accepted by drainQueue, not yet returned by Accept
	acceptEnded chan struct{} // closed when no connection will be accepted any more
}

// tcpListener has the methods of net.TCPListener that draining needs beyond those
// of net.Listener.
type tcpListener interface {
	SetDeadline(t time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

func newDrainingListener(l net.Listener) *drainingListener {
	return &drainingListener{Listener: l, acceptEnded: make(chan struct{})}
}

// drain stops listening. It returns when the server has accepted the last
// connection.
func (l *drainingListener) drain() {
	l.draining.Store(true)
	b, ok := l.Listener.(tcpListener)
	if !ok || b.SetDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
	<-l.acceptEnded
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	if len(l.queued) == 0 {
		c, err := l.Listener.Accept()
		if err == nil || !l.draining.Load() {
			return c, err
		}
		l.drainQueue()
	}
	if len(l.queued) == 0 {
		return nil, http.ErrServerClosed
	}
	c := l.queued[0]
	l.queued = l.queued[1:]
	return c, nil
}

// drainQueue accepts all connections in the accept queue and closes the
// listener.
func (l *drainingListener) drainQueue() {
	b, ok := l.Listener.(tcpListener)
	if !ok {
		return
	}
	r, err := b.SyscallConn()
	if err != nil {
		return // the listener is closed: its queue was drained before
	}
	var queue []int
	_ = r.Control(func(fd uintptr) {
		queue = acceptAll(int(fd))
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	_ = l.Close()
	for _, q := range queue {
		f := os.NewFile(uintptr(q), "")
		if c, err := net.FileConn(f); err == nil {
			l.queued = append(l.queued, c)
		}
		_ = f.Close() // the connection has a descriptor of its own
	}
}

// acceptAll accepts all connections in the queue of a non-blocking listener and
// returns their file descriptors.
func acceptAll(fd int) []int {
	var r []int
	for {
		n, _, err := syscall.Accept4(fd, syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return r
		}
		r = append(r, n)
	}
}
