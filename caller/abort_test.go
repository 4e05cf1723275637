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

	"figwheel/caller"
)

// TestOldCallerGetsNoShortAnswer guards against a short answer that an HTTP/1.0 caller
// takes for a whole one because it ends with its connection.
func TestOldCallerGetsNoShortAnswer(t *testing.T) {
	var runs atomic.Int64
	w := platformWorker(t, &runs, func(c net.Conn, q *http.Request) {
		part := largeBody
		if q.Header.Get("X-Cut") != "" {
			part = part[:40_000]
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(largeBody), part)
		if q.Header.Get("X-Cut") == "" {
			_, _ = io.WriteString(c, "\r\n0\r\n\r\n")
			return
		}
		_ = c.Close()
	})
	e := platformMesh(t, w)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cuts := make(chan caller.Cut, 1)
	s := &http.Server{Handler: e.call.Config.Handler, ConnContext: caller.ConnContext, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(caller.Listener{Listener: l, Cut: func(k caller.Cut) { cuts <- k }}) }()
	t.Cleanup(func() { _ = s.Close() })
	for name, a := range map[string]string{"plain connection": address(e.call), "connection of a daemon": l.Addr().String()} {
		for _, headers := range []string{"", "Connection: keep-alive\r\n"} {
			for _, cut := range []string{"", "X-Cut: 1\r\n"} {
				c, err := net.Dial("tcp", a)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				_, _ = fmt.Fprintf(c, "GET /alone/ HTTP/1.0\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\n%s%s\r\n", headers, cut)
				b, err := io.ReadAll(c)
				_ = c.Close()
				if whole := err == nil && strings.HasSuffix(string(b), "\r\n\r\n"+largeBody); whole != (cut == "") {
					t.Errorf("%s, %q, %q: %d bytes, %v", name, headers, cut, len(b), err)
				}
				if cut != "" && err == nil {
					t.Errorf("%s, %q: %d bytes that end as a whole answer does", name, headers, len(b))
				}
				if cut != "" && a == l.Addr().String() {
					if k := <-cuts; k.Stage != "Failed" {
						t.Errorf("reported as %+v", k)
					}
				}
			}
		}
	}
}
