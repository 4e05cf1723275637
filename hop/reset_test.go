package hop_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/hop/hoptest"
	"figwheel/platform"
)

const (
	// earlyAnswers is the number of uploads in a test of a race.
	earlyAnswers = 300
	// framedAnswers is the same for answers that do not end with their connection.
	// net/http waits some 50 ms for the rest of each upload.
	framedAnswers = 10
)

// serveEarly starts a worker that answers a request with head and body before it has read
// the request body, and then ends the connection with end.
func serveEarly(t *testing.T, head, body string, end func(c *net.TCPConn)) string {
	t.Helper()
	return hoptest.Serve(t, func(c *net.TCPConn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\n%s\r\n%s", q.Header.Get("Figwheel-Attempt-Id"), head, body)
		end(c)
	})
}

// uploadEndless sends an upload that does not end before its answer.
func uploadEndless(t *testing.T, h hop.Hop, id string, length int64) (hop.Result, *httptest.ResponseRecorder) {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "http://h.example/", io.LimitReader(zeros{}, 1<<30)).WithContext(t.Context())
	r.ContentLength = length
	r.Header.Set("Figwheel-Attempt-Id", id)
	w := httptest.NewRecorder()
	return h.Do(r.Context(), w, r, hop.NewBody(w, r)), w
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// TestResetDuringUploadIsNoEnd guards against an answer without a length whose connection
// is reset while the request is still being written, and that passes for complete. The
// kernel reports a reset once, to a read or to a write: if a write consumes it, the next
// read returns the end of the stream.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		length   int64
		holdBack bool
		body     string
	}{
		{"chunked upload, buffered answer", -1, true, "part"},
		{"upload with a length, buffered answer", 1 << 30, true, "part"},
		{"chunked upload, streamed answer", -1, false, "part"},
		{"chunked upload, streamed large answer", -1, true, strings.Repeat("part", 16<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := hop.NewTransport(0, time.Second, time.Second)
			defer tr.CloseIdleConnections()
			h := hop.Hop{Transport: tr, Address: serveEarly(t, "", c.body, hoptest.ResetEarly), Headers: platform.Headers(), HoldBack: c.holdBack}
			whole := 0
			for i := range earlyAnswers {
				f, _ := uploadEndless(t, h, fmt.Sprint(i), c.length)
				if f.OK() {
					whole++
				} else if f.Outcome == contract.NotRun {
					t.Errorf("request %d: %+v, want an unknown outcome", i, f)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d cut answers passed for complete, want 0", whole, earlyAnswers)
			}
		})
	}
}

// TestEarlyAnswerPassesDuringUpload guards against a sound answer that is taken for a cut
// one because the request is still being written when it ends.
func TestEarlyAnswerPassesDuringUpload(t *testing.T) {
	for _, c := range []struct{ name, head, body, want string }{
		{"to the end", "", "whole", "whole"},
		{"to the end, closes", "Connection: close\r\n", "whole", "whole"},
		{"no bytes to the end", "", "", ""},
		{"chunks", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", "whole"},
		{"length", "Content-Length: 5\r\n", "whole", "whole"},
	} {
		for _, length := range []int64{-1, 1 << 30} {
			t.Run(fmt.Sprint(c.name, " ", length), func(t *testing.T) {
				tr := hop.NewTransport(0, time.Second, time.Second)
				defer tr.CloseIdleConnections()
				h := hop.Hop{Transport: tr, Address: serveEarly(t, c.head, c.body, hoptest.CloseEarly), Headers: platform.Headers(), HoldBack: true}
				failed := 0
				var last hop.Result
				n := earlyAnswers
				if strings.Contains(c.head, "Length") || strings.Contains(c.head, "chunked") {
					n = framedAnswers
				}
				for i := range n {
					if f, w := uploadEndless(t, h, fmt.Sprint(i), length); !f.OK() || w.Body.String() != c.want {
						failed, last = failed+1, f
					}
				}
				if failed > 0 {
					t.Errorf("%d of %d whole answers failed, want 0; the last with %+v", failed, n, last)
				}
			})
		}
	}
}
