package event

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// queueBytesMax limits the queue of lines that are not yet written.
const queueBytesMax = 256 << 10

// Writer queues log lines and writes them to another writer in the background,
// so that Write never blocks. Lines that do not fit in the queue are dropped; a
// LinesDropped event with their number is written after the queued lines.
type Writer struct {
	mu      sync.Mutex
	queue   []byte
	dropped uint64        // lines dropped since the last flush
	wake    chan struct{} // has an element when there may be something to flush
}

// NewWriter returns a writer whose queue is written when Run is called.
func NewWriter() *Writer { return &Writer{wake: make(chan struct{}, 1)} }

// Write implements io.Writer. It queues one line, or drops it if the queue is
// full; it never returns an error.
func (w *Writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	if len(w.queue)+len(b) > queueBytesMax {
		w.dropped++
	} else {
		w.queue = append(w.queue, b...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Run writes the queued lines to o until x ends, then writes the remaining
// lines and returns. It returns the first error of o.
func (w *Writer) Run(x context.Context, o io.Writer) error {
	var b []byte
	for {
		select {
		case <-x.Done():
			return w.flush(o, &b)
		case <-w.wake:
		}
		if err := w.flush(o, &b); err != nil {
			return err
		}
	}
}

// flush writes the queued lines to o. It swaps the queue with the buffer b, so
// that both are reused.
func (w *Writer) flush(o io.Writer, b *[]byte) error {
	w.mu.Lock()
	l, n := w.queue, w.dropped
	w.queue, w.dropped = (*b)[:0], 0
	w.mu.Unlock()
	*b = l
	if n > 0 {
		l = fmt.Appendf(l, "{\"level\":\"WARN\",\"msg\":\"LinesDropped\",\"Event\":\"FE%03d\",\"Lines\":%d}\n", int(LinesDropped), n)
	}
	if len(l) == 0 {
		return nil
	}
	_, err := o.Write(l)
	return err
}
