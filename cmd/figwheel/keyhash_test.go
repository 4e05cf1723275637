package main

import (
	"bytes"
	"strings"
	"testing"

	"figwheel/result"
	"figwheel/site"
)

// TestKeyHashIsThatOfConfiguration guards against a printed hash that the configuration
// does not accept or that opens no account, because of the end of the line.
func TestKeyHashIsThatOfConfiguration(t *testing.T) {
	for _, in := range []string{"secret", "secret\n", "secret\r\n", "secret\nmore"} {
		var o bytes.Buffer
		if err := printKeyHash(strings.NewReader(in), &o); err != nil {
			t.Fatal(err)
		}
		var k site.KeyHash
		if err := k.UnmarshalText(bytes.TrimSuffix(o.Bytes(), []byte("\n"))); err != nil || k != site.HashKey("secret") {
			t.Errorf("%q: %v, got %s", in, err, o.String())
		}
	}
	for _, in := range []string{"", "\n", " secret", "secret \n"} {
		if err := printKeyHash(strings.NewReader(in), &bytes.Buffer{}); result.CodeOf(err) != result.BadValue || strings.Contains(err.Error(), "secret") {
			t.Errorf("%q: %v", in, err)
		}
	}
}
