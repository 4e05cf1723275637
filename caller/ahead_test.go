package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
)

// serveAhead starts a server that serves up to depth requests of a connection at the
// same time, except those of paths that begin with /once, and returns a connection to it.
func serveAhead(t *testing.T, depth int, f http.HandlerFunc) net.Conn {
	t.Helper()
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { caller.ServeAhead(w, r, f) })
	s := httptest.NewUnstartedServer(h)
	s.Listener = caller.Listener{Listener: s.Listener, Ahead: caller.Ahead{
		Handler: h,
		May:     func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/once") },
		Depth:   depth,
	}}
	s.Config.ConnContext = caller.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// wholeAnswer reads one answer and returns its body.
func wholeAnswer(b *bufio.Reader) (string, error) {
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = p.Body.Close() }()
	d, err := io.ReadAll(p.Body)
	return string(d), err
}

// headOf returns a request for the path, which is no more than a head.
func headOf(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n" }

// TestPipelinedRequestsAreServedTogether guards against requests that spend the time of
// the one before them on their connection waiting, although workers have free slots.
func TestPipelinedRequestsAreServedTogether(t *testing.T) {
	whole := headOf("/first") + headOf("/second") + headOf("/third")
	cases := []struct {
		name   string
		pieces []string
	}{
		{"sent at once", []string{whole}},
		{"sent one by one", []string{headOf("/first"), headOf("/second"), headOf("/third")}},
		{"split within heads", []string{whole[:10], whole[10:60], whole[60:63], whole[63:70], whole[70:]}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			begun := make(chan string, 9)
			release := make(chan struct{})
			conn := serveAhead(t, 8, func(w http.ResponseWriter, r *http.Request) {
				begun <- r.URL.Path
				<-release
				_, _ = io.WriteString(w, r.URL.Path)
			})
			for _, p := range c.pieces {
				if _, err := io.WriteString(conn, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			got := map[string]bool{}
			for range 3 {
				select {
				case p := <-begun:
					got[p] = true
				case <-time.After(5 * time.Second):
					t.Fatalf("begun before the first answer: %v, want all three", got)
				}
			}
			close(release)
			b := bufio.NewReader(conn)
			var answers []string
			for range 3 {
				d, err := wholeAnswer(b)
				if err != nil {
					t.Fatal(err)
				}
				answers = append(answers, d)
			}
			if d := cmp.Diff([]string{"/first", "/second", "/third"}, answers); d != "" {
				t.Errorf("answers (-want +got):\n%s", d)
			}
			if n := len(begun); n > 0 {
				t.Errorf("%d requests ran a second time", n)
			}
		})
	}
}

// TestOnlyRepeatableWholeRequestsAreServedAhead guards against a request that runs before
// its turn although it may run only once, and against bytes of a body, or bytes that
// parsers read differently, that are taken for a request.
func TestOnlyRepeatableWholeRequestsAreServedAhead(t *testing.T) {
	smuggled := headOf("/smuggled")
	cases := []struct {
		name, sent string
		depth      int
		ahead      int64
	}{
		{"repeatable", headOf("/a") + headOf("/b") + headOf("/c"), 8, 2},
		{"up to the depth", headOf("/a") + headOf("/b") + headOf("/c") + headOf("/d"), 3, 2},
		{"not switched on", headOf("/a") + headOf("/b"), 0, 0},
		{"runs once", headOf("/a") + headOf("/once") + headOf("/b"), 8, 0},
		{"body", headOf("/a") + "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(smuggled)) + "\r\n\r\n" + smuggled + headOf("/b"), 8, 0},
		{"body of a GET", headOf("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(smuggled)) + "\r\n\r\n" + smuggled, 8, 0},
		{"chunked body", headOf("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled, 8, 0},
		{"bare line feeds", headOf("/a") + "GET /p HTTP/1.1\nHost: h\n\n" + smuggled, 8, 0},
		{"folded header", headOf("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nX: y\r\n z: w\r\n\r\n" + smuggled, 8, 0},
		{"no host", headOf("/a") + "GET /p HTTP/1.1\r\nX: y\r\n\r\n" + smuggled, 8, 0},
		{"closing", headOf("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + smuggled, 8, 0},
		{"long head", headOf("/a") + "GET /p HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("y", 9000) + "\r\n\r\n" + smuggled, 8, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ahead atomic.Int64
			release := make(chan struct{})
			conn := serveAhead(t, c.depth, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/a" {
					<-release
					return
				}
				ahead.Add(1)
			})
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			n := ahead.Load() // before /a ends, net/http gets to no other
			close(release)
			if n != c.ahead {
				t.Errorf("%d requests were begun before the first ended, want %d", n, c.ahead)
			}
		})
	}
}

// TestRequestsServedAheadEndWithTheirConnection guards against work for a caller that has
// left while earlier answers were due, and against a Close that leaves it running.
func TestRequestsServedAheadEndWithTheirConnection(t *testing.T) {
	begun := make(chan struct{}, 2)
	ended := make(chan string, 2)
	conn := serveAhead(t, 8, func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		ended <- r.URL.Path
	})
	_, _ = io.WriteString(conn, headOf("/a")+headOf("/b"))
	<-begun
	<-begun
	_ = conn.Close()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a request was not cancelled after its caller had left")
		}
	}
}

// TestLongAnswersServedAheadArriveWhole guards against answers that are cut or mixed
// because more of them is ready than is kept, or because one of them breaks off.
func TestLongAnswersServedAheadArriveWhole(t *testing.T) {
	const size = 300 << 10
	conn := serveAhead(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			time.Sleep(50 * time.Millisecond)
		}
		for range size >> 10 {
			if _, err := w.Write([]byte(strings.Repeat(r.URL.Path[1:], 1<<10))); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if r.URL.Path == "/c" {
			panic(http.ErrAbortHandler)
		}
	})
	_, _ = io.WriteString(conn, headOf("/a")+headOf("/b")+headOf("/c"))
	b := bufio.NewReader(conn)
	for _, p := range []string{"a", "b"} {
		if d, err := wholeAnswer(b); err != nil || d != strings.Repeat(p, size) {
			t.Errorf("answer %s: %d bytes and %v, want %d bytes of it", p, len(d), err, size)
		}
	}
	if d, err := wholeAnswer(b); err == nil {
		t.Errorf("answer c: %d bytes without an error, want it to break off", len(d))
	}
}
