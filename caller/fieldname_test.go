package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
)

// oddFieldLines are field lines whose names HTTP does not allow. Those that begin like a
// field that frames the answer stand for one that was meant to.
var oddFieldLines = []string{
	"X : y", "X  : y", "X Y: z", "X-Odd Y : z", "Content-Length : 4", "Content Length: 4", "Content-Length :4",
	"Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Connection : close", "Trailer : Sum", "Content-Encoding : gzip",
	"Figwheel-Server-Seal : t", "Figwheel-Attempt-Id : b1", "Figwheel-Not-Executed : 1", "Figwheel-Code : FW3004",
	"X\t: y", "X\tY: z", "X\x00Y: z", "X\x01: y", "\x1bX: y", "X\x7f: y", "X\rY: z", "X\x0bY: z", "X\x85: y",
	": y", "X", "X(Y): z", "\"X\": y", "X/Y: z", "X@Y: z", "Content-Length\x00: 4", "Transfer-Encoding\x0b: chunked",
}

// oddFieldAnswers returns answers with the line in a head, an interim head or a trailer, by
// place. All but the line prove that the answer is the worker's.
func oddFieldAnswers(line string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n" + sealedHeaders
	const chunks = "4\r\nbody\r\n0\r\n"
	return map[string]string{
		"head, with length":         ok + line + "\r\nContent-Length: 4\r\n\r\nbody",
		"head, first line":          "HTTP/1.1 200 OK\r\n" + line + "\r\n" + sealedHeaders + "Content-Length: 4\r\n\r\nbody",
		"head, LF only":             strings.ReplaceAll(ok+line+"\r\nContent-Length: 4\r\n\r\n", "\r\n", "\n") + "body",
		"head, to the end":          ok + line + "\r\n\r\nbody",
		"head, no body":             ok + line + "\r\nContent-Length: 0\r\n\r\n",
		"head, chunks to the end":   ok + line + "\r\n\r\n" + chunks + "\r\n",
		"head, chunked":             ok + line + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"head of a failure":         "HTTP/1.1 500 Failed\r\n" + sealedHeaders + line + "\r\nContent-Length: 4\r\n\r\nbody",
		"head of a refusal":         "HTTP/1.1 503 Busy\r\n" + sealedHeaders + "Figwheel-Not-Executed: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
		"head of a daemon":          "HTTP/1.1 503 Busy\r\nFigwheel-Code: FW3004\r\nFigwheel-Outcome: not-run\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
		"interim head":              "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody",
		"interim head, 100":         "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody",
		"trailer":                   ok + "Transfer-Encoding: chunked\r\n\r\n" + chunks + line + "\r\n\r\n",
		"trailer behind a good one": ok + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + chunks + "Sum: 1\r\n" + line + "\r\n\r\n",
	}
}

// TestOddFieldNameIsNoAnswer guards against an answer of a worker in trouble in whose head, or
// in whose interim head or trailer, the name of a field holds a byte that HTTP does not allow
// there. If the name was meant to frame the body, what follows is not the worker's body. The
// caller must get a failure of the daemon that promises nothing.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	type observed struct {
		Status  int
		Outcome string
		Seal    string
		Cut     bool // whether the connection ended before the answer was complete
	}
	want := observed{Status: http.StatusBadGateway, Outcome: "unknown"}
	cut := observed{Status: http.StatusOK, Outcome: "run", Seal: "s", Cut: true} // of an answer that is not buffered
	var runs atomic.Int64
	var answer atomic.Pointer[string]
	write := platformWorker(t, &runs, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, *answer.Load())
		_ = c.Close()
	})
	tr := &http.Transport{DisableKeepAlives: true}
	for end, e := range map[string]*node{"worker": platformMesh(t, write), "daemon": rawMesh(t, write)} {
		for _, line := range oddFieldLines {
			for place, a := range oddFieldAnswers(line) {
				answer.Store(&a)
				runs.Store(0)
				q := request(t, e, http.MethodPost, "/once/", nil)
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				p, err := (&http.Client{Transport: tr}).Do(q)
				if err != nil {
					t.Errorf("%s, %q, %s: %v", end, line, place, err)
					continue
				}
				_, err = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				g := observed{p.StatusCode, p.Header.Get(contract.OutcomeHeader), p.Header.Get("Figwheel-Server-Seal"), err != nil}
				if d := cmp.Diff(want, g); d != "" && (end != "daemon" || !strings.HasPrefix(place, "trailer") || g != cut) {
					t.Errorf("%s, %q, %s: (-want +got)\n%s", end, line, place, d)
				}
				if n := runs.Load(); n != 1 {
					t.Errorf("%s, %q, %s: sent to workers %d times, want 1", end, line, place, n)
				}
			}
		}
	}
}

// TestOddFieldNameOfLargeAnswerCutsIt guards against a large answer that was forwarded as it
// arrived, ends with a trailer that HTTP does not allow, and passes for whole.
func TestOddFieldNameOfLargeAnswerCutsIt(t *testing.T) {
	for _, c := range []struct {
		trailer string
		whole   bool
	}{{"Sum: 1", true}, {"Su m: 1", false}, {"Sum : 1", false}, {"S\x01um: 1", false}} {
		var runs atomic.Int64
		e := platformMesh(t, platformWorker(t, &runs, func(n net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", sealedHeaders, len(largeBody), largeBody, c.trailer)
		}))
		q := request(t, e, http.MethodPost, "/once/", nil)
		q.Header.Set("Figwheel-Attempt-Id", "a1")
		if g := send(t, q); g.Cut == c.whole || c.whole && g.Body != largeBody {
			t.Errorf("%q: status %d, cut %t, %d bytes; want whole %t", c.trailer, g.Status, g.Cut, len(g.Body), c.whole)
		}
	}
}

// TestOddFieldNameTakesConnectionOutOfUse guards against the next request on a connection
// whose last answer had an odd head: the bytes behind it may be a part of that answer.
func TestOddFieldNameTakesConnectionOutOfUse(t *testing.T) {
	for _, odd := range []string{"Content-Length: 0\r\nContent-Length : 4\r\n\r\nbody", "Content-Length: 0\r\nX Y: z\r\n\r\n"} {
		var connections, requests atomic.Int64
		w := listen(t, func(c net.Conn) {
			connections.Add(1)
			b := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(b); err != nil {
					return
				}
				if requests.Add(1) == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHeaders+odd)
					continue
				}
				reply(c, "200 OK", sealedHeaders, "whole")
			}
		})
		e := platformMesh(t, w)
		var got []int
		for range 2 {
			q := request(t, e, http.MethodPost, "/once/", nil)
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			got = append(got, send(t, q).Status)
		}
		if d := cmp.Diff([]int{http.StatusBadGateway, http.StatusOK}, got); d != "" || connections.Load() != 2 {
			t.Errorf("%q: %d connections, want 2; statuses (-want +got)\n%s", odd, connections.Load(), d)
		}
	}
}

// TestRareFieldNameIsForwarded guards against a proper, if rare, head of a worker that is
// taken for none.
func TestRareFieldNameIsForwarded(t *testing.T) {
	for _, line := range []string{
		"!#$%&'*+-.^_`|~: y", "0: y", "x_y: z", "X.Y: z", "x: y", "CONTENT-TYPE: text/plain", "X:y", "X:", "X: \t y \t", "X: a:b c", "X: \x80\xff",
		"X: y\r\n z", "X: y\r\n\tContent-Length : 3", "X: y\r\nX: z", strings.Repeat("X", 1000) + ": y",
	} {
		for place, answer := range map[string]string{
			"head":         "HTTP/1.1 200 OK\r\n" + sealedHeaders + line + "\r\nContent-Length: 5\r\n\r\nwhole",
			"interim head": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + sealedHeaders + "Content-Length: 5\r\n\r\nwhole",
			"trailer":      "HTTP/1.1 200 OK\r\n" + sealedHeaders + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n",
		} {
			var runs atomic.Int64
			e := platformMesh(t, platformWorker(t, &runs, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) }))
			q := request(t, e, http.MethodPost, "/once/", nil)
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			if d := cmp.Diff(received{Status: http.StatusOK, Outcome: "run", Body: "whole"}, send(t, q)); d != "" {
				t.Errorf("%q, %s: (-want +got)\n%s", line, place, d)
			}
		}
	}
}
