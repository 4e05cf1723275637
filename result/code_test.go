package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
)

// TestTableIsDocumented guards against codes out of order and against a table
// that differs from the one in docs/CODES.md.
func TestTableIsDocumented(t *testing.T) {
	var b strings.Builder
	last := result.Code(0)
	for _, e := range result.Table() {
		if e.Code <= last {
			t.Errorf("code %s after %s, want ascending codes", e.Code, last)
		}
		last = e.Code
		_, _ = fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Code, e.Name, e.Meaning)
	}
	if d := cmp.Diff(b.String(), rows(t, "../docs/CODES.md", "| FW")); d != "" {
		t.Errorf("docs/CODES.md differs (-code +docs)\n%s", d)
	}
}

// rows returns the lines of the file that start with prefix.
func rows(t *testing.T, path, prefix string) string {
	t.Helper()
	d, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for l := range strings.Lines(string(d)) {
		if strings.HasPrefix(l, prefix) {
			b.WriteString(l)
		}
	}
	return b.String()
}
