package store_test

import (
	"bytes"
	"testing"

	"figwheel/site"
	"figwheel/store"
)

// FuzzDecompress checks that no bytes of a peer or of the store bring a daemon
// down or become a content of another hash, and that a content survives.
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
			t.Fatalf("%d bytes became %d", len(z), len(d))
		}
		if _, err := store.Verified(z, base, "another"); err == nil {
			t.Fatal("a content has a hash that is not its own")
		}
		p, err := store.Compress(z, base)
		if err != nil {
			t.Fatal(err)
		}
		if d, err := store.Verified(p, base, site.Hash(z)); err != nil || !bytes.Equal(d, z) {
			t.Fatalf("%q came back as %q: %v", z, d, err)
		}
	})
}
