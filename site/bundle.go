package site

import (
	"encoding/hex"
	"encoding/json"

	"github.com/zeebo/blake3"
	"github.com/zeebo/errs"

	"figwheel/result"
)

// BundleBytesMax bounds an encoded bundle, in bytes.
const BundleBytesMax = 8 << 20

var bundleError = errs.Class("bundle")

// File is one file of a submission.
type File struct {
	Name string
	Text string
}

// Bundle is the base file and the overlays of one submission.
type Bundle struct {
	Base     File
	Overlays []File
}

// Encode returns the bytes in which the bundle is stored and from which it is
// hashed. The error is ContentTooLarge above BundleBytesMax bytes.
func (b Bundle) Encode() ([]byte, error) {
	d, err := json.Marshal(b)
	if err != nil {
		return nil, bundleError.Wrap(err)
	}
	if len(d) > BundleBytesMax {
		return nil, result.New(result.ContentTooLarge, "the encoded files have %d bytes, the limit is %d", len(d), BundleBytesMax)
	}
	return d, nil
}

// DecodeBundle decodes the bytes of Bundle.Encode. The error is ContentTooLarge
// above BundleBytesMax bytes.
func DecodeBundle(d []byte) (Bundle, error) {
	var b Bundle
	if len(d) > BundleBytesMax {
		return b, result.New(result.ContentTooLarge, "the content has %d bytes, the limit is %d", len(d), BundleBytesMax)
	}
	if err := json.Unmarshal(d, &b); err != nil {
		return b, bundleError.Wrap(err)
	}
	return b, nil
}

// Hash returns the hash of an encoded content, by which it is named: the first
// 16 bytes of its BLAKE3 hash as 32 hexadecimal digits.
func Hash(d []byte) string {
	h := blake3.Sum256(d)
	return hex.EncodeToString(h[:16])
}
