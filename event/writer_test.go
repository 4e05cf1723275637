package event_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"figwheel/event"
)

// blockingWriter is a destination whose writes block until next has an element.
type blockingWriter struct {
	started chan struct{}
	next    chan struct{}
	text    strings.Builder
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.started <- struct{}{}
	<-b.next
	return b.text.Write(p)
}

// TestWriterDropsLinesWhenDestinationBlocks guards against logging that blocks
// the daemon while the destination blocks. The lines that fit in the queue must
// be written, and the number of the others must be reported.
func TestWriterDropsLinesWhenDestinationBlocks(t *testing.T) {
	w := event.NewWriter()
	s := &blockingWriter{started: make(chan struct{}, 10), next: make(chan struct{}, 10)}
	x, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(x, s) }()
	_, _ = fmt.Fprintln(w, "first")
	<-s.started // the first write blocks
	line := strings.Repeat("x", 1023) + "\n"
	const lines = 300
	for range lines {
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	s.next <- struct{}{}
	<-s.started
	s.next <- struct{}{}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	got := s.text.String()
	if n := strings.Count(got, line); n != 256 || !strings.HasPrefix(got, "first\n") || !strings.Contains(got, `"Event":"FE106","Lines":44`) {
		t.Errorf("%d of %d lines written, ending in %q", n, lines, got[len(got)-120:])
	}
}
