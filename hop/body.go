package hop

import (
	"bytes"
	"io"
	"net/http"
)

// bufferBytesMax bounds the bodies that are kept so that another attempt can
// send them again, in bytes.
const bufferBytesMax = 64 << 10

// Body is the body of a request that may be sent by more than one attempt.
type Body struct {
	kept   []byte
	stream io.ReadCloser
	length int64
	read   bool
}

// NewBody takes the body of r. A small one of known length is read at once;
// an error means that the caller did not send what it promised.
func NewBody(r *http.Request) (*Body, error) {
	if r.ContentLength < 0 || r.ContentLength > bufferBytesMax {
		return &Body{stream: r.Body, length: r.ContentLength}, nil
	}
	if r.ContentLength == 0 {
		return &Body{}, nil
	}
	b := &Body{kept: make([]byte, r.ContentLength), length: r.ContentLength}
	_, err := io.ReadFull(r.Body, b.kept)
	return b, err
}

// Replayable tells whether another attempt can send the whole body.
func (b *Body) Replayable() bool { return b.stream == nil || !b.read }

// Streams tells whether the body is passed on while it arrives.
func (b *Body) Streams() bool { return b.stream != nil }

// reader returns the body for one attempt. It is never nil and has no
// GetBody: net/http sends a request with an empty body again by itself when
// it carries an Idempotency-Key or its method is GET, even if the contract of
// the service says that it is not idempotent.
func (b *Body) reader() io.ReadCloser {
	if b.stream != nil {
		return b
	}
	return &onceReader{Reader: bytes.NewReader(b.kept)}
}

// Read implements io.Reader for a body that is not kept.
func (b *Body) Read(p []byte) (int, error) {
	b.read = true
	return b.stream.Read(p)
}

// Close implements io.Closer. It leaves the caller's body open: the server
// closes it, and another attempt may still read it.
func (b *Body) Close() error { return nil }

type onceReader struct{ *bytes.Reader }

func (onceReader) Close() error { return nil }
