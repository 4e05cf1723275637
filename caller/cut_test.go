package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"figwheel/caller"
)

// serveCuts serves callers with a handler whose only worker is at the address, and
// returns the server, its address and the cuts that it reports.
func serveCuts(t *testing.T, worker string) (*http.Server, string, <-chan caller.Cut) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n, _ := mesh(t, worker)
	cuts := make(chan caller.Cut, 10)
	s := &http.Server{Handler: n.call.Config.Handler, ConnContext: caller.ConnContext}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(caller.Listener{Listener: l, Cut: func(c caller.Cut) { cuts <- c }}) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s, l.Addr().String(), cuts
}

// sendTo sends a request to the address and returns the connection.
func sendTo(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, requestFormat, 1); err != nil {
		t.Fatal(err)
	}
	return c
}

// answerHead begins an answer of 100 bytes.
const answerHead = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"

// TestCutReportedWhenConnectionEndsUnderRequest guards against requests whose loss
// leaves no trace in the log of the daemon that lost them.
func TestCutReportedWhenConnectionEndsUnderRequest(t *testing.T) {
	for name, c := range map[string]struct {
		worker func(c net.Conn, closeServer func())
		want   caller.Cut
	}{
		"server closed while the worker is at work": {
			func(c net.Conn, closeServer func()) {
				closeServer()
				_, _ = c.Read(make([]byte, 1)) // until the daemon gives up
			},
			caller.Cut{Version: "7", Stage: "Attempt", Reason: "closed before the answer was complete"},
		},
		"answer that is too long to be held back breaks off": {
			func(c net.Conn, _ func()) {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", strings.Repeat("a", 50_000))
			},
			caller.Cut{Version: "7", Stage: "Failed", Reason: "closed before the answer was complete: FW3007 unexpected EOF"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var server atomic.Pointer[http.Server]
			var runs atomic.Int64
			w := rawWorker(t, &runs, func(k net.Conn) {
				c.worker(k, func() { _ = server.Load().Close() })
			})
			s, a, cuts := serveCuts(t, w)
			server.Store(s)
			k := sendTo(t, a)
			_, _ = io.Copy(io.Discard, k)
			select {
			case got := <-cuts:
				if d := cmp.Diff(c.want, got, cmpopts.IgnoreFields(caller.Cut{}, "ReadAt", "RequestBytes", "AnswerBytes")); d != "" {
					t.Errorf("(-want +got)\n%s", d)
				}
				if got.ReadAt.IsZero() || got.RequestBytes == 0 {
					t.Errorf("no time or size of the request: %+v", got)
				}
			case <-time.After(5 * time.Second):
				t.Error("no cut was reported")
			}
		})
	}
}

// TestCutReportedWhenRequestHasNotReachedItsHandler guards against a request that
// is dropped unseen once its bytes have been read.
func TestCutReportedWhenRequestHasNotReachedItsHandler(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = n.Close() }()
	var got []caller.Cut
	l := caller.Listener{Listener: n, Cut: func(c caller.Cut) { got = append(got, c) }}
	k := sendTo(t, n.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	_ = k.Close()
	want := []caller.Cut{{Reason: "closed before the request reached its handler", RequestBytes: 8}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// readSignal is a connection that sends the number of bytes of each read.
type readSignal struct {
	net.Conn
	reads chan<- int
}

// Read implements net.Conn.
func (c readSignal) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads <- n
	}
	return n, err
}

// readSignals is a listener whose connections are each a readSignal.
type readSignals struct {
	net.Listener
	reads chan<- int
}

// Accept implements net.Listener.
func (l readSignals) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return readSignal{c, l.reads}, err
}

// TestCutReportedWhenRequestBeganBeforeTheLastAnswer guards against a request whose loss leaves no trace because its first bytes were read while the one before it was served.
func TestCutReportedWhenRequestBeganBeforeTheLastAnswer(t *testing.T) {
	const next = "POS" // net/http awaits four bytes before it reads a request
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var runs atomic.Int64
	reads, working, mayAnswer := make(chan int, 100), make(chan struct{}), make(chan struct{})
	m, _ := mesh(t, rawWorker(t, &runs, func(c net.Conn) {
		close(working)
		<-mayAnswer
		_, _ = fmt.Fprint(c, answerHead, string(make([]byte, 100)))
	}))
	cuts := make(chan caller.Cut, 10)
	s := &http.Server{Handler: m.call.Config.Handler, ConnContext: caller.ConnContext, IdleTimeout: 10 * time.Millisecond}
	ended := make(chan error, 1)
	go func() {
		ended <- s.Serve(caller.Listener{Listener: readSignals{n, reads}, Cut: func(c caller.Cut) { cuts <- c }})
	}()
	k := sendTo(t, n.Addr().String())
	<-working
	if _, err := io.WriteString(k, next); err != nil {
		t.Fatal(err)
	}
	for got, all := 0, len(fmt.Sprintf(requestFormat, 1)+next); got < all; {
		got += <-reads
	}
	close(mayAnswer)
	p, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	defer func() {
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	select {
	case got := <-cuts:
		want := caller.Cut{Reason: "closed before the request reached its handler", RequestBytes: int64(len(next))}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("(-want +got)\n%s", d)
		}
	case <-time.After(5 * time.Second):
		t.Error("no cut was reported")
	}
}

// TestNoCutReportedForAnsweredRequestsAndCallersThatLeft guards against reports of
// connections under which nothing was lost.
func TestNoCutReportedForAnsweredRequestsAndCallersThatLeft(t *testing.T) {
	var runs atomic.Int64
	working, ended := make(chan struct{}), make(chan struct{})
	var mayAnswer atomic.Bool
	mayAnswer.Store(true)
	w := rawWorker(t, &runs, func(c net.Conn) {
		if mayAnswer.Load() {
			_, _ = fmt.Fprint(c, answerHead, string(make([]byte, 100)))
			return
		}
		close(working)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	})
	s, a, cuts := serveCuts(t, w)
	answered := sendTo(t, a)
	p, err := http.ReadResponse(bufio.NewReader(answered), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		t.Fatal(err)
	}
	mayAnswer.Store(false)
	left := sendTo(t, a)
	<-working
	_ = left.Close()
	<-ended
	_ = s.Close()
	select {
	case c := <-cuts:
		t.Errorf("reported %+v", c)
	default:
	}
}
