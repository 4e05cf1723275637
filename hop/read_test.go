package hop_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"figwheel/hop"
)

// TestReadBodyIsWholeOrFails guards against a body that is cut or too long and passes for
// whole, and against one that is whole and does not pass.
func TestReadBodyIsWholeOrFails(t *testing.T) {
	const most = 200_000
	for _, size := range []int{0, 1, 4095, 4096, 4097, 69_631, 69_632, 69_633, most - 1, most, most + 1, 2 * most} {
		body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
		for name, read := range map[string]func(r io.Reader) io.Reader{
			"as it comes":           func(r io.Reader) io.Reader { return r },
			"byte by byte":          iotest.OneByteReader,
			"with the end":          iotest.DataErrReader,
			"broken":                func(r io.Reader) io.Reader { return io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF)) },
			"broken with the bytes": func(r io.Reader) io.Reader { return brokenReader{iotest.DataErrReader(r)} },
		} {
			for _, length := range []int64{-1, int64(size)} {
				b, err := hop.ReadBody(&http.Response{Body: io.NopCloser(read(strings.NewReader(body))), ContentLength: length}, most)
				whole := size <= most && !strings.HasPrefix(name, "broken")
				if (err == nil) != whole || whole && !bytes.Equal(b, []byte(body)) {
					t.Errorf("%d bytes, %s, length %d: %d bytes, %v; want whole %t", size, name, length, len(b), err, whole)
				}
			}
		}
	}
}

// brokenReader returns io.ErrUnexpectedEOF in place of the end.
type brokenReader struct{ io.Reader }

func (r brokenReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
