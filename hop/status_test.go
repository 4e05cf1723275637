package hop_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/platform"
	"figwheel/result"
)

// TestOddStatusIsNoAnswer guards against an answer of a worker in trouble that bears its
// proof and a status that HTTP does not have. It must not pass as an answer, and must not be
// taken as proof that the request was not run.
func TestOddStatusIsNoAnswer(t *testing.T) {
	const rest = "\r\nFigwheel-Attempt-Id: 1\r\nFigwheel-Server-Seal: 3e1b\r\nContent-Length: 2\r\n"
	for _, s := range []string{"000", "0", "00", "0200", "20", "-12", "099", "199", "600", "999", "2 0", "+200", "+20", "-00"} {
		for _, more := range []string{"", "Figwheel-Not-Executed: 1\r\n"} {
			t.Run(s+" "+more, func(t *testing.T) {
				tr := hop.NewTransport(0, time.Second, time.Second)
				defer tr.CloseIdleConnections()
				h := hop.Hop{Transport: tr, Address: serveEndless(t, "HTTP/1.1 "+s+" Odd"+rest+more+"\r\nok", "x"), Headers: platform.Headers()}
				r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil).WithContext(t.Context())
				r.Header.Set("Figwheel-Attempt-Id", "1")
				w := httptest.NewRecorder()
				f := h.Do(r.Context(), w, r, hop.NewBody(w, r))
				if f.Begun || f.Code != result.WrongAnswer && f.Code != result.AnswerLost || f.Outcome != contract.Unknown {
					t.Errorf("got %+v, want no answer and an unknown outcome", f)
				}
			})
		}
	}
}
