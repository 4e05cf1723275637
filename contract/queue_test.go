package contract_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
)

// TestQueueIsReadAsWritten guards against a forwarded request that waits although it must not, or for longer than its sender lets it.
func TestQueueIsReadAsWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, v := range []struct {
		text string
		want contract.Queue
	}{
		{"", contract.Queue{}},
		{"no", contract.Queue{NoWait: true}},
		{"1500", contract.Queue{WaitEnd: now.Add(1500 * time.Millisecond)}},
		{"no 1500", contract.Queue{NoWait: true, WaitEnd: now.Add(1500 * time.Millisecond)}},
	} {
		got := contract.ParseQueue(now, v.text)
		if d := cmp.Diff(v.want, got); d != "" {
			t.Errorf("%q (-want +got)\n%s", v.text, d)
		}
		if s := got.String(now); s != v.text {
			t.Errorf("got %q, want %q", s, v.text)
		}
	}
	for _, s := range []string{"x", "-1", "no -1", "99999999999999999999", " 5"} {
		if q := contract.ParseQueue(now, s); !q.WaitEnd.IsZero() {
			t.Errorf("%q: got %+v, want no time", s, q)
		}
	}
	past := contract.Queue{WaitEnd: now.Add(-time.Second)}
	if s := past.String(now); s != "0" {
		t.Errorf("got %q, want 0", s)
	}
}
