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

// drainingListener is a listener that can be given up without losing whom it has
// not accepted yet. Closing a listener resets the connections in its queue,
// and with them requests that their callers have sent already and must then
// hold for lost; http.Server.Shutdown starts with just that. Retiring it takes
// what is in the queue and stops listening with the next system call: waiting
// for a pause and closing then loses whoever connects while this process waits
// for the processor.
type drainingListener struct {
	net.Listener
	draining    atomic.Bool
	queued      []net.Conn    // taken from the queue at the end
	acceptEnded chan struct{} // closed when no connection will be accepted any more
}

// tcpListener is what a TCP listener can do beyond net.Listener.
type tcpListener interface {
	SetDeadline(t time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

func newDrainingListener(l net.Listener) *drainingListener {
	return &drainingListener{Listener: l, acceptEnded: make(chan struct{})}
}

// drain stops listening. It returns when the server has taken the last
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

// drainQueue takes the whole queue and stops listening.
func (l *drainingListener) drainQueue() {
	b, ok := l.Listener.(tcpListener)
	if !ok {
		return
	}
	r, err := b.SyscallConn()
	if err != nil {
		return // it is closed: this is the second time
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

// acceptAll returns the descriptors of all connections in the queue of a
// listener that does not block.
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
