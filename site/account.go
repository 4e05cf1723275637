package site

import (
	"crypto/sha256"
	"encoding/hex"

	"figwheel/result"
)

// Account is a client account: the callers that hold one of its keys.
type Account struct {
	Name  string
	Keys  []KeyHash `json:",omitempty"`
	Rank  *int      `json:",omitempty"` // priority that goes before that of the route; nil if the account has none
	Rate  float64   `json:",omitempty"` // requests per second that all daemons together admit, 0 for no limit
	Burst float64   `json:",omitempty"` // requests that may be saved up and sent at once
}

// KeyHash is the SHA-256 hash of a client account's key. The key itself is kept nowhere.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (k KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error has the code BadValue.
func (k *KeyHash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(k)) {
		return result.New(result.BadValue, "a key hash has %d hexadecimal digits", hex.EncodedLen(len(k)))
	}
	if _, err := hex.Decode(k[:], b); err != nil {
		return result.Wrap(result.BadValue, err, "key hash")
	}
	return nil
}
