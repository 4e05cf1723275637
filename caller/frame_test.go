package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
)

// TestFramingFieldInTrailerIsNoAnswer guards against a trailer of a worker that names a field
// which frames a message, and with which the caller cannot read the answer of the daemon.
func TestFramingFieldInTrailerIsNoAnswer(t *testing.T) {
	const chunks = "4\r\nbody\r\n0\r\n"
	for _, c := range []struct {
		line  string
		whole bool
	}{
		{"Content-Length: 9", false},
		{"content-length: 4", false},
		{"Transfer-Encoding: chunked", false},
		{"Trailer: Sum", false},
		{"Sum: 1", true},
		{"Content-Type: text/plain", true},
	} {
		for _, http2 := range []bool{false, true} {
			for end, mesh := range map[string]func(a string) *node{
				"worker": func(a string) *node { return platformMesh(t, a) },
				"daemon": func(a string) *node { return rawMesh(t, a) },
			} {
				var runs atomic.Int64
				e := mesh(platformWorker(t, &runs, func(n net.Conn, _ *http.Request) {
					_, _ = fmt.Fprintf(n, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%s%s\r\n\r\n", sealedHeaders, chunks, c.line)
				}))
				p := new(http.Protocols)
				p.SetHTTP1(!http2)
				p.SetUnencryptedHTTP2(http2)
				q := request(t, e, http.MethodPost, "/once/", nil)
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, Protocols: p}}).Do(q)
				if err != nil {
					t.Errorf("%q from a %s, HTTP/2 %t: %v, want an answer", c.line, end, http2, err)
					continue
				}
				b, err := io.ReadAll(a.Body)
				_ = a.Body.Close()
				whole := err == nil && a.StatusCode == http.StatusOK && string(b) == "body"
				if whole != c.whole || !whole && (a.StatusCode != http.StatusBadGateway || a.Header.Get(contract.OutcomeHeader) != "unknown") {
					t.Errorf("%q from a %s, HTTP/2 %t: %d %q, %v; want whole %t", c.line, end, http2, a.StatusCode, b, err, c.whole)
				}
			}
		}
	}
}

// TestOtherProtocolIsNoAnswer guards against bytes that begin like an answer of another
// version of HTTP than the request, and that pass for one.
func TestOtherProtocolIsNoAnswer(t *testing.T) {
	failure := received{Status: http.StatusBadGateway, Outcome: "unknown"}
	whole := received{Status: http.StatusOK, Outcome: "run", Body: "whole"}
	for version, want := range map[string]received{
		"HTTP/1.1": whole, "HTTP/1.0": whole, "HTTP/1.9": whole,
		"HTTP/0.9": failure, "HTTP/0.0": failure, "HTTP/2.0": failure, "HTTP/3.0": failure, "HTTP/9.9": failure,
		"HTTP/2": failure, "HTTP/1": failure, "HTTP/11.1": failure, "HTTP/1.10": failure, "http/1.1": failure, "HTTPS/1.1": failure, "ICY": failure, "": failure,
	} {
		for end, mesh := range map[string]func(a string) *node{
			"worker": func(a string) *node { return platformMesh(t, a) },
			"daemon": func(a string) *node { return rawMesh(t, a) },
		} {
			var runs atomic.Int64
			e := mesh(answerAndClose(t, &runs, version+" 200 OK\r\n"+sealedHeaders+"Content-Length: 5\r\n\r\nwhole"))
			q := request(t, e, http.MethodPost, "/once/", nil)
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			g := send(t, q)
			g.Code = ""
			if d := cmp.Diff(want, g); d != "" {
				t.Errorf("%q from a %s: (-want +got)\n%s", version, end, d)
			}
		}
	}
}

// TestCodedAnswerOfHTTP10IsNoAnswer guards against an answer of HTTP/1.0 in chunks, a version that
// has none: the framing of the chunks reached the caller as the body.
func TestCodedAnswerOfHTTP10IsNoAnswer(t *testing.T) {
	const old, chunks = "HTTP/1.0 200 OK\r\n" + sealedHeaders, "5\r\nwhole\r\n0\r\n\r\n"
	failure := received{Status: http.StatusBadGateway, Outcome: "unknown"}
	whole := received{Status: http.StatusOK, Outcome: "run", Body: "whole"}
	for name, c := range map[string]struct {
		answer string
		want   received
	}{
		"chunks":                          {old + "Transfer-Encoding: chunked\r\n\r\n" + chunks, failure},
		"lower case, no blank":            {old + "transfer-encoding:chunked\r\n\r\n" + chunks, failure},
		"LF only":                         {strings.ReplaceAll(old, "\r", "") + "Transfer-Encoding: chunked\n\n" + chunks, failure},
		"first field":                     {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + sealedHeaders + "\r\n" + chunks, failure},
		"kept, with a length":             {old + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nwhole", failure},
		"other coding":                    {old + "Transfer-Encoding: gzip\r\n\r\nwhole", failure},
		"after an interim answer":         {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + old + "Transfer-Encoding: chunked\r\n\r\n" + chunks, failure},
		"after an interim answer of 1.0":  {"HTTP/1.0 100 Continue\r\n\r\n" + old + "Transfer-Encoding: chunked\r\n\r\n" + chunks, failure},
		"behind a long field":             {old + "X: " + strings.Repeat("x", 5000) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, failure},
		"to the end":                      {old + "\r\nwhole", whole},
		"length":                          {old + "Content-Length: 5\r\n\r\nwhole", whole},
		"name that begins like the field": {old + "Transfer-Encoding-X: chunked\r\n\r\nwhole", whole},
		"value like the field":            {old + "X: y\r\n Transfer-Encoding: chunked\r\n\r\nwhole", whole},
		"HTTP/1.1 in chunks":              {"HTTP/1.1 200 OK\r\n" + sealedHeaders + "Transfer-Encoding: chunked\r\n\r\n" + chunks, whole},
	} {
		for end, mesh := range map[string]func(a string) *node{
			"worker": func(a string) *node { return platformMesh(t, a) },
			"daemon": func(a string) *node { return rawMesh(t, a) },
		} {
			for _, inPieces := range []bool{false, true} {
				var runs atomic.Int64
				e := mesh(platformWorker(t, &runs, func(n net.Conn, _ *http.Request) {
					for s := c.answer; s != ""; {
						k := len(s)
						if inPieces {
							k = min(k, 7)
							time.Sleep(100 * time.Microsecond)
						}
						_, _ = io.WriteString(n, s[:k])
						s = s[k:]
					}
					_ = n.Close()
				}))
				for range 2 {
					q := request(t, e, http.MethodPost, "/alone/", nil)
					q.Header.Set("Figwheel-Attempt-Id", "a1")
					g := send(t, q)
					g.Code = ""
					if d := cmp.Diff(c.want, g); d != "" {
						t.Errorf("%s, from a %s, in pieces %t: (-want +got)\n%s", name, end, inPieces, d)
					}
				}
			}
		}
	}
	// A body that holds such a line is no head.
	var runs atomic.Int64
	body := "x\r\nTransfer-Encoding: chunked\r\n\r\n"
	e := platformMesh(t, answerAndClose(t, &runs, old+"\r\n"+body))
	q := request(t, e, http.MethodPost, "/once/", nil)
	q.Header.Set("Figwheel-Attempt-Id", "a1")
	if d := cmp.Diff(received{Status: http.StatusOK, Outcome: "run", Body: body}, send(t, q)); d != "" {
		t.Errorf("a body with the line: (-want +got)\n%s", d)
	}
}
