package upstream_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/hop"
	"figwheel/hop/hoptest"
	"figwheel/platform"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream"
)

// TestFaultyAnswerIsReported guards against a worker whose answers are broken and of which the
// daemon beside it, the only one that knows why, says nothing.
func TestFaultyAnswerIsReported(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n"
	for name, c := range map[string]struct {
		answer string
		want   []result.Code
	}{
		"whole":        {ok + "Content-Length: 2\r\n\r\nok", nil},
		"failure":      {"HTTP/1.1 500 Failed\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", nil},
		"refusal":      {"HTTP/1.1 503 Busy\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", nil},
		"odd status":   {"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", []result.Code{result.WrongAnswer}},
		"odd name":     {ok + "Content-Length : 2\r\n\r\nok", []result.Code{result.WrongAnswer}},
		"cut":          {ok + "Content-Length: 3\r\n\r\nok", []result.Code{result.AnswerLost}},
		"no answer":    {"", []result.Code{result.AnswerLost}},
		"cut, too far": {ok + "Content-Length: 100000\r\n\r\nok", []result.Code{result.AnswerCut}},
	} {
		var got []result.Code
		k := &upstream.Worker{Headers: platform.Headers(), HoldBack: true, Faulty: func(a upstream.FaultyAnswer) {
			if a.RequestID != "a1" || a.Text == "" {
				t.Errorf("%s: reported %+v, want the id a1 and a text", name, a)
			}
			got = append(got, a.Code)
		}}
		a := hoptest.Serve(t, func(n *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(n, c.answer) })
		now := time.Now()
		k.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 2, ID: "i-0"}, &site.Service{Name: "s", Connections: 2}, now)
		r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil).WithContext(t.Context())
		r.Header.Set("Figwheel-Attempt-Id", "a1")
		w := httptest.NewRecorder()
		q := upstream.AdmissionRequest{Kind: "r", Deadline: now.Add(time.Minute), Arrived: now}
		k.Serve(t.Context(), w, r, now, upstream.Request{AdmissionRequest: q, Service: "s", Body: hop.NewBody(w, r), Now: time.Now})
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%s: (-want +got)\n%s", name, d)
		}
	}
}
