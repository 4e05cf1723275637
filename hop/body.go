package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptBytesMax bounds the bodies that are read before they are sent on, so
	// that another attempt can send them again, in bytes.
	keptBytesMax = 512 << 10

	// largeBytesMin is the size from which a body is offered to the next daemon
	// before it is sent: on a thin link its bytes cost more than a round trip.
	largeBytesMin = 8 << 10
)

// Body is the body of a request that may be sent by more than one attempt.
type Body struct {
	length  int64
	source  io.Reader // of a body that is kept
	stream  io.Reader // of one that is passed on while it arrives
	control *http.ResponseController
	duplex  bool // whether the answer may begin before stream has been read

	once sync.Once
	kept []byte
	err  error // why kept is not whole

	loaded atomic.Bool
	read   atomic.Bool // whether an attempt took any of it
	ended  atomic.Bool // whether the end of stream was read
}

// NewBody takes the body of r, which w answers, without reading it. One of
// known length that is not too long is kept as a whole when it is first needed.
// Any other one is passed on while it arrives, at the same time as the answer.
func NewBody(w http.ResponseWriter, r *http.Request) *Body {
	b := &Body{length: r.ContentLength, control: http.NewResponseController(w)}
	switch {
	case r.ContentLength == 0:
		b.loaded.Store(true)
	case r.ContentLength > 0 && r.ContentLength <= keptBytesMax:
		b.source = r.Body
	default:
		b.stream = r.Body
	}
	return b
}

// interrupt breaks off a read of the body, and with it the connection.
func (b *Body) interrupt() { _ = b.control.SetReadDeadline(time.Unix(1, 0)) }

// Unfinished tells whether the request has bytes that were not read although
// its answer may begin. Its connection cannot take another request: net/http
// would read the rest after the handler, and take the next request for more.
func (b *Body) Unfinished() bool { return b != nil && b.duplex && !b.ended.Load() }

// Load reads a body that is kept. An error means that the caller did not send
// what it promised before x ended; its connection is of no more use.
func (b *Body) Load(x context.Context) error {
	if b.source == nil {
		return nil
	}
	b.once.Do(func() {
		defer context.AfterFunc(x, b.interrupt)()
		k := make([]byte, b.length)
		if _, b.err = io.ReadFull(b.source, k); b.err == nil {
			b.kept = k
			b.loaded.Store(true)
		}
	})
	return b.err
}

// Kept returns the body if it was read, nil otherwise.
func (b *Body) Kept() []byte {
	if b == nil || !b.loaded.Load() {
		return nil
	}
	return b.kept
}

// Arriving returns the bytes of a large body that is still to be read, 0 for
// any other.
func (b *Body) Arriving() int64 {
	if b.stream != nil || b.loaded.Load() || b.length < largeBytesMin {
		return 0
	}
	return b.length
}

// large tells whether a daemon is asked before the body is sent to it.
func (b *Body) large() bool { return b.length < 0 || b.length >= largeBytesMin }

// Replayable tells whether another attempt can send the whole body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.read.Load() }

// attempt returns the body for one attempt and what has to be called at its
// end. The transport may go on reading a body after it has returned, even
// after the handler has, which net/http does not survive: at the end there
// must be no reader left.
func (b *Body) attempt() (io.ReadCloser, func()) {
	switch {
	case b.stream != nil:
		b.duplex = b.control.EnableFullDuplex() == nil
		r := &streamReader{b: b}
		return r, r.stop
	case b.length > 0:
		return &keptReader{b: b, from: bytes.NewReader(b.Kept())}, func() {}
	}
	return http.NoBody, func() {}
}

// keptReader is a body that needs no closing.
type keptReader struct {
	b    *Body
	from *bytes.Reader
}

// Read implements io.Reader.
func (r *keptReader) Read(p []byte) (int, error) {
	r.b.read.Store(true)
	return r.from.Read(p)
}

// Close implements io.Closer.
func (*keptReader) Close() error { return nil }

// heldBack tells whether a daemon to which the request was sent cannot have run
// it: nothing of its body was handed out, without which none runs it.
func (b *Body) heldBack() bool { return b.stream == nil && b.large() && !b.read.Load() }

type streamReader struct {
	b    *Body
	mu   sync.Mutex // held while reading
	done atomic.Bool
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	r.b.read.Store(true)
	n, err := r.b.stream.Read(p)
	if errors.Is(err, io.EOF) {
		r.b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It leaves the caller's body open: the server
// closes it, and another attempt may still read it.
func (r *streamReader) Close() error {
	r.done.Store(true)
	return nil
}

// stop returns when no reader is left; a read that waits for the caller is
// broken off, and with it the connection.
func (r *streamReader) stop() {
	r.done.Store(true)
	if !r.mu.TryLock() {
		r.b.interrupt()
		r.mu.Lock()
	}
	r.mu.Unlock()
}
