package link_test

import (
	"testing"

	"figwheel/link"
)

// FuzzParseLoad checks that no header of a peer is parsed as a negative load,
// which would attract all requests to that peer.
func FuzzParseLoad(f *testing.F) {
	f.Add("7 1000 2000")
	f.Add("0 9223372036854775807 9223372036854775807")
	f.Add("-1 -1 -1")
	f.Add("1 2 3 4500 6")
	f.Add("1 2 3 4500 6 7")
	f.Add("1 2 3 0 0 -7")
	f.Add("1 2 3 9223372036854775807 -6")
	f.Fuzz(func(t *testing.T, s string) {
		l, ok := link.ParseLoad(s)
		if !ok {
			return
		}
		if l.InFlight < 0 || l.Hold < 0 || l.Work < 0 || l.RateLimit < 0 || l.Wait < 0 || l.Took < 0 {
			t.Fatalf("%q became %+v", s, l)
		}
		if again, _ := link.ParseLoad(l.String()); again != l {
			t.Fatalf("%+v became %+v", l, again)
		}
	})
}
