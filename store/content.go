package store

import (
	"context"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"

	"figwheel/result"
	"figwheel/site"
)

// Contents are immutable, named by their hash, compressed and split into chunks
// that fit into an object.

// chunkBytesMax bounds a chunk of a compressed content, in bytes.
const chunkBytesMax = ObjectBytesMax - 4096

const contentPrefix = "content/"

// Compress returns d compressed with zstd. The base, which may be empty, is a
// content that the receiver has too: parts of d that are also in base take few
// bytes.
func Compress(d, base []byte) ([]byte, error) {
	o := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest), // its tables are a tenth of the size of the default's
		zstd.WithWindowSize(windowBytes(len(base) + len(d))),
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

// Decompress returns the content that Compress compressed with the same base.
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

// dictionaryID is the id under which both sides register the base as the zstd
// dictionary.
const dictionaryID = 1

// windowBytes returns the zstd window size for contentBytes, the size of the base
// and the content together: the power of two that covers them, so that the
// compressor can refer to the whole base.
func windowBytes(contentBytes int) int {
	w := zstd.MinWindowSize
	for w < contentBytes && w < zstd.MaxWindowSize {
		w *= 2
	}
	return w
}

// PutContent stores the content d under its hash and returns the hash. Storing a
// content that is already there is not an error.
func PutContent(x context.Context, s Store, d []byte) (string, error) {
	h := site.Hash(d)
	z, err := Compress(d, nil)
	if err != nil {
		return h, err
	}
	n := (len(z) + chunkBytesMax - 1) / chunkBytesMax
	for i := range n {
		k := chunkKey(h, i, n)
		_, err := s.Put(x, k, Absent, z[i*chunkBytesMax:min(len(z), (i+1)*chunkBytesMax)])
		if err != nil && !objectExists(x, s, k, err) {
			return h, err
		}
	}
	return h, nil
}

// objectExists reports whether the object of a create that failed with err
// exists: because of a version conflict, or because the write took effect and
// only its answer was lost.
func objectExists(x context.Context, s Store, key string, err error) bool {
	switch result.CodeOf(err) {
	case result.VersionConflict:
		return true
	case result.WriteUnknown:
		_, err := s.Get(x, key)
		return err == nil
	}
	return false
}

// GetContent returns the content with this hash, after verifying the hash. The
// error is ContentMissing if chunks of it are not there.
func GetContent(x context.Context, s Store, hash string) ([]byte, error) {
	l, err := s.List(x, contentPrefix+hash+"-")
	if err != nil {
		return nil, err
	}
	m := make(map[string]Object, len(l.Objects))
	for _, o := range l.Objects {
		m[o.Key] = o
	}
	err = result.New(result.ContentMissing, "the platform does not hold content %s", hash)
	// Only the names of the chunks say how many there are, and another writer may have left
	// objects beside them.
	for _, o := range l.Objects {
		var n int
		if _, e := fmt.Sscanf(strings.TrimPrefix(o.Key, contentPrefix+hash), "-0000-of-%04d", &n); e != nil || o.Key != chunkKey(hash, 0, n) || n > len(l.Objects) {
			continue
		}
		var d []byte
		if d, err = joinChunks(m, hash, n); err == nil {
			return d, nil
		}
	}
	return nil, err
}

// joinChunks returns the content with this hash from its n chunks in m, by key.
func joinChunks(m map[string]Object, hash string, n int) ([]byte, error) {
	var z []byte
	for i := range n {
		k := chunkKey(hash, i, n)
		o, ok := m[k]
		if !ok || o.Fault != nil {
			return nil, result.New(result.ContentMissing, "content %s is without its chunk %s", hash, strings.TrimPrefix(k, contentPrefix))
		}
		z = append(z, o.Value...)
	}
	return DecompressVerified(z, nil, hash)
}

// DecompressVerified decompresses z with the base, verifies the hash and returns
// the content. The error is HashMismatch if z cannot be decompressed or the
// content has another hash.
func DecompressVerified(z, base []byte, hash string) ([]byte, error) {
	d, err := Decompress(z, base)
	if err != nil {
		return nil, result.Wrap(result.HashMismatch, err, "content %s cannot be decompressed", hash)
	}
	if h := site.Hash(d); h != hash {
		return nil, result.New(result.HashMismatch, "content %s decompresses to hash %s", hash, h)
	}
	return d, nil
}

// chunkKey returns the key of chunk i, which counts from 0, of n.
func chunkKey(hash string, i, n int) string {
	return fmt.Sprintf("%s%s-%04d-of-%04d", contentPrefix, hash, i, n)
}
