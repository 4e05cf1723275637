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

// lastingListener is a listener that can be given up without losing whom it has
// not accepted yet. Closing a listener resets the connections in its queue,
// and with them requests that their callers have sent already and must then
// hold for lost; http.Server.Shutdown starts with just that. Retiring it takes
// what is in the queue and stops listening with the next system call: waiting
// for a pause and closing then loses whoever connects while this process waits
// for the processor.
type lastingListener struct {
	net.Listener
	retired atomic.Bool
	last    []net.Conn    // taken from the queue at the end
	ended   chan struct{} // closed when no connection will be accepted any more
}

// bounded is what a TCP listener can do beyond net.Listener.
type bounded interface {
	SetDeadline(t time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

func newLastingListener(l net.Listener) *lastingListener {
	return &lastingListener{Listener: l, ended: make(chan struct{})}
}

// retire stops listening. It returns when the server has taken the last
// connection.
func (l *lastingListener) retire() {
	l.retired.Store(true)
	b, ok := l.Listener.(bounded)
	if !ok || b.SetDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
	<-l.ended
}

// Accept implements net.Listener.
func (l *lastingListener) Accept() (net.Conn, error) {
	if len(l.last) == 0 {
		c, err := l.Listener.Accept()
		if err == nil || !l.retired.Load() {
			return c, err
		}
		l.empty()
	}
	if len(l.last) == 0 {
		return nil, http.ErrServerClosed
	}
	c := l.last[0]
	l.last = l.last[1:]
	return c, nil
}

// empty takes the whole queue and stops listening.
func (l *lastingListener) empty() {
	b, ok := l.Listener.(bounded)
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
			l.last = append(l.last, c)
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
