package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
)

// lookaheadTotal is the number of bytes that all connections may read ahead.
const lookaheadTotal = 16 << 20

// aheadConn is a connection that is read ahead.
type aheadConn struct {
	net.Conn                 // of the daemon
	near     net.Conn        // of the caller
	left     <-chan struct{} // closed when its requests are cancelled
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
	c := aheadConn{Conn: k, near: near, left: caller.ConnContext(t.Context(), k).Done()}
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

// TestLookaheadGoesOnWhenOthersRelease guards against a connection that reads no further ahead after the others have released what they had.
func TestLookaheadGoesOnWhenOthersRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		others := fillLookaheads(t)
		c := newAheadConn(t)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = c.near.Write(make([]byte, 100<<10))
		}()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		select {
		case <-sent:
			t.Fatal("all was read ahead, want it held back")
		default:
		}
		for _, o := range others {
			o.close()
		}
		select {
		case <-sent:
		case <-time.After(time.Second):
			t.Error("it is still held back 1 s later")
		}
	})
}

// TestLookaheadGoesOnAfterAbort guards against callers whose disconnect is not detected while requests are pending, because net/http has aborted an earlier read.
func TestLookaheadGoesOnAfterAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newAheadConn(t)
		c.send(t, 10)
		for _, d := range []time.Time{time.Unix(1, 0), {}} {
			if err := c.SetReadDeadline(d); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		take(t, c.Conn, 1)
		_ = c.near.Close()
		synctest.Wait()
		select {
		case <-c.left:
		default:
			t.Error("the disconnect was not detected")
		}
	})
}

// TestRequestLeavesQueueWithCallerBehindFullLookahead guards against requests that wait on after their callers have left because nothing more is read ahead.
func TestRequestLeavesQueueWithCallerBehindFullLookahead(t *testing.T) {
	fillLookaheads(t)
	for name, resets := range map[string]bool{"FIN": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			m := newWaitingMesh(t, true)
			m.send(t, m.call, withoutBody("/first"))
			next(t, m.paths)
			k := dial(t, m.call).(*net.TCPConn)
			if _, err := io.WriteString(k, inChunks(40<<10)); err != nil {
				t.Fatal(err)
			}
			if !m.awaitLoad(2) {
				t.Fatalf("load %d, want 2", m.load())
			}
			leave(k, resets)
			if !m.awaitLoad(1) {
				t.Error("it still waits 2 s after its caller has left")
			}
		})
	}
}

// aheadOf is a connection on which bytes precede those that arrive.
type aheadOf struct {
	*net.TCPConn
	bytes int
}

// Read implements net.Conn.
func (c *aheadOf) Read(p []byte) (int, error) {
	if len(p) == 1 || c.bytes == 0 {
		return c.TCPConn.Read(p)
	}
	n := min(len(p), c.bytes)
	c.bytes -= n
	return n, nil
}

// TestFullLookaheadSeesCallerLeave guards against callers whose leaving is not seen while nothing more is read ahead, and against bytes that are lost when it is.
func TestFullLookaheadSeesCallerLeave(t *testing.T) {
	const arrive = 10_000
	for _, c := range []struct {
		name          string
		total, resets bool
		ahead         int
	}{
		{name: "own bound, FIN", ahead: 1 << 20},
		{name: "own bound, reset", ahead: 1 << 20, resets: true},
		{name: "bound of all, FIN", ahead: 4 << 10, total: true},
		{name: "bound of all, reset", ahead: 4 << 10, total: true, resets: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.total {
				fillLookaheads(t)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			near := dial(t, l.Addr().String()).(*net.TCPConn)
			far, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			k := readAhead(t, near, &aheadOf{far.(*net.TCPConn), c.ahead})
			k.send(t, arrive)
			leave(near, c.resets)
			select {
			case <-k.left:
			case <-time.After(2 * time.Second):
				t.Error("its requests are not cancelled 2 s after it has left")
			}
			if c.resets {
				return
			}
			if b, err := io.ReadAll(k); len(b) != c.ahead+arrive || err != nil {
				t.Errorf("got %d bytes, %v; want %d", len(b), err, c.ahead+arrive)
			}
		})
	}
}

// TestCloseEndsFullLookahead guards against a Close that waits for a lookahead without room, and against its goroutine.
func TestCloseEndsFullLookahead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newAheadConn(t)
		c.send(t, 1<<20)
		time.Sleep(time.Minute)
		start := time.Now()
		c.close()
		if d := time.Since(start); d > 0 {
			t.Errorf("Close took %s", d)
		}
	})
}
