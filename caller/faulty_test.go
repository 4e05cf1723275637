package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFaultyAnswersToPipelinedAndHTTP2Callers guards against a faulty answer that reaches a
// caller whose requests share a connection, or that takes the place of the sound answers before
// and behind it: as a later one of a pipeline, which is kept until its turn, or as a stream.
func TestFaultyAnswersToPipelinedAndHTTP2Callers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + sealedHeaders
	const whole = ok + "Content-Length: 5\r\n\r\nwhole"
	for name, faulty := range map[string]string{
		"status 000":                   "HTTP/1.1 000 None\r\n" + sealedHeaders + "Content-Length: 4\r\n\r\nbody",
		"status 000 behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None\r\n" + sealedHeaders + "Content-Length: 0\r\n\r\n",
		"blank in a name":              ok + "Content-Length : 4\r\n\r\nbody",
		"control byte in a name":       ok + "X\x01: y\r\nContent-Length: 4\r\n\r\nbody",
		"blank in an interim name":     "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + whole,
		"blank in a trailer's name":    ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: z\r\n\r\n",
		"cut head":                     ok + "X",
		"cut body":                     ok + "Content-Length: 5\r\n\r\nbody",
		"cut chunks":                   ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"no answer":                    "",
		"other bytes":                  "garbage\r\n\r\n",
		"HTTP/1.0 in chunks":           "HTTP/1.0 200 OK\r\n" + sealedHeaders + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for _, local := range []bool{true, false} {
			worker := listen(t, func(c net.Conn) {
				b := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					if q.URL.Path == "/alone/faulty" {
						_, _ = io.WriteString(c, faulty)
						return
					}
					_, _ = io.WriteString(c, whole)
				}
			})
			e := endlessMesh(t, worker, local)
			paths := []string{"/alone/a", "/alone/faulty", "/alone/b", "/alone/faulty", "/alone/c"}
			want := []string{"200 whole", "502", "200 whole", "502", "200 whole"}
			conn, _ := dialPipelined(t, e, len(paths))
			var heads strings.Builder
			for _, p := range paths {
				heads.WriteString(pipelinedHead(p, ""))
			}
			_, _ = io.WriteString(conn, heads.String())
			b := bufio.NewReader(conn)
			var got []string
			for range paths {
				p, err := http.ReadResponse(b, nil)
				if err != nil {
					t.Fatalf("%s, pipelined, own worker %t: %v after %v", name, local, err, got)
				}
				got = append(got, readOutcome(p))
				_ = p.Body.Close()
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("%s, pipelined, own worker %t: (-want +got)\n%s", name, local, d)
			}
			p := new(http.Protocols)
			p.SetUnencryptedHTTP2(true)
			tr := &http.Transport{Protocols: p}
			got = nil
			for _, path := range paths {
				q := request(t, e, http.MethodGet, path, nil)
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				p, err := tr.RoundTrip(q)
				if err != nil {
					t.Fatalf("%s, HTTP/2, own worker %t: %v after %v", name, local, err, got)
				}
				got = append(got, readOutcome(p))
				_ = p.Body.Close()
			}
			tr.CloseIdleConnections()
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("%s, HTTP/2, own worker %t: (-want +got)\n%s", name, local, d)
			}
		}
	}
}

// readOutcome reads the answer p and returns its status and, if that is 200, its body.
func readOutcome(p *http.Response) string {
	b, err := io.ReadAll(p.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("%d cut", p.StatusCode)
	case p.StatusCode != http.StatusOK:
		return fmt.Sprint(p.StatusCode)
	}
	return "200 " + string(b)
}
