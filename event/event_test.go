package event_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/event"
)

// TestCatalogueIsDocumented guards against a catalogue that differs from the
// table in docs/EVENTS.md.
func TestCatalogueIsDocumented(t *testing.T) {
	d, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want strings.Builder
	for l := range strings.Lines(string(d)) {
		if strings.HasPrefix(l, "| FE") {
			got.WriteString(l)
		}
	}
	for _, e := range event.Catalogue() {
		_, _ = fmt.Fprintf(&want, "| FE%03d | %s | %s | %s |\n", e.ID, e.Name, e.Level, e.Meaning)
	}
	if d := cmp.Diff(want.String(), got.String()); d != "" {
		t.Errorf("docs/EVENTS.md differs (-code +docs)\n%s", d)
	}
}

func TestLogNumbersEvents(t *testing.T) {
	var b bytes.Buffer
	l := slog.New(slog.NewTextHandler(&b, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}))
	event.Log(context.Background(), l, event.Refused, slog.String("ChangeID", "c1"))
	if d := cmp.Diff("level=WARN msg=Refused Event=FE203 ChangeID=c1\n", b.String()); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
