package hop

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// brokenConn is a connection that breaks during a write. The write has taken the error from
// the kernel before a read returns the end of the stream, and returns it afterwards.
type brokenConn struct {
	net.Conn
	taken    chan struct{} // closed when the write has the error
	deadline chan struct{} // closed when the write is to end
	once     sync.Once     // for closing deadline
	err      error         // of the write, nil if it blocks until the deadline
}

func newBrokenConn(err error) *brokenConn {
	return &brokenConn{taken: make(chan struct{}), deadline: make(chan struct{}), err: err}
}

// endWrite ends the write.
func (c *brokenConn) endWrite() { c.once.Do(func() { close(c.deadline) }) }

// Write implements net.Conn.
func (c *brokenConn) Write([]byte) (int, error) {
	close(c.taken)
	<-c.deadline
	if c.err == nil {
		return 0, os.ErrDeadlineExceeded
	}
	return 0, c.err
}

// Read implements net.Conn.
func (c *brokenConn) Read([]byte) (int, error) {
	<-c.taken
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn.
func (c *brokenConn) SetWriteDeadline(time.Time) error {
	c.endWrite()
	return nil
}

// TestReadReturnsErrorThatWriteConsumed guards against a read that returns the end of the
// stream because a write, which has not returned yet, has got the error of the connection.
func TestReadReturnsErrorThatWriteConsumed(t *testing.T) {
	wrapped := func(e syscall.Errno) error {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", e)}
	}
	for _, c := range []struct {
		name     string
		err      error // of the write
		want     error // of the read
		returned bool  // whether the write returns before the read
	}{
		{"reset", wrapped(syscall.ECONNRESET), syscall.ECONNRESET, false},
		{"reset, write returned", wrapped(syscall.ECONNRESET), syscall.ECONNRESET, true},
		{"timeout of the kernel", wrapped(syscall.ETIMEDOUT), syscall.ETIMEDOUT, false},
		{"no way to the host", wrapped(syscall.EHOSTUNREACH), syscall.EHOSTUNREACH, false},
		{"reset after the end of the stream", wrapped(syscall.EPIPE), io.EOF, false},
		{"reset after the end of the stream, write returned", wrapped(syscall.EPIPE), io.EOF, true},
		{"end of the stream while a write is blocked", nil, io.EOF, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBrokenConn(c.err)
				k := &conn{Conn: b}
				written := make(chan error, 1)
				go func() {
					_, err := k.Write([]byte("x"))
					written <- err
				}()
				synctest.Wait()
				if c.returned {
					b.endWrite()
					if err := <-written; !errors.Is(err, c.err) {
						t.Errorf("write: %v, want %v", err, c.err)
					}
				}
				if _, err := k.Read(make([]byte, 1)); !errors.Is(err, c.want) {
					t.Errorf("read: %v, want %v", err, c.want)
				}
				b.endWrite()
			})
		})
	}
}
