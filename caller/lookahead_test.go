package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	"figwheel/caller"
)

// lookaheadTotal is the number of bytes that all connections may read ahead.
const lookaheadTotal = 16 << 20

// aheadConn is a connection that is read ahead.
type aheadConn struct {
	net.Conn          // of the daemon
	near     net.Conn // of the caller
}

// newAheadConn returns a connection without buffers that is read ahead.
func newAheadConn(t *testing.T) aheadConn {
	t.Helper()
	near, far := net.Pipe()
	return readAhead(t, near, far)
}

// readAhead lets the daemon read ahead on the connection far.
func readAhead(t *testing.T, near, far net.Conn) aheadConn {
	t.Helper()
	k, err := caller.Listener{Listener: oneConn{conn: far}}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := aheadConn{Conn: k, near: near}
	t.Cleanup(c.close)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.send(t, 1)
	}()
	take(t, k, 1)
	<-sent
	return c
}

// send writes n bytes, which returns when they have been read ahead.
func (c aheadConn) send(t *testing.T, n int) {
	t.Helper()
	if _, err := c.near.Write(bytes.Repeat([]byte("x"), n)); err != nil {
		t.Error(err)
	}
}

func (c aheadConn) close() {
	_ = c.near.Close()
	_ = c.Close()
}

// fillLookaheads reads as much ahead as all connections may, on those it returns.
func fillLookaheads(t *testing.T) []aheadConn {
	t.Helper()
	var l []aheadConn
	for range lookaheadTotal >> 20 {
		c := newAheadConn(t)
		c.send(t, 1<<20)
		l = append(l, c)
	}
	return l
}

// heapBytes returns the bytes of the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestReadLookaheadHoldsNoMemory guards against connections that keep the memory of bytes that were read ahead and returned.
func TestReadLookaheadHoldsNoMemory(t *testing.T) {
	for _, unread := range []int64{0, 1} {
		t.Run(fmt.Sprintf("%d unread", unread), func(t *testing.T) {
			before := heapBytes()
			l := fillLookaheads(t)
			for _, c := range l {
				if _, err := io.CopyN(io.Discard, c, 1<<20-unread); err != nil {
					t.Fatal(err)
				}
			}
			if n, most := heapBytes()-before, int64(len(l)*(128<<10)); n > most {
				t.Errorf("%d connections hold %d KB, want at most %d KB", len(l), n>>10, most>>10)
			}
			runtime.KeepAlive(l)
		})
	}
}

// TestSmallReadsAheadHoldLittleMemory guards against a buffer for each of many small reads.
func TestSmallReadsAheadHoldLittleMemory(t *testing.T) {
	const reads = 900
	before := heapBytes()
	c := newAheadConn(t)
	for range reads {
		c.send(t, 1)
	}
	if n := heapBytes() - before; n > 100*reads {
		t.Errorf("%d bytes hold %d KB", reads, n>>10)
	}
	runtime.KeepAlive(c)
}
