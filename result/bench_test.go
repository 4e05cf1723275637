package result_test

import (
	"testing"

	"figwheel/result"
)

// BenchmarkName measures what a refusal spends on its name: under overload
// refusals are the most frequent answers.
func BenchmarkName(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if result.Overloaded.Name() == "" {
			b.Fatal("no name")
		}
	}
}
