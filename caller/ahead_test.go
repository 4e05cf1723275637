package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
)

// serveAhead starts a server that serves up to depth requests of a connection at the
// same time, except those of paths that begin with /once, and returns a connection to it.
func serveAhead(t testing.TB, depth int, f http.HandlerFunc) net.Conn {
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

// TestRequestWithInvalidHostIsNotServedAhead guards against a request that runs although
// net/http rejects it when it gets to it: the parser that reads a head ahead does not check
// the host.
func TestRequestWithInvalidHostIsNotServedAhead(t *testing.T) {
	for _, host := range []string{"h x", "h/x", `h"x`, "h\x80", "h<x>", ""} {
		t.Run(host, func(t *testing.T) {
			var ahead atomic.Int64
			release := make(chan struct{})
			conn := serveAhead(t, 8, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/a" {
					<-release
					return
				}
				ahead.Add(1)
			})
			_, _ = io.WriteString(conn, headOf("/a")+"GET /b HTTP/1.1\r\nHost: "+host+"\r\n\r\n"+headOf("/c"))
			time.Sleep(50 * time.Millisecond)
			n := ahead.Load()
			close(release)
			if n != 0 {
				t.Errorf("%d requests were begun before the first ended, want 0", n)
			}
		})
	}
}

// TestOddHeadsAreReadAsInTurn guards against two parsers that read the bytes of a
// connection differently: a request that runs ahead and that net/http does not read, or
// reads as a part of another one. Each case stands between two requests.
func TestOddHeadsAreReadAsInTurn(t *testing.T) {
	odd := map[string]string{
		"folded header":          "GET /o HTTP/1.1\r\nHost: h\r\nX: y\r\n\tz: w\r\n\r\n",
		"folded first header":    "GET /o HTTP/1.1\r\n X: y\r\nHost: h\r\n\r\n",
		"bare CR in value":       "GET /o HTTP/1.1\r\nHost: h\r\nX: y\rContent-Length: 5\r\n\r\n",
		"CR CR LF":               "GET /o HTTP/1.1\r\nHost: h\r\r\n\r\n",
		"LF before CR LF":        "GET /o HTTP/1.1\r\nHost: h\n\r\n",
		"LF alone":               "GET /o HTTP/1.1\nHost: h\n\n",
		"NUL in value":           "GET /o HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n",
		"NUL in name":            "GET /o HTTP/1.1\r\nHost: h\r\nContent-Length\x00: 5\r\n\r\n",
		"VT before name":         "GET /o HTTP/1.1\r\nHost: h\r\n\vContent-Length: 5\r\n\r\n",
		"space before colon":     "GET /o HTTP/1.1\r\nHost: h\r\nContent-Length : 40\r\n\r\n",
		"empty name":             "GET /o HTTP/1.1\r\nHost: h\r\n: y\r\n\r\n",
		"no colon":               "GET /o HTTP/1.1\r\nHost: h\r\nContent-Length\r\n\r\n",
		"two hosts":              "GET /o HTTP/1.1\r\nHost: h\r\nhost: i\r\n\r\n",
		"no headers":             "GET /o HTTP/1.1\r\n\r\n",
		"capital length":         "GET /o HTTP/1.1\r\nHost: h\r\nCONTENT-LENGTH: 40\r\n\r\n",
		"two lengths":            "GET /o HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nContent-Length: 0\r\n\r\n",
		"obfuscated chunks":      "GET /o HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"absolute target":        "GET http://i/o HTTP/1.1\r\nHost: h\r\n\r\n",
		"target of two slashes":  "GET //i/o HTTP/1.1\r\nHost: h\r\n\r\n",
		"bad percent-encoding":   "GET /o%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"encoded line end":       "GET /o%0d%0a%0d%0a HTTP/1.1\r\nHost: h\r\n\r\n",
		"two protocols":          "GET /o HTTP/1.0 HTTP/1.1\r\nHost: h\r\n\r\n",
		"two spaces":             "GET /o  HTTP/1.1\r\nHost: h\r\n\r\n",
		"tab in request line":    "GET /o\tHTTP/1.1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"HTTP/1.0":               "GET /o HTTP/1.0\r\nHost: h\r\n\r\n",
		"HTTP/1.0 kept":          "GET /o HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
		"HTTP/0.9":               "GET /o\r\n\r\n",
		"HTTP/2 preface":         "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"lower-case method":      "get /o HTTP/1.1\r\nHost: h\r\n\r\n",
		"other method":           "HEAD /o HTTP/1.1\r\nHost: h\r\n\r\n",
		"empty line before":      "\r\nGET /o HTTP/1.1\r\nHost: h\r\n\r\n",
		"two empty lines before": "\r\n\r\nGET /o HTTP/1.1\r\nHost: h\r\n\r\n",
		"upgrade":                "GET /o HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
		"letters beyond ASCII":   "GET /ö HTTP/1.1\r\nHost: h\r\nX: ö\r\n\r\n",
		"POST and empty lines":   "POST /o HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n",
		"head within a body":     "POST /o HTTP/1.1\r\nHost: h\r\nContent-Length: 43\r\n\r\n" + headOf("/smuggled"),
		"head within chunks":     "POST /o HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2b\r\n" + headOf("/smuggled") + "\r\n0\r\n\r\n",
	}
	served := func(depth int, sent string) []string {
		var mu sync.Mutex
		var paths []string
		conn := serveAhead(t, depth, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/a" {
				time.Sleep(10 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			paths = append(paths, r.URL.Path)
		})
		_, _ = io.WriteString(conn, sent)
		_, _ = io.Copy(io.Discard, conn) // net/http closes after the last request, or the first that it rejects
		mu.Lock()
		defer mu.Unlock()
		return slices.Sorted(slices.Values(paths))
	}
	for name, o := range odd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := headOf("/a") + o + headOf("/b") + "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
			if d := cmp.Diff(served(0, sent), served(8, sent)); d != "" {
				t.Errorf("requests that ran (-in turn +ahead):\n%s", d)
			}
		})
	}
}

// TestCallerThatWaitsForAnswersIsServedInTurn guards against the cost of serving ahead for
// a request that is sent just after the answer before it, when net/http has not yet begun
// to read it.
func TestCallerThatWaitsForAnswersIsServedInTurn(t *testing.T) {
	const calls = 5000
	var ahead atomic.Int64
	h := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { caller.ServeAhead(w, r, h) }))
	s.Listener = caller.Listener{Listener: s.Listener, Ahead: caller.Ahead{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ahead.Add(1) }),
		May:     func(*http.Request) bool { return true },
		Depth:   8,
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
	b := bufio.NewReader(c)
	for range calls {
		_, _ = io.WriteString(c, headOf("/a"))
		p, err := http.ReadResponse(b, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, p.Body)
		_ = p.Body.Close()
	}
	if n := ahead.Load(); n > 0 {
		t.Errorf("%d of %d requests were begun ahead, want none", n, calls)
	}
}
