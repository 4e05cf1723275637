package hop

import (
	"errors"
	"io"
	"maps"
	"net/http"

	"figwheel/contract"
)

// trailerFilter is the body of a request whose trailer must not contain headers that
// are not forwarded. The trailer is complete only at the end of the body, and may then
// have headers that its sender did not declare.
type trailerFilter struct {
	io.ReadCloser
	trailer http.Header
	names   contract.Headers
}

// filterTrailer returns the body d, and removes from the trailer what names does not
// let pass, now and at the end of the body.
func filterTrailer(d io.ReadCloser, trailer http.Header, names contract.Headers) io.ReadCloser {
	if trailer == nil || d == http.NoBody {
		return d
	}
	f := &trailerFilter{d, trailer, names}
	f.remove()
	return f
}

// Read implements io.Reader.
func (f *trailerFilter) Read(p []byte) (int, error) {
	n, err := f.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		f.remove()
	}
	return n, err
}

// remove removes the headers that are not forwarded.
func (f *trailerFilter) remove() {
	maps.DeleteFunc(f.trailer, func(k string, _ []string) bool { return !f.names.IsForwarded(k) })
}
