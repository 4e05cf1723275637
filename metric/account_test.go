package metric

import (
	"fmt"
	"net/http/httptest"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAccountNamesAreBounded guards against a time series for each of ten thousand client
// accounts at each daemon, and against requests that are lost from the counts.
func TestAccountNamesAreBounded(t *testing.T) {
	const accounts = accountNamesMax + 20
	s, err := New(Gauges{
		Version: zero, ControlIn: zero, ControlOut: zero, InFlight: zero, PlatformCall: zero, Sent: zero, Cuts: zero,
		RateLimit: func() float64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range accounts {
		for range 3 {
			s.RecordAccount(fmt.Sprintf("a%d", i), true)
		}
		s.RecordAccount(fmt.Sprintf("a%d", i), false)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got := make(map[string]string)
	for _, m := range regexp.MustCompile(`(?m)^figwheel_account_requests_total\{account="([^"]*)",outcome="([^"]*)"\} (\d+)$`).FindAllStringSubmatch(w.Body.String(), -1) {
		got[m[1]+" "+m[2]] = m[3]
	}
	want := map[string]string{"other admitted": "60", "other over-quota": "20"}
	for i := range accountNamesMax {
		want[fmt.Sprintf("a%d admitted", i)] = "3"
		want[fmt.Sprintf("a%d over-quota", i)] = "1"
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// zero is the value of a gauge without meaning here.
func zero() int64 { return 0 }
