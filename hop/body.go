package hop

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// bufferBytesMax bounds the bodies that are kept so that another attempt can
// send them again, in bytes.
const bufferBytesMax = 64 << 10

// Body is the body of a request that may be sent by more than one attempt.
type Body struct {
	kept      []byte
	stream    io.ReadCloser
	length    int64
	read      atomic.Bool
	interrupt func()
}

// NewBody takes the body of r, which w answers. A small one of known length is
// read at once; an error means that the caller did not send what it promised.
// A larger one is passed on while it arrives, at the same time as the answer.
func NewBody(w http.ResponseWriter, r *http.Request) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	if r.ContentLength > 0 && r.ContentLength <= bufferBytesMax {
		b := &Body{kept: make([]byte, r.ContentLength), length: r.ContentLength}
		_, err := io.ReadFull(r.Body, b.kept)
		return b, err
	}
	c := http.NewResponseController(w)
	_ = c.EnableFullDuplex() // HTTP/2 always is
	return &Body{
		stream:    r.Body,
		length:    r.ContentLength,
		interrupt: func() { _ = c.SetReadDeadline(time.Unix(1, 0)) },
	}, nil
}

// Kept returns the body if it was small enough to be kept, nil otherwise.
func (b *Body) Kept() []byte {
	if b == nil {
		return nil
	}
	return b.kept
}

// Replayable tells whether another attempt can send the whole body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.read.Load() }

// attempt returns the body for one attempt and what has to be called at its
// end. The transport may go on reading a body after it has returned, even
// after the handler has, which net/http does not survive: at the end there
// must be no reader left.
func (b *Body) attempt() (io.ReadCloser, func()) {
	switch {
	case b.stream != nil:
		r := &streamReader{b: b}
		return r, r.stop
	case b.length > 0:
		return keptReader{bytes.NewReader(b.kept)}, func() {}
	}
	return http.NoBody, func() {}
}

// keptReader is a body that needs no closing.
type keptReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (keptReader) Close() error { return nil }

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
	return r.b.stream.Read(p)
}

// Close implements io.Closer. It leaves the caller's body open: the server
// closes it, and another attempt may still read it.
func (r *streamReader) Close() error {
	r.done.Store(true)
	return nil
}

// stop returns when nobody reads any more; a read that waits for the caller is
// broken off, and with it the connection.
func (r *streamReader) stop() {
	r.done.Store(true)
	if !r.mu.TryLock() {
		r.b.interrupt()
		r.mu.Lock()
	}
	r.mu.Unlock()
}
