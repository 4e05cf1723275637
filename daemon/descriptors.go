package daemon

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"figwheel/event"
)

const (
	// connectionDescriptorShare is the share of the process's descriptors that
	// connections of callers and other daemons may use while any of them is idle.
	// The rest is for the worker, for requests to other daemons and for control.
	connectionDescriptorShare = 0.75
	// acceptFailureCloses is how many idle connections are closed when a connection
	// could not be accepted.
	acceptFailureCloses = 32
	// acceptLogInterval is the least time between two log lines on failed accepts.
	acceptLogInterval = time.Second
)

// connectionsMax returns the number of connections of callers and other daemons above
// which idle ones are closed, 0 if the limit of this process is not known.
func connectionsMax() int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int(connectionDescriptorShare * float64(min(l.Cur, math.MaxInt32)))
}

// idleConnections closes idle connections when descriptors run short. The zero value
// never does.
type idleConnections struct {
	limit int // number of connections above which idle ones are closed, 0 for none

	mu      sync.Mutex
	servers []*connections // in the order in which they lose connections
}

// add registers the connections of one more server.
func (i *idleConnections) add(c *connections) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.servers = append(i.servers, c)
}

// close closes up to n idle connections and returns how many it has closed.
func (i *idleConnections) close(now time.Time, n int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for _, c := range i.servers {
		closed += c.closeLongestIdle(now, 0, n-closed)
	}
	return closed
}

// makeRoom closes idle connections until there are fewer than the limit, as far as
// there are any.
func (i *idleConnections) makeRoom(now time.Time) {
	if i.limit == 0 {
		return
	}
	n := 1 - i.limit
	i.mu.Lock()
	for _, c := range i.servers {
		n += c.count()
	}
	i.mu.Unlock()
	if n > 0 {
		i.close(now, n)
	}
}

// acceptFailures counts failed accepts and says when to log them. The zero value is
// ready to use.
type acceptFailures struct {
	count    int // since the last log line
	closed   int // connections closed since then
	loggedAt time.Time
}

// add records a failure at now, after which closed idle connections were closed. It
// reports whether to log what was recorded.
func (f *acceptFailures) add(now time.Time, closed int) bool {
	f.count++
	f.closed += closed
	return now.Sub(f.loggedAt) >= acceptLogInterval
}

// acceptListener closes idle connections while descriptors are short, and logs
// failed accepts. net/http accepts again after a wait.
type acceptListener struct {
	net.Listener
	daemon   *Daemon
	idle     *idleConnections
	failures acceptFailures // Accept is not called concurrently
}

// Accept implements net.Listener.
func (l *acceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.idle.makeRoom(time.Now())
	case !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed):
		l.recordFailure(err, time.Now())
	}
	return c, err
}

// recordFailure closes idle connections if an accept failed with err for lack of a
// descriptor, and logs the failure.
func (l *acceptListener) recordFailure(err error, now time.Time) {
	closed := 0
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		closed = l.idle.close(now, acceptFailureCloses)
	}
	if !l.failures.add(now, closed) {
		return
	}
	l.daemon.event(context.Background(), event.AcceptFailed,
		slog.String("Address", l.Addr().String()),
		slog.String("Cause", err.Error()),
		slog.Int("Failures", l.failures.count),
		slog.Int("Closed", l.failures.closed),
	)
	l.failures = acceptFailures{loggedAt: now}
}
