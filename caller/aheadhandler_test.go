package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
)

// dialPipelined returns a connection to a server of the node's handler that serves up to
// depth requests of a connection at the same time, and where its cuts are sent.
func dialPipelined(t *testing.T, n *node, depth int) (net.Conn, <-chan caller.Cut) {
	t.Helper()
	h := n.call.Config.Handler.(*caller.Handler)
	cuts := make(chan caller.Cut, 9)
	s := httptest.NewUnstartedServer(h)
	s.Listener = caller.Listener{
		Listener: s.Listener,
		Cut:      func(c caller.Cut) { cuts <- c },
		Ahead:    caller.Ahead{Handler: h, May: h.MayServeAhead, Depth: depth},
	}
	s.Config.ConnContext = caller.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, cuts
}

// pipelinedHead returns a request with the attempt id a1 and the headers, each of which
// ends with a line break.
func pipelinedHead(path, headers string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\n" + headers + "\r\n"
}

// TestDrainClosesAfterLastAnswerBegunAhead guards against answers that are lost because an
// earlier one closes the connection, against requests that are begun during a drain, and
// against a report of a request that was not begun.
func TestDrainClosesAfterLastAnswerBegunAhead(t *testing.T) {
	var runs atomic.Int64
	begun := make(chan struct{}, 9)
	release := make(chan struct{})
	e := platformMesh(t, platformWorker(t, &runs, func(c net.Conn, _ *http.Request) {
		begun <- struct{}{}
		<-release
		reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", "x")
	}))
	conn, cuts := dialPipelined(t, e, 8)
	_, _ = io.WriteString(conn, pipelinedHead("/twice/a", "")+pipelinedHead("/twice/b", ""))
	<-begun
	<-begun
	e.draining.Store(true)
	_, _ = io.WriteString(conn, pipelinedHead("/twice/c", ""))
	time.Sleep(30 * time.Millisecond)
	close(release)
	b := bufio.NewReader(conn)
	var got []string
	for {
		p, err := http.ReadResponse(b, nil)
		if err != nil {
			break
		}
		d, _ := io.ReadAll(p.Body)
		_ = p.Body.Close()
		got = append(got, fmt.Sprintf("%d %s %v", p.StatusCode, d, p.Close))
	}
	if d := cmp.Diff([]string{"200 x false", "200 x true"}, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
	select {
	case c := <-cuts:
		t.Errorf("a cut was reported: %+v", c)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestAccountsOfPipelinedRequests guards against a request that runs as the account of
// another request of its connection, or with a key that the version at its begin no longer
// has, and against a 401 that closes the connection or is out of order.
func TestAccountsOfPipelinedRequests(t *testing.T) {
	var runs atomic.Int64
	e := accountMesh(t, true, platformWorker(t, &runs, func(c net.Conn, q *http.Request) {
		time.Sleep(10 * time.Millisecond)
		text := strings.Join(q.Header["Figwheel-Tenant-Name"], ",")
		if strings.Contains(fmt.Sprint(q.Header, q.Trailer), "secret") {
			text += " and a key"
		}
		reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", text)
	}), account("one", 0, "secret-1"), account("two", 0, "secret-2"))
	if q, _ := http.NewRequest(http.MethodGet, "http://h.example/closed/x", nil); !e.call.Config.Handler.(*caller.Handler).MayServeAhead(q) {
		t.Fatal("the requests are not served ahead")
	}
	conn, _ := dialPipelined(t, e, 8)
	b := bufio.NewReader(conn)
	send := func(keys ...string) (l []string) {
		var sent strings.Builder
		for _, k := range keys {
			sent.WriteString(pipelinedHead("/closed/x", k))
		}
		_, _ = io.WriteString(conn, sent.String())
		for range keys {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				t.Fatal(err)
			}
			d, _ := io.ReadAll(p.Body)
			_ = p.Body.Close()
			if p.StatusCode == http.StatusOK {
				l = append(l, string(d))
			} else {
				l = append(l, p.Status[:3])
			}
		}
		return l
	}
	one, two := "Figwheel-Key: secret-1\r\n", "Figwheel-Key: secret-2\r\nFigwheel-Tenant-Name: one\r\n"
	if d := cmp.Diff([]string{"one", "401", "two", "401", "401"}, send(one, "", two, one+two, "Figwheel-Tenant-Name: one\r\n")); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
	e.view.Store(accountView(t, 8, e.View().Candidates, account("one", 0, "secret-3"), account("two", 0, "secret-2")))
	if d := cmp.Diff([]string{"401", "two", "401", "one"}, send(one, two, one, "Figwheel-Key: secret-3\r\n")); d != "" {
		t.Errorf("answers after the version (-want +got):\n%s", d)
	}
}

// TestCutOfAnswerServedAheadHasItsCause guards against a report of an answer that broke off
// which does not say why.
func TestCutOfAnswerServedAheadHasItsCause(t *testing.T) {
	var runs atomic.Int64
	e := platformMesh(t, platformWorker(t, &runs, func(c net.Conn, q *http.Request) {
		const headers = "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n"
		if q.URL.Path == "/twice/a" {
			time.Sleep(50 * time.Millisecond)
			reply(c, "200 OK", headers, "x")
			return
		}
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n"+headers+"Content-Length: 100000\r\n\r\n", strings.Repeat("b", 50_000))
		_ = c.Close()
	}))
	conn, cuts := dialPipelined(t, e, 8)
	_, _ = io.WriteString(conn, pipelinedHead("/twice/a", "")+pipelinedHead("/twice/b", ""))
	_, _ = io.Copy(io.Discard, conn)
	select {
	case got := <-cuts:
		if d := cmp.Diff([]string{"7", "Failed", "closed before the answer was complete: FW3007 unexpected EOF"}, []string{got.Version, got.Stage, got.Reason}); d != "" {
			t.Errorf("(-want +got)\n%s", d)
		}
	case <-time.After(5 * time.Second):
		t.Error("no cut was reported")
	}
}
