package store

import (
	"context"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"

	"figwheel/result"
	"figwheel/site"
)

// Contents are immutable, named by their hash, compressed and cut into chunks
// that fit an object.

const chunkBytes = ObjectBytesMax - 4096

const contentPrefix = "content/"

// Compress returns d compressed; base, which may be empty, is a content that
// the reader has too, and of which little needs to be said again.
func Compress(d, base []byte) ([]byte, error) {
	o := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest), // its tables are a tenth of the default's
		zstd.WithWindowSize(windowFor(len(base) + len(d))),
	}
	if len(base) > 0 {
		o = append(o, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, o...)
	if err != nil {
		return nil, storeError.Wrap(err)
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(d, nil), nil
}

// Decompress reverses Compress with the same base.
func Decompress(z, base []byte) ([]byte, error) {
	o := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(site.BundleBytesMax * 2)}
	if len(base) > 0 {
		o = append(o, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, o...)
	if err != nil {
		return nil, storeError.Wrap(err)
	}
	defer r.Close()
	d, err := r.DecodeAll(z, nil)
	return d, storeError.Wrap(err)
}

const dictionaryID = 1

// windowFor returns the power of two that covers n bytes, so that the whole
// base stays within reach of the compressor.
func windowFor(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < zstd.MaxWindowSize {
		w *= 2
	}
	return w
}

// PutContent stores the content d under its hash; that it is there already is
// as good.
func PutContent(x context.Context, s Store, d []byte) (string, error) {
	h := site.Hash(d)
	z, err := Compress(d, nil)
	if err != nil {
		return h, err
	}
	n := (len(z) + chunkBytes - 1) / chunkBytes
	for i := range n {
		k := chunkKey(h, i, n)
		_, err := s.Put(x, k, Absent, z[i*chunkBytes:min(len(z), (i+1)*chunkBytes)])
		if err != nil && !exists(x, s, k, err) {
			return h, err
		}
	}
	return h, nil
}

// exists tells whether a create that failed with err finds the object there:
// by conflict, or because the lost answer belonged to a write that was done.
func exists(x context.Context, s Store, key string, err error) bool {
	switch result.CodeOf(err) {
	case result.VersionConflict:
		return true
	case result.WriteUnknown:
		_, err := s.Get(x, key)
		return err == nil
	}
	return false
}

// GetContent reads a content and verifies its hash.
func GetContent(x context.Context, s Store, hash string) ([]byte, error) {
	l, err := s.List(x, contentPrefix+hash+"-")
	if err != nil {
		return nil, err
	}
	if len(l.Objects) == 0 {
		return nil, result.New(result.ContentMissing, "the platform has no content %s", hash)
	}
	var z []byte
	for _, o := range l.Objects {
		z = append(z, o.Value...)
	}
	if k := l.Objects[0].Key; k != chunkKey(hash, 0, len(l.Objects)) {
		return nil, result.New(result.ContentMissing, "content %s has %d chunks, the first is %s", hash, len(l.Objects), strings.TrimPrefix(k, contentPrefix))
	}
	return Verified(z, nil, hash)
}

// Verified decompresses z with the base and returns the content if its hash
// is the given one.
func Verified(z, base []byte, hash string) ([]byte, error) {
	d, err := Decompress(z, base)
	if err != nil {
		return nil, result.Wrap(result.HashMismatch, err, "content %s cannot be read", hash)
	}
	if h := site.Hash(d); h != hash {
		return nil, result.New(result.HashMismatch, "content %s has the hash %s", hash, h)
	}
	return d, nil
}

func chunkKey(hash string, i, n int) string {
	return fmt.Sprintf("%s%s-%04d-of-%04d", contentPrefix, hash, i, n)
}
