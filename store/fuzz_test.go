package store_test

import (
	"bytes"
	"testing"

	"figwheel/site"
	"figwheel/store"
)

// FuzzDecompress guards against bytes from a peer or from the store that crash a
// daemon or are accepted as a content of another hash. It also checks that a
// content is unchanged after Compress and DecompressVerified.
func FuzzDecompress(f *testing.F) {
	z, err := store.Compress([]byte("a content"), []byte("a base"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(z, []byte("a base"))
	f.Add([]byte("no frame"), []byte(nil))
	f.Fuzz(func(t *testing.T, z, base []byte) {
		d, err := store.Decompress(z, base)
		if err == nil && len(d) > 2*site.BundleBytesMax {
			t.Fatalf("%d bytes decompressed to %d bytes, above the limit", len(z), len(d))
		}
		if _, err := store.DecompressVerified(z, base, "another"); err == nil {
			t.Fatal("a content was accepted under a hash that is not its own")
		}
		p, err := store.Compress(z, base)
		if err != nil {
			t.Fatal(err)
		}
		if d, err := store.DecompressVerified(p, base, site.Hash(z)); err != nil || !bytes.Equal(d, z) {
			t.Fatalf("%q was compressed and decompressed to %q: %v", z, d, err)
		}
	})
}
