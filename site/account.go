package site

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"unicode"

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

// accountNameBytesMax bounds the name of a client account, which workers receive in a
// header.
const accountNameBytesMax = 256

// nameError returns the reason why the name of the account cannot be sent as the value
// of a header, or nil.
func (a Account) nameError() *result.Error {
	n := a.Name
	switch {
	case n == "":
		return result.New(result.Missing, "a client account has no name")
	case len(n) > accountNameBytesMax:
		return result.New(result.OutOfRange, "the name of a client account has %d bytes, the limit is %d", len(n), accountNameBytesMax)
	case strings.TrimSpace(n) != n || strings.ContainsFunc(n, unicode.IsControl):
		return result.New(result.BadValue, "the name %q of a client account cannot be sent in a header", n)
	}
	return nil
}

// closeFaulty returns the accounts l without the keys that name no single account, and
// the reasons: those of an account whose name cannot be used or is that of an earlier
// one, and those of several accounts. An account stays when all of its keys are gone:
// without any account, requests would need no key.
func closeFaulty(l []Account) ([]Account, []error) {
	if len(l) == 0 {
		return nil, nil
	}
	var faults []error
	r := slices.Clone(l)
	names := make(map[string]bool, len(r))
	owners := make(map[KeyHash]string, len(r))
	shared := make(map[KeyHash]bool)
	for i, a := range r {
		f := a.nameError()
		if f == nil && names[a.Name] {
			f = result.New(result.DuplicateKey, "another client account also has the name %s", a.Name)
		}
		if f != nil {
			if len(a.Keys) > 0 || a.Name != "" { // else it was closed before, and the reason is known
				faults = append(faults, f)
			}
			r[i] = Account{}
			continue
		}
		names[a.Name] = true
		for _, k := range a.Keys {
			if o, ok := owners[k]; ok && o != a.Name {
				shared[k] = true
				faults = append(faults, result.New(result.SharedKey, "the client accounts %s and %s have the same key; it is not accepted", o, a.Name))
			}
			owners[k] = a.Name
		}
	}
	if len(shared) == 0 {
		return r, faults
	}
	for i, a := range r {
		k := slices.DeleteFunc(slices.Clone(a.Keys), func(k KeyHash) bool { return shared[k] })
		if r[i].Keys = k; len(k) == 0 {
			r[i].Keys = nil // as it is decoded again
		}
	}
	return r, faults
}

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
