package result_test

import (
	"testing"

	"figwheel/result"
)

// BenchmarkName measures the lookup of a code's name, which each rejection
// does: under overload, rejections are the most frequent answers.
func BenchmarkName(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if result.Overloaded.Name() == "" {
			b.Fatal("no name")
		}
	}
}
