package contract_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
	"figwheel/result"
)

// TestNotice guards against header values that are taken for a rate limit of 0, an
// infinite one, or the end of a limit.
func TestNotice(t *testing.T) {
	type notice struct {
		Limit   float64
		Limited bool
		Leaving bool
		Code    result.Code
	}
	cases := []struct {
		limit, leaving string
		want           notice
	}{
		{"", "", notice{}},
		{"14.4", "1", notice{Limit: 14.4, Limited: true, Leaving: true}},
		{"0", "0", notice{Limited: true}},
		{"-1", "", notice{Code: result.BadNotice}},
		{"NaN", "", notice{Code: result.BadNotice}},
		{"Inf", "", notice{Code: result.BadNotice}},
		{"1e400", "", notice{Code: result.BadNotice}},
		{"two", "yes", notice{Leaving: true, Code: result.BadNotice}},
	}
	for _, c := range cases {
		a := http.Header{}
		a.Set(contract.RateLimitHeader, c.limit)
		a.Set(contract.LeavingHeader, c.leaving)
		n := contract.OwnHeaders().Notice(a)
		var got notice
		var err error
		got.Limit, got.Limited, err = n.RequestsPerSecond()
		got.Leaving, got.Code = n.IsLeaving(), result.CodeOf(err)
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("%q, %q (-want +got)\n%s", c.limit, c.leaving, d)
		}
	}
}
