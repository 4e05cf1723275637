package site

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// firstMatch returns the name of the route that Match has to find, by a linear
// search through all routes.
func firstMatch(l []Route, host, path string) string {
	var b *Route
	for i := range l {
		r := &l[i]
		if r.Host != "" && r.Host != host || !underPrefix(path, r.PathPrefix) {
			continue
		}
		if b == nil || r.comparePriority(*b) < 0 {
			b = r
		}
	}
	if b == nil {
		return ""
	}
	return b.Name
}

// TestMatchRandom guards against an error in the look-up by prefix. It compares
// Match with a linear search, for random tables and paths. Their segments come
// from a few names, so that many paths share prefixes.
func TestMatchRandom(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	path := func(end string) string {
		var s strings.Builder
		for range r.IntN(4) {
			s.WriteString("/" + []string{"a", "ab", "b"}[r.IntN(3)])
		}
		return s.String() + end
	}
	ends := []string{"", "/"}
	for range 300 {
		var l []Route
		seen := make(map[string]bool)
		for i := range 12 {
			n := Route{Name: fmt.Sprint("r-", i), Host: []string{"", "h.example"}[r.IntN(2)], PathPrefix: path(ends[r.IntN(2)])}
			if n.PathPrefix == "" {
				n.PathPrefix = "/"
			}
			if k := n.Host + n.PathPrefix; !seen[k] {
				seen[k] = true
				l = append(l, n)
			}
		}
		s := newSnapshot(nil, l)
		for range 20 {
			p := path(ends[r.IntN(2)])
			if p == "" {
				p = "/"
			}
			q := httptest.NewRequest("GET", "http://h.example"+p, nil)
			got := ""
			if m, ok := s.Match(q); ok {
				got = m.Name
			}
			if want := firstMatch(l, "h.example", p); got != want {
				t.Fatalf("%s: %q, want %q of %v", p, got, want, l)
			}
		}
	}
}

// BenchmarkMatchMany measures a match among 1700 routes of one host.
func BenchmarkMatchMany(b *testing.B) {
	t := Table{Number: 1, Services: []Service{{Name: "s"}}}
	for i := range 1700 {
		t.Routes = append(t.Routes, Route{Name: fmt.Sprint("r-", i), Host: "h.example", PathPrefix: fmt.Sprintf("/a%d/b%d/", i, i), Targets: []Split{{"s", 1}}, Timeout: time.Second})
	}
	s, err := t.Snapshot("x", 1, "")
	if err != nil {
		b.Fatal(err)
	}
	r := httptest.NewRequest("GET", "http://h.example/a850/b850/c", nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Match(r); !ok {
			b.Fatal("no route")
		}
	}
}
