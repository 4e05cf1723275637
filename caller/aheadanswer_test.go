package caller_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAnswerServedAheadIsAsServedInTurn guards against an answer that depends on whether
// its request was begun ahead: headers of a handler that writes nothing, an informational
// status that is taken for the final one, and a body that the status does not allow.
func TestAnswerServedAheadIsAsServedInTurn(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Test", "x")
		switch r.URL.Path {
		case "/informational":
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "body")
		case "/informationalError":
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusNotFound)
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/unchanged":
			w.WriteHeader(http.StatusNotModified)
			_, _ = io.WriteString(w, "body")
		case "/trailer":
			h.Set("Trailer", "X-End")
			_, _ = io.WriteString(w, "body")
			h.Set(http.TrailerPrefix+"X-End", "e")
		case "/twice":
			w.WriteHeader(http.StatusNotFound)
			w.WriteHeader(http.StatusOK)
		}
	}
	type result struct {
		Status  int
		Test    string
		Body    string
		Trailer string
	}
	paths := []string{"/nothing", "/informational", "/informationalError", "/none", "/unchanged", "/trailer", "/twice"}
	get := func(depth int) []result {
		conn := serveAhead(t, depth, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				time.Sleep(50 * time.Millisecond)
				return
			}
			answer(w, r)
		})
		sent := headOf("/first")
		for _, p := range paths {
			sent += headOf(p)
		}
		_, _ = io.WriteString(conn, sent)
		b := bufio.NewReader(conn)
		var l []result
		for len(l) <= len(paths) {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				t.Fatalf("depth %d, answer %d: %v", depth, len(l), err)
			}
			if p.StatusCode < http.StatusOK {
				continue // a caller may get it or not
			}
			d, err := io.ReadAll(p.Body)
			_ = p.Body.Close()
			if err != nil {
				t.Fatalf("depth %d, answer %d: %v", depth, len(l), err)
			}
			l = append(l, result{p.StatusCode, p.Header.Get("X-Test"), string(d), p.Trailer.Get("X-End")})
		}
		return l
	}
	if d := cmp.Diff(get(0), get(8)); d != "" {
		t.Errorf("answers (-in turn +ahead):\n%s", d)
	}
}

// TestShortAnswerServedAheadLooksCut guards against an answer that is shorter than its
// length and that its caller takes for whole, with bytes of the next answer in it.
func TestShortAnswerServedAheadLooksCut(t *testing.T) {
	conn := serveAhead(t, 8, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/a":
			time.Sleep(50 * time.Millisecond)
		case "/b":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "four")
		default:
			_, _ = io.WriteString(w, strings.Repeat("c", 20))
		}
	})
	_, _ = io.WriteString(conn, headOf("/a")+headOf("/b")+headOf("/c"))
	b := bufio.NewReader(conn)
	first, err := http.ReadResponse(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Body.Close()
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return // nothing of it arrived
	}
	d, err := io.ReadAll(p.Body)
	_ = p.Body.Close()
	if err == nil || strings.Contains(string(d), "c") {
		t.Errorf("got the body %q and %v, want it to break off", d, err)
	}
}
