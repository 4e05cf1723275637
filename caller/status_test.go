package caller_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
)

// TestOddStatusOverBothHops guards against an answer whose status HTTP does not have and that
// passes two daemons to the caller, alone or after an interim one. A request that may run
// twice gets the answer of another worker instead. One that may not is answered 502, which
// does not say that it has not run.
func TestOddStatusOverBothHops(t *testing.T) {
	const rest = " Odd\r\nContent-Length: 3\r\n\r\nodd"
	for _, s := range []string{"000", "0", "00", "0200", "-12", "101", "199", "600", "999"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(s+" "+interim, func(t *testing.T) {
				var odd, whole atomic.Int64
				a := rawWorker(t, &odd, func(c net.Conn) { _, _ = io.WriteString(c, interim+"HTTP/1.1 "+s+rest) })
				b := rawWorker(t, &whole, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
				e, _ := mesh(t, a)
				g := send(t, request(t, e, http.MethodPost, "/once", nil))
				if g.Code == result.WrongAnswer.String() {
					g.Code = result.AnswerLost.String() // either says that the answer is none
				}
				if d := cmp.Diff(received{Status: http.StatusBadGateway, Outcome: "unknown", Code: result.AnswerLost.String()}, g); d != "" {
					t.Errorf("POST (-want +got)\n%s", d)
				}
				if n := odd.Load(); n != 1 {
					t.Errorf("the request was sent to %d workers, want 1", n)
				}
				e, _ = mesh(t, a, b)
				for range 4 {
					g = send(t, request(t, e, http.MethodGet, "/", nil))
					if d := cmp.Diff(http.StatusOK, g.Status); d != "" || g.Body != "ok" {
						t.Errorf("GET got %+v, want the answer of the other worker", g)
					}
				}
			})
		}
	}
}
