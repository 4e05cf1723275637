package caller_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestLateBodyIsNoTransit guards against requests that are rejected, or sent with less time, because the bodies of earlier answers came late after their heads.
func TestLateBodyIsNoTransit(t *testing.T) {
	const late = 400 * time.Millisecond
	for name, f := range map[string]func(w http.ResponseWriter){
		"without a length": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(late)
		},
		"long": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", strconv.Itoa(100<<10))
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(late)
			_, _ = w.Write(make([]byte, 100<<10))
		},
		"long, after its first byte": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", strconv.Itoa(100<<10))
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(late)
			_, _ = w.Write(make([]byte, 100<<10-1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { f(w) }))
			e, _ := mesh(t, address(w))
			for i := range 4 { // the first uses a new connection
				if g := send(t, request(t, e, http.MethodGet, "/", nil)); g.Status != http.StatusOK || g.Cut {
					t.Errorf("request %d: got %+v", i+1, g)
				}
			}
		})
	}
}
