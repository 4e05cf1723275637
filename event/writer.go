package event

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// queueBytesMax bounds the lines that wait to be written, in bytes.
const queueBytesMax = 256 << 10

// Writer hands lines to another writer without ever waiting for it. Lines that
// come faster than they can be written are dropped, counted, and the number of
// them is written in their place.
type Writer struct {
	mu      sync.Mutex
	queue   []byte
	dropped uint64
	wake    chan struct{}
}

// NewWriter returns a writer without a destination; Run gives it one.
func NewWriter() *Writer { return &Writer{wake: make(chan struct{}, 1)} }

// Write implements io.Writer. It takes the line or drops it.
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

// Run writes to o until x ends, and then what is left.
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

// flush writes what is queued. b is the buffer that it swaps with the queue.
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
