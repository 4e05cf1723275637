package daemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
)

// echoServer starts a server of the kind that carries calls, whose requests are
// answered with status 200.
func echoServer(t *testing.T) (*server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &servers{daemon: &Daemon{}}
	v := s.startWork(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), s.daemon.recordCut)
	t.Cleanup(func() {
		_ = v.Close()
		if err := s.group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return v, l.Addr().String()
}

// finishTimeout is a limit that a drain in these tests does not reach.
const finishTimeout = 20 * time.Second

// TestFinishClosesIdleConnections guards against a drain that waits for its limit although no request is in flight.
func TestFinishClosesIdleConnections(t *testing.T) {
	t.Parallel()
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			v, a := echoServer(t)
			p := &http.Protocols{}
			p.SetHTTP1(!http2)
			p.SetUnencryptedHTTP2(http2)
			r := &http.Transport{Protocols: p}
			defer r.CloseIdleConnections()
			c := &http.Client{Transport: r}
			for range 3 {
				q, err := c.Get("http://" + a)
				if err != nil {
					t.Fatal(err)
				}
				if q.ProtoMajor == 2 != http2 {
					t.Fatalf("got %s", q.Proto)
				}
				_, _ = io.Copy(io.Discard, q.Body)
				_ = q.Body.Close()
			}
			x, stop := context.WithTimeout(context.Background(), finishTimeout)
			defer stop()
			v.finish(x)
			if x.Err() != nil {
				t.Error("the drain did not end before its limit")
			}
		})
	}
}

// TestFinishAnswersRequestThatIsBeingRead guards against a kept connection that is closed while its next request is being read.
func TestFinishAnswersRequestThatIsBeingRead(t *testing.T) {
	t.Parallel()
	v, a := echoServer(t)
	n, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	b := bufio.NewReader(n)
	write := func(s string) {
		t.Helper()
		if _, err := io.WriteString(n, s); err != nil {
			t.Fatal(err)
		}
	}
	answer := func() {
		t.Helper()
		p, err := http.ReadResponse(b, nil)
		if err != nil {
			t.Fatal("got no answer: ", err)
		}
		_ = p.Body.Close()
	}
	write("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answer()
	const rest = "/ HTTP/1.1\r\nHost: h\r\n\r\n"
	write("GET ")
	awaitRead(t, v)
	if v.connections.closeIdle(time.Now()) {
		t.Error("the connection was closed")
	}
	x, stop := context.WithTimeout(context.Background(), finishTimeout)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.finish(x)
	}()
	write(rest)
	answer()
	<-done
	if x.Err() != nil {
		t.Error("the drain did not end before its limit")
	}
}

// TestFinishClosesConnectionWhoseFirstBytesCameAlone guards against a drain that waits for a request which has not begun: net/http asks for a single byte more if that many are missing to tell HTTP/2 by its preface.
func TestFinishClosesConnectionWhoseFirstBytesCameAlone(t *testing.T) {
	t.Parallel()
	v, a := echoServer(t)
	n, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first := len("PRI * HTTP/2.0") - 1
	if _, err := io.WriteString(n, request[:first]); err != nil {
		t.Fatal(err)
	}
	awaitRead(t, v)
	if _, err := io.WriteString(n, request[first:]); err != nil {
		t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	x, stop := context.WithTimeout(context.Background(), finishTimeout)
	defer stop()
	v.finish(x)
	if x.Err() != nil {
		t.Error("the drain did not end before its limit")
	}
}

// TestKeptConnStaysOpenWhenARequestHasArrived guards against a close that resets the connection under a request that has arrived and was not read.
func TestKeptConnStaysOpenWhenARequestHasArrived(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = far.Close() }()
	k, err := keptListener{caller.Listener{Listener: l}}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Close() }()
	if _, err := io.WriteString(far, "GET "); err != nil {
		t.Fatal(err)
	}
	x, stop := context.WithTimeout(t.Context(), finishTimeout)
	defer stop()
	for !caller.HasUnreadBytes(k.(*keptConn).Conn) {
		if !pause(x, time.Millisecond) {
			t.Fatal("the bytes do not arrive")
		}
	}
	if k.(*keptConn).closeUnread() {
		t.Error("the connection was closed")
	}
	if _, err := k.Read(make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
}

// awaitRead waits until the server has read a byte of a request.
func awaitRead(t *testing.T, v *server) {
	t.Helper()
	x, stop := context.WithTimeout(t.Context(), finishTimeout)
	defer stop()
	for !hasRead(v.connections) {
		if !pause(x, time.Millisecond) {
			t.Fatal("the server reads no request")
		}
	}
}

func hasRead(c *connections) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.states {
		k := n.(*keptConn)
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.read {
			return true
		}
	}
	return false
}

// What net/http reports between the reads of TestKeptConnClosesOnlyBetweenRequests.
const (
	headersRead  = -1
	requestEnded = 0
)

// TestKeptConnClosesOnlyBetweenRequests holds for each order of reads and of the end of a request.
func TestKeptConnClosesOnlyBetweenRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads []int // the buffer of each read of one byte, in bytes; headersRead and requestEnded between
		want  bool
	}{
		{"nothing was read", nil, true},
		{"a request is being read", []int{9}, false},
		{"a request has ended", []int{9, headersRead, requestEnded}, true},
		{"the next request has begun", []int{9, headersRead, 1, requestEnded}, false},
		{"the next request has ended", []int{9, headersRead, 1, requestEnded, 9, headersRead, requestEnded}, true},
		{"the second request is being read", []int{9, headersRead, requestEnded, 9}, false},
		{"the headers are read with a buffer of one byte", []int{9, 1}, false},
		{"a request has ended whose headers were read so", []int{9, 1, headersRead, requestEnded}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			k := &keptConn{Conn: far}
			defer func() { _ = k.Close() }()
			for _, n := range c.reads {
				switch n {
				case headersRead:
					k.setState(http.StateActive)
					continue
				case requestEnded:
					k.setState(http.StateIdle)
					continue
				}
				go func() { _, _ = near.Write([]byte("x")) }()
				if _, err := k.Read(make([]byte, n)); err != nil {
					t.Fatal(err)
				}
			}
			if got := k.closeUnread(); got != c.want {
				t.Errorf("closed: got %t, want %t", got, c.want)
			}
		})
	}
}

// TestConnectionStaysOpenRightAfterRequest guards against a close that drops a request which net/http has read together with the one before.
func TestConnectionStaysOpenRightAfterRequest(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	k := &keptConn{Conn: far}
	defer func() { _ = k.Close() }()
	c := &connections{}
	c.setState(k, http.StateIdle)
	since := c.states[k].since
	for _, v := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {idleSettleTime - 1, false}, {idleSettleTime, true}} {
		if got := c.closeIdle(since.Add(v.after)); got != v.want {
			t.Errorf("closed after %s: got %t, want %t", v.after, got, v.want)
		}
	}
}

// readConn is a connection whose reads return at once, after release is closed.
type readConn struct {
	net.Conn
	release chan struct{}
}

// Read implements net.Conn.
func (c readConn) Read([]byte) (int, error) {
	<-c.release
	return 1, nil
}

// Close implements net.Conn.
func (readConn) Close() error { return nil }

// TestKeptConnReturnsNothingReadAfterClose guards against a request that is served although its connection was closed as unread.
func TestKeptConnReturnsNothingReadAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := readConn{release: make(chan struct{})}
		k := &keptConn{Conn: r}
		read := make(chan error, 1)
		go func() {
			_, err := k.Read(make([]byte, 9))
			read <- err
		}()
		synctest.Wait()
		if !k.closeUnread() {
			t.Error("the connection was not closed")
		}
		close(r.release)
		if err := <-read; !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v, want %v", err, net.ErrClosed)
		}
	})
}

// TestKeptConnectionEndsLikeThatOfCaller guards against answers that a close discards, and cut ones that look whole, because net/http and the handlers cannot end the writing side or reset the connection.
func TestKeptConnectionEndsLikeThatOfCaller(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(t *testing.T, k net.Conn)
		want error
	}{
		"the writing side is ended": {func(t *testing.T, k net.Conn) {
			w, ok := k.(interface{ CloseWrite() error })
			if !ok || w.CloseWrite() != nil {
				t.Error("it cannot be ended")
			}
		}, io.EOF},
		"it is reset": {func(t *testing.T, k net.Conn) {
			l, ok := k.(interface{ SetLinger(seconds int) error })
			if !ok || l.SetLinger(0) != nil || k.Close() != nil {
				t.Error("it cannot be reset")
			}
		}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			a, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = a.Close() }()
			k, err := keptListener{caller.Listener{Listener: newDrainingListener(l)}}.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = k.Close() }()
			c.end(t, k)
			if err := a.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := a.Read(make([]byte, 1)); !errors.Is(err, c.want) {
				t.Errorf("the caller got %v, want %v", err, c.want)
			}
		})
	}
}
