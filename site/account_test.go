package site_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/site"
)

// TestAccountOf guards against a key that opens the account of another customer, or any
// account at all although no customer holds it.
func TestAccountOf(t *testing.T) {
	c := site.Table{Number: 1, Accounts: []site.Account{
		{Name: "a", Keys: []site.KeyHash{site.HashKey("k1"), site.HashKey("k2")}},
		{Name: "b", Keys: []site.KeyHash{site.HashKey("k3"), site.HashKey("shared")}},
		{Name: "c", Keys: []site.KeyHash{site.HashKey("shared")}},
	}}
	c, _ = c.CloseFaulty()
	s, err := c.Snapshot("x", 1, "hash")
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, k := range []string{"k1", "k2", "k3", "shared", "K1", "k", "k1 ", ""} {
		if a, ok := s.AccountOf(k); ok {
			got[k] = a.Name
		}
	}
	if d := cmp.Diff(map[string]string{"k1": "a", "k2": "a", "k3": "b"}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	var none *site.Snapshot
	if _, ok := none.AccountOf("k1"); ok || none.HasAccounts() || !s.HasAccounts() {
		t.Errorf("a nil snapshot has accounts, or %v has none", s.Accounts())
	}
}

// BenchmarkAccountOf measures what each request of a customer pays for its key.
func BenchmarkAccountOf(b *testing.B) {
	s, _ := site.Table{Accounts: []site.Account{{Name: "a", Keys: []site.KeyHash{site.HashKey("0123456789abcdef")}}}}.Snapshot("x", 1, "")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.AccountOf("0123456789abcdef"); !ok {
			b.Fatal("no account")
		}
	}
}
