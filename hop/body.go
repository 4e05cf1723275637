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
	// bufferedBytesMax bounds the size of the bodies, in bytes, that are read whole
	// before they are sent, so that another attempt can send them again.
	bufferedBytesMax = 512 << 10

	// largeBytesMin is the size, in bytes, from which a body is sent to another
	// daemon only once that has agreed to take it: on a slow link its bytes cost
	// more than a round trip.
	largeBytesMin = 8 << 10
)

// Body is the body of a request that more than one attempt may send. It is either
// buffered or streamed.
type Body struct {
	length  int64
	source  io.Reader // of a buffered body
	stream  io.Reader // of a streamed body
	control *http.ResponseController
	duplex  bool // whether the response may begin before stream has been read

	once   sync.Once // for reading source
	buffer []byte
	err    error // of reading source into buffer

	buffered    atomic.Bool // whether the body is in buffer, or empty
	consumed    atomic.Bool // whether an attempt has read from the body
	streamEnded atomic.Bool // whether stream has been read to its end
	interrupted atomic.Bool // whether the caller's connection takes no further request, see interrupt
}

// NewBody returns the body of r, whose response goes to w, without reading it. A
// body of known length up to bufferedBytesMax is buffered by Load. Any other is
// streamed while it arrives, concurrently with the response.
func NewBody(w http.ResponseWriter, r *http.Request) *Body {
	b := &Body{length: r.ContentLength, control: http.NewResponseController(w)}
	switch {
	case r.ContentLength == 0:
		b.buffered.Store(true)
	case r.ContentLength > 0 && r.ContentLength <= bufferedBytesMax:
		b.source = r.Body
	default:
		b.stream = r.Body
	}
	return b
}

// interrupt aborts a read of the body, and with it the caller's connection: net/http
// may take the timeout for the end of the connection even if the read succeeds.
func (b *Body) interrupt() {
	b.interrupted.Store(true)
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// Unfinished reports whether the connection cannot take another request, because
// part of the body is unread although the response may begin, or a read of it was
// interrupted. net/http would read the rest after the handler returns, and take the
// next request for more of the body.
func (b *Body) Unfinished() bool {
	return b != nil && (b.interrupted.Load() || b.duplex && !b.streamEnded.Load())
}

// IsLoaded reports whether Load has nothing to read.
func (b *Body) IsLoaded() bool { return b.source == nil || b.buffered.Load() }

// Load reads a body that is to be buffered. An error means that the caller did not
// send the whole body before x ended; its connection cannot be used any further.
func (b *Body) Load(x context.Context) error {
	if b.source == nil {
		return nil
	}
	b.once.Do(func() {
		interrupted := make(chan struct{})
		stop := context.AfterFunc(x, func() {
			defer close(interrupted)
			b.interrupt()
		})
		defer func() {
			if !stop() {
				<-interrupted // a deadline set later would end the next request on the connection
			}
		}()
		k := make([]byte, b.length)
		if _, b.err = io.ReadFull(b.source, k); b.err == nil {
			b.buffer = k
			b.buffered.Store(true)
		}
	})
	return b.err
}

// Buffered returns the buffered body, or nil if it was not read or is streamed.
func (b *Body) Buffered() []byte {
	if b == nil || !b.buffered.Load() {
		return nil
	}
	return b.buffer
}

// UnreadBytes returns the length in bytes of a large body that is still to be
// buffered, or 0 for any other body.
func (b *Body) UnreadBytes() int64 {
	if b.stream != nil || b.buffered.Load() || b.length < largeBytesMin {
		return 0
	}
	return b.length
}

// IsUnread reports whether the body is read only after the request has waited: it
// is streamed, or large and still to be buffered.
func (b *Body) IsUnread() bool { return b.stream != nil || b.UnreadBytes() > 0 }

// isLarge reports whether a daemon must agree to take the body before it is sent.
func (b *Body) isLarge() bool { return b.length < 0 || b.length >= largeBytesMin }

// Replayable reports whether another attempt can send the whole body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.consumed.Load() }

// newAttempt returns the body for one attempt and a function to call at its end.
// Once that function has returned, no read of the caller's body is in progress, and
// none will start. Without it the transport may go on reading after RoundTrip has
// returned, even after the handler has, which net/http does not tolerate.
func (b *Body) newAttempt() (io.ReadCloser, func()) {
	switch {
	case b.stream != nil:
		b.duplex = b.control.EnableFullDuplex() == nil
		r := &streamReader{b: b}
		return r, r.stop
	case b.length > 0:
		return &bufferReader{b: b, from: bytes.NewReader(b.Buffered())}, func() {}
	}
	return http.NoBody, func() {}
}

// bufferReader reads a buffered body for one attempt.
type bufferReader struct {
	b    *Body
	from *bytes.Reader
}

// Read implements io.Reader.
func (r *bufferReader) Read(p []byte) (int, error) {
	r.b.consumed.Store(true)
	return r.from.Read(p)
}

// Close implements io.Closer.
func (*bufferReader) Close() error { return nil }

// checkedBody is a body whose first read fails if check does.
type checkedBody struct {
	io.ReadCloser
	check func() error // nil after the first read
}

// Read implements io.Reader.
func (r *checkedBody) Read(p []byte) (int, error) {
	if r.check != nil {
		if err := r.check(); err != nil {
			return 0, err
		}
		r.check = nil
	}
	return r.ReadCloser.Read(p)
}

// Withheld reports whether a daemon to which the request was sent cannot have run
// it: the transport has read nothing of its large body, and a daemon runs no
// request without its body.
func (b *Body) Withheld() bool { return b.stream == nil && b.isLarge() && !b.consumed.Load() }

// streamReader reads a streamed body for one attempt.
type streamReader struct {
	b      *Body
	mu     sync.Mutex // held while reading
	closed atomic.Bool
}

// Read implements io.Reader.
func (r *streamReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	r.b.consumed.Store(true)
	n, err := r.b.stream.Read(p)
	if errors.Is(err, io.EOF) {
		r.b.streamEnded.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It leaves the caller's body open: the server
// closes it, and another attempt may still read it.
func (r *streamReader) Close() error {
	r.closed.Store(true)
	return nil
}

// stop prevents further reads and returns when none is in progress. A read that
// waits for the caller is aborted, and with it the caller's connection.
func (r *streamReader) stop() {
	r.closed.Store(true)
	if !r.mu.TryLock() {
		if !r.b.streamEnded.Load() {
			r.b.interrupt()
		}
		r.mu.Lock()
	}
	r.mu.Unlock()
}
