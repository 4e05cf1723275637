package caller_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/link"
	"figwheel/upstream"
)

// workerAnswer is an answer that a worker may begin and not complete.
type workerAnswer struct {
	name    string
	method  string // of the request
	status  string // status line
	headers string // besides those of the platform
	body    string // as it is written
	lf      bool   // whether its lines end with a line feed only
	close   bool   // whether it says that the connection ends
	interim string // what precedes it

	wantStatus int    // of the whole answer; a faulty one is never forwarded
	want       string // body of the whole answer
	toEnd      bool   // whether it ends with its connection
}

// largeBody does not fit the buffer of a daemon.
var largeBody = strings.Repeat("0123456789abcdef", 3<<10)

// workerAnswers returns the answers of the tables below.
func workerAnswers() []workerAnswer {
	const ok, created, old = "HTTP/1.1 200 OK", "HTTP/1.1 201 Created", "HTTP/1.0 200 OK"
	const hints = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nX: y\r\n\r\n"
	const chunks = "4\r\nfour\r\n0e;x=y\r\nfourteen bytes\r\n0\r\n\r\n"
	get, head, post := http.MethodGet, http.MethodHead, http.MethodPost
	chunked := "Transfer-Encoding: chunked\r\n"
	return []workerAnswer{
		{name: "length", method: get, status: ok, headers: "Content-Length: 12\r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "length, posted", method: post, status: created, headers: "Content-Length: 12\r\n", body: "twelve bytes", wantStatus: 201, want: "twelve bytes"},
		{name: "length, closes", method: get, status: ok, headers: "Content-Length: 12\r\n", body: "twelve bytes", close: true, wantStatus: 200, want: "twelve bytes"},
		{name: "no bytes, closes", method: post, status: ok, headers: "Content-Length: 0\r\n", close: true, wantStatus: 200},
		{name: "lines end with LF", method: get, status: ok, headers: "Content-Length: 12\r\n", body: "twelve bytes", lf: true, wantStatus: 200, want: "twelve bytes"},
		{name: "folded header", method: get, status: ok, headers: "Content-Length: 12\r\nX: y\r\n z\r\n\tContent-Length: 0\r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "length after interim answers", method: get, status: ok, headers: "Content-Length: 12\r\n", body: "twelve bytes", interim: hints, wantStatus: 200, want: "twelve bytes"},
		{name: "same length twice", method: get, status: ok, headers: "Content-Length: 12\r\nContent-Length: 12\r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "length with spaces", method: get, status: ok, headers: "Content-Length:  12 \r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "chunks", method: get, status: ok, headers: chunked, body: chunks, wantStatus: 200, want: "fourfourteen bytes"},
		{name: "chunks, closes", method: post, status: ok, headers: chunked, body: chunks, close: true, wantStatus: 200, want: "fourfourteen bytes"},
		{name: "chunks and a trailer", method: get, status: ok, headers: chunked + "Trailer: Sum\r\n", body: strings.TrimSuffix(chunks, "\r\n") + "Sum: 1\r\n\r\n", wantStatus: 200, want: "fourfourteen bytes"},
		{name: "chunks and a length", method: get, status: ok, headers: "Content-Length: 4\r\n" + chunked, body: chunks, wantStatus: 200, want: "fourfourteen bytes"},
		{name: "to the end", method: get, status: ok, body: "all of it", toEnd: true, wantStatus: 200, want: "all of it"},
		{name: "to the end, closes", method: post, status: ok, body: "all of it", close: true, toEnd: true, wantStatus: 200, want: "all of it"},
		{name: "HTTP/1.0, length", method: get, status: old, headers: "Content-Length: 12\r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "HTTP/1.0, kept", method: get, status: old, headers: "Connection: keep-alive\r\nContent-Length: 12\r\n", body: "twelve bytes", wantStatus: 200, want: "twelve bytes"},
		{name: "HTTP/1.0, to the end", method: get, status: old, body: "all of it", toEnd: true, wantStatus: 200, want: "all of it"},
		{name: "HEAD, length", method: head, status: ok, headers: "Content-Length: 12\r\n", wantStatus: 200},
		{name: "HEAD, chunks", method: head, status: ok, headers: chunked, wantStatus: 200},
		{name: "no content", method: get, status: "HTTP/1.1 204 No Content", wantStatus: 204},
		{name: "not modified", method: get, status: "HTTP/1.1 304 Not Modified", headers: "Content-Length: 12\r\n", wantStatus: 304},
		{name: "two lengths", method: get, status: ok, headers: "Content-Length: 12\r\nContent-Length: 2\r\n", body: "twelve bytes"},
		{name: "signed length", method: get, status: ok, headers: "Content-Length: +12\r\n", body: "twelve bytes"},
		{name: "negative length", method: get, status: ok, headers: "Content-Length: -1\r\n", body: "twelve bytes"},
		{name: "length within", method: get, status: ok, headers: "Content-Length: 1 2\r\n", body: "twelve bytes"},
		{name: "list of lengths", method: get, status: ok, headers: "Content-Length: 2, 12\r\n", body: "twelve bytes"},
		{name: "list of one length", method: get, status: ok, headers: "Content-Length: 12, 12\r\n", body: "twelve bytes"},
		{name: "empty length", method: get, status: ok, headers: "Content-Length:\r\n", body: "twelve bytes"},
		{name: "HEAD, two lengths", method: head, status: ok, headers: "Content-Length: 12\r\nContent-Length: 2\r\n"},
		{name: "unknown coding", method: get, status: ok, headers: "Transfer-Encoding: gzip, chunked\r\n", body: chunks},
		{name: "trailer that is a length", method: get, status: ok, headers: chunked + "Trailer: Content-Length\r\n", body: chunks},
		{name: "other protocol", method: get, status: "HTTP/1.1 101 Switching Protocols", headers: "Upgrade: x\r\nConnection: upgrade\r\n"},
		{name: "status 099", method: get, status: "HTTP/1.1 099 None", headers: "Content-Length: 0\r\n"},
	}
}

// largeAnswers returns answers that daemons forward before they are complete.
func largeAnswers() []workerAnswer {
	const ok = "HTTP/1.1 200 OK"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(largeBody), largeBody)
	return []workerAnswer{
		{name: "large, length", method: http.MethodGet, status: ok, headers: fmt.Sprintf("Content-Length: %d\r\n", len(largeBody)), body: largeBody, wantStatus: 200, want: largeBody},
		{name: "large, chunks", method: http.MethodGet, status: ok, headers: "Transfer-Encoding: chunked\r\n", body: chunk + "0\r\n\r\n", wantStatus: 200, want: largeBody},
		{name: "large, to the end", method: http.MethodGet, status: ok, body: largeBody, toEnd: true, wantStatus: 200, want: largeBody},
	}
}

// text returns the answer to the request id, with further headers, and the length of
// its head.
func (a workerAnswer) text(id, headers string) (text string, head int) {
	h := a.interim + a.status + "\r\n" + headers + "Figwheel-Attempt-Id: " + id + "\r\n" + a.headers
	if a.close {
		h += "Connection: close\r\n"
	}
	h += "Figwheel-Server-Seal: 3e1b\r\n\r\n"
	if a.lf {
		h = strings.ReplaceAll(h, "\r\n", "\n")
	}
	return h + a.body, len(h)
}

// The ways in which a worker ends an answer.
const (
	byFIN   = "FIN"
	byReset = "reset"
	silent  = "silence"
)

// cutting is a worker, or a daemon beside one, that ends its answers early.
type cutting struct {
	answers []workerAnswer
	headers string // further headers of each answer
	then    string // connection header of the answers that it completes

	mu       sync.Mutex
	arrivals map[string]int // by request id
}

// serve serves one connection. The headers of a request say which answer to write,
// how many bytes of it, and how to end it.
func (k *cutting) serve(c net.Conn) {
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Figwheel-Attempt-Id")
		k.mu.Lock()
		k.arrivals[id]++
		k.mu.Unlock()
		i, err := strconv.Atoi(q.Header.Get("X-Answer"))
		if err != nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: 3e1b\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s", k.headers, id, k.then, len(id), id)
			if k.then == "close" {
				return
			}
			continue
		}
		text, _ := k.answers[i].text(id, k.headers)
		n, _ := strconv.Atoi(q.Header.Get("X-Cut"))
		_, _ = io.WriteString(c, text[:n])
		switch q.Header.Get("X-End") {
		case byReset:
			_ = c.(*net.TCPConn).SetLinger(0)
		case silent:
			_, _ = c.Read(make([]byte, 1))
		}
		_ = c.Close()
		return
	}
}

// cuttingMesh returns a daemon whose only instance is k: its own worker, the worker
// of another daemon, or that daemon itself.
func cuttingMesh(t *testing.T, k *cutting, place string) *node {
	t.Helper()
	a := listen(t, k.serve)
	e := platformMesh(t, a)
	s := e.view.Load().Snapshot
	c := link.Candidate{Name: "0", Slots: 2, SameSite: true, Peer: &link.Peer{}}
	switch place {
	case "own worker":
		v, _ := s.Service("s")
		e.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 2, ID: "i-0"}, v, time.Now())
		c.Local = true
	case "link":
		k.headers = "Figwheel-Release: 7-c\r\nFigwheel-Load: 0 0 0\r\n"
		c.Address = a
	default:
		return e
	}
	e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{c})}))
	return e
}

// rawAnswer is an answer as its bytes on the caller's connection say.
type rawAnswer struct {
	status         string // three digits
	code, outcome  string
	length         string // value of the header
	body           string
	complete, open bool // whether it ended by its framing, and leaves the connection open
}

var errFraming = errors.New("the answer has no framing, or two")

// readRaw reads an answer to a request of the given method.
func readRaw(b *bufio.Reader, method string) (g rawAnswer, err error) {
	line, err := b.ReadString('\n')
	if err != nil {
		return g, err
	}
	if len(line) < 13 || line[:9] != "HTTP/1.1 " {
		return g, fmt.Errorf("status line %q", line)
	}
	g.status, g.open = line[9:12], true
	length, chunked := -1, false
	for {
		if line, err = b.ReadString('\n'); err != nil {
			return g, err
		}
		if line == "\r\n" {
			break
		}
		name, v, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), ": ")
		switch name {
		case "Figwheel-Code":
			g.code = v
		case "Figwheel-Outcome":
			g.outcome = v
		case "Connection":
			g.open = v != "close"
		case "Transfer-Encoding":
			chunked = true
		case "Content-Length":
			if length >= 0 {
				return g, errFraming
			}
			g.length = v
			if length, err = strconv.Atoi(v); err != nil {
				return g, err
			}
		}
	}
	if method == http.MethodHead || g.status == "204" || g.status == "304" {
		g.complete = true
		return g, nil
	}
	if (length >= 0) == chunked {
		return g, errFraming
	}
	for {
		if chunked {
			if line, err = b.ReadString('\n'); err != nil {
				return g, err
			}
			n, err := strconv.ParseInt(strings.TrimSuffix(line, "\r\n"), 16, 32)
			if err != nil {
				return g, err
			}
			length = int(n)
		}
		p := make([]byte, length)
		n, err := io.ReadFull(b, p)
		g.body += string(p[:n])
		if err != nil {
			return g, err
		}
		if !chunked {
			g.complete = true
			return g, nil
		}
		for line = ""; line != "\r\n"; { // the end of the chunk, or trailers
			if line, err = b.ReadString('\n'); err != nil {
				return g, err
			}
			if n > 0 && line != "\r\n" {
				return g, errFraming
			}
		}
		if n == 0 {
			g.complete = true
			return g, nil
		}
	}
}

// cutCaller sends requests in pairs on one connection: one whose answer is cut and
// one after it whose answer is not.
type cutCaller struct {
	place string
	e     *node
	k     *cutting
	conn  net.Conn
	b     *bufio.Reader
	n     int // number of requests
}

// check has the worker end the answer i after n bytes, and checks what the caller gets.
func (u *cutCaller) check(t *testing.T, i, n int, end string) {
	t.Helper()
	if u.conn == nil {
		c, err := net.Dial("tcp", address(u.e.call))
		if err != nil {
			t.Fatal(err)
		}
		u.conn, u.b = c, bufio.NewReader(c)
	}
	u.n++
	a := u.k.answers[i]
	id, next := fmt.Sprintf("cut-%08d", u.n), fmt.Sprintf("own-%08d", u.n)
	text, head := a.text(id, u.k.headers)
	body := ""
	if a.method == http.MethodPost {
		body = "Content-Length: 4\r\n\r\nbody"
	} else {
		body = "\r\n"
	}
	ms := 20000
	if end == silent {
		ms = 30
	}
	const rest = "HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: "
	_ = u.conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = fmt.Fprintf(u.conn, "%s /alone/ %s%s\r\nFigwheel-Request-Deadline: %d\r\nX-Answer: %d\r\nX-Cut: %d\r\nX-End: %s\r\n%s"+
		"GET /alone/ %s%s\r\nFigwheel-Request-Deadline: 20000\r\n\r\n", a.method, rest, id, ms, i, n, end, body, rest, next)
	g, err := readRaw(u.b, a.method)
	at := fmt.Sprintf("%s, %s by %s after %d of %d (head %d) %q", u.place, a.name, end, n, len(text), head, text[max(0, min(n, head)-20):min(n, head)])
	whole := n == len(text) && a.wantStatus > 0 && (!a.toEnd || end == byFIN) || a.toEnd && n >= head && end == byFIN
	want := a.want
	if a.toEnd && whole {
		want = text[head:n]
	}
	switch {
	case whole && end == byFIN && (err != nil || !g.complete || g.status != strconv.Itoa(a.wantStatus) || g.body != want):
		t.Errorf("%s: a whole answer became %.200v, %v", at, g, err)
	case whole && g.code == "" && a.method == http.MethodHead && (g.length != "") != strings.Contains(text, "Content-Length"):
		t.Errorf("%s: the length became %q", at, g.length)
	case !whole && g.complete && g.code == "":
		t.Errorf("%s: the caller got the answer as whole: %.200v", at, g)
	case !whole && !g.complete && len(want) < 32<<10 && u.place != "link":
		t.Errorf("%s: %.200v, %v", at, g, err)
	case g.complete && g.code != "" && (g.outcome != "unknown" || g.status != "502" && (end != silent || g.status != "504")):
		t.Errorf("%s: a request that ran: %.200v", at, g)
	}
	u.k.mu.Lock()
	if r := u.k.arrivals[id]; r != 1 {
		t.Errorf("%s: sent %d times", at, r)
	}
	u.k.mu.Unlock()
	if g.complete && g.open {
		g, err = readRaw(u.b, http.MethodGet)
		// A worker that closes a connection after a whole answer may do so under the next request.
		lost := whole && g.code != "" && g.status == "502" && g.outcome == "unknown"
		if err != nil || !lost && (g.status != "200" || g.body != next) {
			t.Errorf("%s: the next request got %.200v, %v", at, g, err)
		}
	} else if d, _ := io.ReadAll(u.b); len(d) > 0 {
		t.Errorf("%s: then the connection has %q", at, d)
	}
	if !g.complete || !g.open {
		_ = u.conn.Close()
		u.conn = nil
	}
}

// TestCutAnswerIsNotWhole guards against an answer that its worker did not complete
// and that the caller gets as a whole one, empty or short, or that the next request
// on the connection gets.
func TestCutAnswerIsNotWhole(t *testing.T) {
	const (
		bodyOffsets  = 64 // that are tried of a large body
		combinations = 6
		allOffsets   = 6 // answers of which each offset of the head is tried
		idBytes      = len("\r\nFigwheel-Attempt-Id: cut-00000000")
		sealBytes    = len("Figwheel-Server-Seal: 3e1b\r\n\r\n")
	)
	combination := 0
	for _, place := range []string{"own worker", "other worker", "link"} {
		for _, then := range []string{"keep-alive", "close"} {
			k := &cutting{answers: append(workerAnswers(), largeAnswers()...), then: then, arrivals: make(map[string]int)}
			u := &cutCaller{place: place, e: cuttingMesh(t, k, place), k: k}
			first := combination
			combination++
			t.Run(place+", "+then, func(t *testing.T) {
				t.Parallel()
				for i, a := range k.answers {
					text, head := a.text("cut-00000000", k.headers)
					for n := range len(text) + 1 {
						if n > head+bodyOffsets && n < len(text)-16 && n%9973 != 0 {
							continue
						}
						if i >= allOffsets && a.interim == "" && (n < len(a.status)+len(k.headers)+idBytes || n > head-sealBytes && n < head-4) {
							continue // as in the answers before
						}
						// Each combination has its share of the offsets, and the ends of the head and of the answer.
						edge := n == 0 || n == head || n == head-1 || n == len(text)-1 || n == len(text)
						if edge || (n+i)%combinations == first {
							u.check(t, i, n, byFIN)
							u.check(t, i, n, byReset)
						}
					}
				}
			})
		}
	}
}

// TestSilentAnswerIsNotWhole guards against an answer that is ended as a whole one when
// its worker stops in the middle of it and the deadline passes.
func TestSilentAnswerIsNotWhole(t *testing.T) {
	for _, place := range []string{"own worker", "other worker", "link"} {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			k := &cutting{answers: append(workerAnswers()[:18], largeAnswers()...), arrivals: make(map[string]int)}
			u := &cutCaller{place: place, e: cuttingMesh(t, k, place), k: k}
			for i := 0; i < len(k.answers); i += 2 {
				text, head := k.answers[i].text("cut-00000000", k.headers)
				u.check(t, i, head-2, silent)
				u.check(t, i, len(text)-1, silent)
			}
		})
	}
}
