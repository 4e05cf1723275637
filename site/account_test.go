package site_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
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

// TestAccountsOfFiles guards against a site whose accounts are not those of the base with
// its overlay, and against a merged configuration that shows whole hashes.
func TestAccountsOfFiles(t *testing.T) {
	const h1, h2 = "6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0", "015f7e6bc5aeaf483724089e9252cc13b50951a6b69412522765cff4d780306e"
	b := site.Bundle{
		Base: site.File{Name: "base.yaml", Text: "Organisation: o\nSites: [a, b]\nServices:\n  s: {Deadline: 1s, Slots: 1, Connections: 1}\n" +
			"Routes:\n  r: {Service: s}\nAccounts:\n  one: {KeyHashes: [" + h1 + "], Rank: 2, Rate: 2.5, Burst: 5}\n  two: {KeyHashes: [" + h2 + "]}\n"},
		Overlays: []site.File{{Name: "b.yaml", Text: "Site: b\nRoutes:\n  r: {Public: true}\nAccounts:\n  one: {Rate: 9}\nRemove: {Accounts: [two]}\n"}},
	}
	c, p := site.Check(b, monday)
	if len(p) > 0 {
		t.Fatal(p)
	}
	type observed struct {
		Accounts map[string]string // by key
		Rates    []float64
		Public   bool
		Lines    string
	}
	got := make(map[string]observed)
	for _, n := range c.Sites() {
		s, err := c.Snapshot(n, 1, "")
		if err != nil {
			t.Fatal(err)
		}
		o := observed{Accounts: make(map[string]string)}
		for _, k := range []string{"k1", "k2", "k3"} {
			if a, ok := s.AccountOf(k); ok {
				o.Accounts[k] = a.Name
			}
		}
		for _, a := range s.Accounts() {
			o.Rates = append(o.Rates, a.Rate)
		}
		r, _ := s.Match(httptest.NewRequest("GET", "http://h.example/", nil))
		o.Public = r.Public
		for _, l := range c.Lines(n) {
			if strings.HasPrefix(l.Key, "Accounts.one.") {
				o.Lines += l.Key + " " + l.Value + "\n"
			}
		}
		got[n] = o
	}
	const lines = "Accounts.one.KeyHashes [6ab9f1eb]\nAccounts.one.Rank 2\nAccounts.one.Rate %s\nAccounts.one.Burst 5\n"
	want := map[string]observed{
		"a": {Accounts: map[string]string{"k1": "one", "k2": "two"}, Rates: []float64{2.5, 0}, Lines: fmt.Sprintf(lines, "2.5")},
		"b": {Accounts: map[string]string{"k1": "one"}, Rates: []float64{9}, Public: true, Lines: fmt.Sprintf(lines, "9")},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
