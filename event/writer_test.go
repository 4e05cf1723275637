package event_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"figwheel/event"
)

// slow is a destination that takes a line only when it is told to.
type slow struct {
	started chan struct{}
	next    chan struct{}
	text    strings.Builder
}

func (s *slow) Write(b []byte) (int, error) {
	s.started <- struct{}{}
	<-s.next
	return s.text.Write(b)
}

// TestWriterNeverWaits writes more than may wait while the destination is
// stuck: what fits is written, what does not is counted.
func TestWriterNeverWaits(t *testing.T) {
	w := event.NewWriter()
	s := &slow{started: make(chan struct{}, 10), next: make(chan struct{}, 10)}
	x, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(x, s) }()
	_, _ = fmt.Fprintln(w, "first")
	<-s.started // and stuck
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
		t.Errorf("%d lines of %d, and at the end %q", n, lines, got[len(got)-120:])
	}
}
