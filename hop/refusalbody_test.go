package hop_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/platform"
	"figwheel/result"
)

// TestRefusalWithBodyKeepsConnection guards against a new connection for each refusal
// that has a body, and against refusals that wait for a body that does not end.
func TestRefusalWithBodyKeepsConnection(t *testing.T) {
	const requests = 20
	for _, c := range []struct {
		name, headers, body string
		connectionsMax      int64
	}{
		{"no body", "Content-Length: 0\r\n", "", 3},
		{"length", "Content-Length: 4\r\n", "busy", 3},
		{"chunks", "Transfer-Encoding: chunked\r\n", "4\r\nbusy\r\n0\r\n\r\n", 3},
		{"large", "Content-Length: 100000\r\n", strings.Repeat("x", 100_000), requests},
		{"stops in its body", "Content-Length: 10\r\n", "busy", requests},
		{"stops in its chunks", "Transfer-Encoding: chunked\r\n", "4\r\nbusy\r\n", requests},
		{"ends with the connection", "", "busy", requests},
	} {
		var connections atomic.Int64
		a, stop := listen(t, func(k net.Conn) {
			connections.Add(1)
			b := bufio.NewReader(k)
			for {
				q, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(k, "HTTP/1.1 503 Busy\r\nFigwheel-Not-Executed: 1\r\nFigwheel-Attempt-Id: %s\r\n%s\r\n%s", q.Header.Get("Figwheel-Attempt-Id"), c.headers, c.body)
			}
		})
		tr := hop.NewTransport(0, time.Second, time.Minute)
		h := hop.Hop{Transport: tr, Address: a, Headers: platform.Headers(), HoldBack: true}
		for i := range requests {
			if f, _ := sendTo(t, h, http.MethodGet, fmt.Sprint(i), "/", "", false); f.Outcome != contract.NotRun || f.Code != result.WorkerRefused {
				t.Errorf("%s: %+v", c.name, f)
			}
		}
		tr.CloseIdleConnections()
		stop()
		if n := connections.Load(); n > c.connectionsMax {
			t.Errorf("%s: %d connections for %d refusals, want at most %d", c.name, n, requests, c.connectionsMax)
		}
	}
}
