package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	lastAccept = 500 * time.Microsecond // in which nobody connects before an address is given up
	retireTime = 500 * time.Millisecond // after which it is given up all the same
)

// lastingListener is a listener that can be given up without losing whom it has
// not accepted yet. Closing a listener resets the connections in its queue,
// and with them requests that their callers have sent already and must then
// hold for lost; http.Server.Shutdown starts with just that. Retiring it
// accepts until the queue is empty and closes it in the next moment.
type lastingListener struct {
	net.Listener
	retired atomic.Pointer[time.Time] // since when, nil before
	ended   chan struct{}             // closed when no connection will be accepted any more
}

func newLastingListener(l net.Listener) *lastingListener {
	return &lastingListener{Listener: l, ended: make(chan struct{})}
}

// deadliner is a listener whose Accept can be bounded.
type deadliner interface{ SetDeadline(t time.Time) error }

// retire accepts what is in the queue and closes the listener. It returns when
// the server has taken the last connection.
func (l *lastingListener) retire() {
	t := time.Now()
	l.retired.Store(&t)
	l.bound()
	<-l.ended
}

// bound lets the next Accept end soon, or now if it cannot be bounded.
func (l *lastingListener) bound() {
	d, ok := l.Listener.(deadliner)
	if !ok || d.SetDeadline(time.Now().Add(lastAccept)) != nil {
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *lastingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	t := l.retired.Load()
	switch {
	case t == nil:
		return c, err
	case err != nil:
		_ = l.Close()
		return nil, http.ErrServerClosed
	case time.Since(*t) > retireTime:
		_ = l.Close()
	default:
		l.bound()
	}
	return c, nil
}
