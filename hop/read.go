package hop

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// firstPartBytes and readPartBytes are the sizes, in bytes, of the parts in which ReadBody
	// keeps a body until it has ended: a buffer that grows would need twice the bytes.
	firstPartBytes = 4 << 10
	readPartBytes  = 64 << 10
)

// ErrLongBody is the error for a body that is longer than the limit of its reader.
var ErrLongBody = errors.New("response too large")

// ReadBody reads and closes the body of p. It returns an error if the body has more than
// bytesMax, as soon as that is known. It reports what arrives to the request's context, see
// WithPace.
func ReadBody(p *http.Response, bytesMax int64) ([]byte, error) {
	defer func() { _ = p.Body.Close() }()
	if p.ContentLength > bytesMax {
		return nil, ErrLongBody
	}
	var k *pace
	if p.Request != nil {
		k, _ = p.Request.Context().Value(paceKey{}).(*pace)
	}
	k.arrived(1, time.Now()) // the head
	var parts [][]byte
	part := make([]byte, 0, firstPartBytes)
	for total := int64(0); total <= bytesMax; {
		if len(part) == cap(part) {
			parts = append(parts, part)
			part = make([]byte, 0, readPartBytes)
		}
		n, err := p.Body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		total += int64(n)
		k.arrived(n, time.Now())
		switch {
		case total > bytesMax:
		case errors.Is(err, io.EOF):
			if len(parts) == 0 {
				return part, nil
			}
			return bytes.Join(append(parts, part), nil), nil
		case err != nil:
			return nil, err
		}
	}
	return nil, ErrLongBody
}
