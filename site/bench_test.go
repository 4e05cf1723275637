package site_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"figwheel/site"
)

// largeBundle returns a bundle with that many sites and services and two routes
// for each service. The benchmarks use the numbers that the system is designed for.
func largeBundle(sites, services int) site.Bundle {
	var b strings.Builder
	b.WriteString("Organisation: test\nSites: [")
	for i := range sites {
		_, _ = fmt.Fprintf(&b, "site-%d, ", i)
	}
	b.WriteString("]\nServices:\n")
	for i := range services {
		_, _ = fmt.Fprintf(&b, "  s-%d:\n    Deadline: 1s\n    Slots: 9\n    Connections: 120\n", i)
	}
	b.WriteString("Routes:\n")
	for i := range services {
		_, _ = fmt.Fprintf(&b, "  r-%d:\n    Host: h-%d.example\n    PathPrefix: /\n    Service: s-%d\n  p-%d:\n    Host: h-%d.example\n    PathPrefix: /pay\n    Methods: [POST]\n    Service: s-%d\n", i, i, i, i, i, i)
	}
	return site.Bundle{Base: site.File{Name: "base.yaml", Text: b.String()}}
}

func BenchmarkCheck(b *testing.B) {
	w := largeBundle(7, 140)
	for b.Loop() {
		if _, p := site.Check(w, time.Time{}); len(p) > 0 {
			b.Fatal(p[0])
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	f, _ := site.Check(largeBundle(7, 140), time.Time{})
	s, err := f.Snapshot("site-0", 1, "")
	if err != nil {
		b.Fatal(err)
	}
	r := httptest.NewRequest("POST", "http://h-77.example:80/pay/card", nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Match(r); !ok {
			b.Fatal("no route")
		}
	}
}
