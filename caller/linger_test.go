package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
)

const (
	chunkBytes = 16 << 10
	chunks     = 128 // of an upload, more than the buffers of a connection hold
)

// uploadHead returns the headers of an upload and its first chunk.
func uploadHead(path string, chunked bool) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Service: s\r\nFigwheel-Deadline-Ms: 60000\r\n"
	if chunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n" + uploadChunk(chunked)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, chunks*chunkBytes, uploadChunk(chunked))
}

// uploadChunk returns a part of an upload.
func uploadChunk(chunked bool) string {
	if chunked {
		return fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	}
	return strings.Repeat("x", chunkBytes)
}

// TestEarlyAnswerResetsNoCallerThatIsStillSending guards against an answer that is lost because the connection is reset under a caller that is still sending its body.
func TestEarlyAnswerResetsNoCallerThatIsStillSending(t *testing.T) {
	const id = "Figwheel-Attempt-Id: a1\r\n"
	for name, c := range map[string]struct {
		status, headers string
		want            int
	}{
		"rejected": {"503 Service Unavailable", id + "Figwheel-Not-Executed: 1\r\n", http.StatusServiceUnavailable},
		"answered": {"200 OK", id + "Figwheel-Server-Seal: s\r\n", http.StatusOK},
	} {
		for _, chunked := range []bool{true, false} {
			for _, link := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, chunked %t, by another daemon %t", name, chunked, link), func(t *testing.T) {
					w := listen(t, func(n net.Conn) {
						b := bufio.NewReader(n)
						if _, err := http.ReadRequest(b); err != nil {
							return
						}
						reply(n, c.status, c.headers, "early")
						_, _ = io.Copy(io.Discard, b)
					})
					e := platformMeshWithBodyLimit(t, 4<<20, w)
					a := address(e.call)
					if link {
						a = e.View().Candidates["s"].Choose(time.Now(), "once", rand.New(rand.NewPCG(1, 1)), nil, 0).Address
					}
					sendAfterAnswer(t, a, "/once/", chunked, c.want)
				})
			}
		}
	}
}

// TestRequestWithoutRouteIsNotResetWhileItIsSent guards against the same for a request that is rejected before its body is used.
func TestRequestWithoutRouteIsNotResetWhileItIsSent(t *testing.T) {
	e := platformMeshWithBodyLimit(t, 4<<20, refusingAddress(t))
	sendAfterAnswer(t, address(e.call), "/none/", false, http.StatusNotFound)
}

// sendAfterAnswer sends the beginning of an upload to the address, reads the answer and
// the end of the connection, and then sends the rest.
func sendAfterAnswer(t *testing.T, a, path string, chunked bool, want int) {
	t.Helper()
	k, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = k.Close() }()
	_ = k.SetDeadline(time.Now().Add(10 * time.Second))
	_ = k.(*net.TCPConn).SetWriteBuffer(chunkBytes) // so that the daemon has to read
	_, _ = io.WriteString(k, uploadHead(path, chunked))
	b := bufio.NewReader(k)
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	if err != nil || p.StatusCode != want || !p.Close {
		t.Errorf("got %d, closes %t, %v; want %d and true", p.StatusCode, p.Close, err, want)
	}
	if _, err := b.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v, want %v", err, io.EOF)
	}
	for i := range chunks - 1 {
		if _, err := io.WriteString(k, uploadChunk(chunked)); err != nil {
			t.Fatalf("part %d: %v", i+1, err)
		}
	}
}

// TestRejectionOfUploadReachesCallerThroughTwoDaemons guards against a rejection that is lost between two daemons, so that the caller does not learn that its request was not run.
func TestRejectionOfUploadReachesCallerThroughTwoDaemons(t *testing.T) {
	const uploads, size = 40, 600 << 10
	w := listen(t, func(n net.Conn) {
		b := bufio.NewReader(n)
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		reply(n, "503 Service Unavailable", "Figwheel-Attempt-Id: a1\r\nFigwheel-Not-Executed: 1\r\n", "full")
		_, _ = io.Copy(io.Discard, b)
	})
	e := platformMeshWithBodyLimit(t, 4<<20, w)
	body := make([]byte, size)
	for i := range uploads {
		if g := upload(t, e, body, i%2 == 0); g.Status != http.StatusServiceUnavailable || g.Outcome != "not-run" {
			t.Errorf("upload %d: %+v, want 503 and not-run", i, g)
		}
	}
}

// rejectUpload is a transport to a daemon that rejects an upload while it is sent.
type rejectUpload struct{}

// RoundTrip implements http.RoundTripper.
func (rejectUpload) RoundTrip(q *http.Request) (*http.Response, error) {
	_, _ = q.Body.Read(make([]byte, chunkBytes))
	go func() { _, _ = io.Copy(io.Discard, q.Body) }()
	synctest.Wait()
	h := http.Header{contract.CodeHeader: {"FW3004"}, contract.OutcomeHeader: {"not-run"}, contract.LoadHeader: {"0 0 0"}}
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h, Body: http.NoBody}, nil
}

// openListener is a listener with one connection.
type openListener struct {
	oneConn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener. After the connection, it waits until it is closed.
func (l *openListener) Accept() (net.Conn, error) {
	first := false
	l.once.Do(func() { first = true })
	if first {
		return l.conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *openListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *openListener) Addr() net.Addr { return l.conn.LocalAddr() }

// TestLingeringConnectionEnds guards against a caller that holds a connection, or a daemon that stops, by not sending the rest of its request.
func TestLingeringConnectionEnds(t *testing.T) {
	const lingerTime = time.Second
	for _, c := range []struct {
		name    string
		chunked bool
		end     func(s *http.Server, k net.Conn)
		want    time.Duration
	}{
		{"the caller sends no more chunks", true, func(*http.Server, net.Conn) {}, lingerTime},
		{"the caller sends nothing more of a body with a length", false, func(*http.Server, net.Conn) {}, lingerTime},
		{"the caller disconnects", true, func(_ *http.Server, k net.Conn) { _ = k.Close() }, 0},
		{"the server is closed", true, func(s *http.Server, _ net.Conn) { _ = s.Close() }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan struct{})
				s, near := serveUploadRejected(t, func(_ net.Conn, s http.ConnState) {
					if s == http.StateClosed {
						close(closed)
					}
				})
				_, _ = io.WriteString(near, uploadHead("/once/", c.chunked))
				p, err := http.ReadResponse(bufio.NewReader(near), nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				synctest.Wait()
				began := time.Now()
				c.end(s, near)
				<-closed
				if d := time.Since(began); d != c.want {
					t.Errorf("closed after %s, want %s", d, c.want)
				}
			})
		})
	}
}

// serveUploadRejected serves one connection, in a bubble of synctest, with a handler
// whose requests are rejected, and passes the states of the connection to f. It
// returns the server and the caller's side.
func serveUploadRejected(t *testing.T, f func(net.Conn, http.ConnState)) (*http.Server, net.Conn) {
	n := &node{}
	l := []link.Candidate{{Name: "other", Slots: 2, Peer: &link.Peer{}}}
	n.view.Store(caller.NewView(snapshot(t, 7), map[string]link.Candidates{"s": link.NewCandidates(l)}))
	s := &http.Server{
		Handler:           &caller.Handler{Daemon: n, Worker: &n.worker, Transport: rejectUpload{}, Headers: contract.OwnHeaders(), Now: time.Now, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}},
		ConnContext:       caller.ConnContext,
		ConnState:         f,
		ReadHeaderTimeout: time.Minute,
	}
	near, far := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(caller.Listener{Listener: &openListener{oneConn: oneConn{conn: far}, closed: make(chan struct{})}})
	}()
	t.Cleanup(func() {
		_ = near.Close()
		_ = s.Close()
		<-ended
	})
	return s, near
}
