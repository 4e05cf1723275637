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

// File is one submitted file.
type File struct {
	Name string
	Text string
}

// Bundle is the base file and the overlays of one submission.
type Bundle struct {
	Base     File
	Overlays []File
}

// Encode returns the bytes that the bundle is stored and hashed as.
func (b Bundle) Encode() ([]byte, error) {
	d, err := json.Marshal(b)
	if err != nil {
		return nil, bundleError.Wrap(err)
	}
	if len(d) > BundleBytesMax {
		return nil, result.New(result.ContentTooLarge, "the files have %d bytes, at most %d are taken", len(d), BundleBytesMax)
	}
	return d, nil
}

// DecodeBundle reads what Encode wrote.
func DecodeBundle(d []byte) (Bundle, error) {
	var b Bundle
	if len(d) > BundleBytesMax {
		return b, result.New(result.ContentTooLarge, "the content has %d bytes, at most %d are taken", len(d), BundleBytesMax)
	}
	if err := json.Unmarshal(d, &b); err != nil {
		return b, bundleError.Wrap(err)
	}
	return b, nil
}

// Hash returns the name of an encoded bundle: 32 hexadecimal digits.
func Hash(d []byte) string {
	h := blake3.Sum256(d)
	return hex.EncodeToString(h[:16])
}
