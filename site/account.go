package site

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"unicode"

	"go.yaml.in/yaml/v3"

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

// keyHashDigits is the number of digits by which a hash is shown.
const keyHashDigits = 8

// String returns the first digits of the hash, which tell the keys of an account apart.
func (k KeyHash) String() string { return hex.EncodeToString(k[:])[:keyHashDigits] }

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

// Bounds of the fields of a client account.
const (
	accountRankMax  = 1000
	accountRateMax  = 1_000_000
	accountBurstMax = 1_000_000
)

// account is a client account as one file defines it, or as merged from base and
// overlay.
type account struct {
	at    Position
	keys  Value[[]KeyHash]
	rank  Value[int]
	rate  Value[float64]
	burst Value[float64]
}

// account decodes the client account with key k and value n.
func (d *decoder) account(k, n *yaml.Node) account {
	a := account{at: d.at(k)}
	d.fields(n,
		field{"KeyHashes", func(k, v *yaml.Node) {
			a.keys = Value[[]KeyHash]{d.keyHashes(v), d.at(k)}
		}},
		d.number("Rank", 0, accountRankMax, &a.rank),
		d.decimal("Rate", 0, accountRateMax, &a.rate),
		d.decimal("Burst", 0, accountBurstMax, &a.burst),
	)
	return a
}

// keyHashes decodes a list of hashes. It reports invalid ones and leaves them out.
func (d *decoder) keyHashes(n *yaml.Node) []KeyHash {
	r := make([]KeyHash, 0, len(n.Content))
	d.items(n, func(v *yaml.Node) {
		s, ok := d.scalar(v)
		if !ok {
			return
		}
		var k KeyHash
		switch {
		case k.UnmarshalText([]byte(s)) != nil: // the text may be a key, which must not be shown
			d.fail(v, result.BadValue, "a key hash has %d hexadecimal digits, see figwheel key-hash", hex.EncodedLen(len(k)))
		case k == HashKey(""):
			d.fail(v, result.BadValue, "this is the hash of an empty key")
		default:
			r = append(r, k)
		}
	})
	return r
}

// mergedOver returns a with its position and its unset values taken from b.
func (a account) mergedOver(b account) account {
	return account{
		at:    b.at,
		keys:  a.keys.Or(b.keys),
		rank:  a.rank.Or(b.rank),
		rate:  a.rate.Or(b.rate),
		burst: a.burst.Or(b.burst),
	}
}

// check reports values that the merged account needs and does not set.
func (a account) check(name, site string, c *checker) {
	if !a.keys.IsSet() {
		c.fail(a.at, result.Missing, "account %s has no KeyHashes at site %s", name, site)
	}
	if a.burst.V > 0 && a.rate.V == 0 {
		c.fail(a.burst.At, result.Missing, "account %s has a Burst and no Rate at site %s", name, site)
	}
}

// checkAccounts reports the faults of the site's client accounts, among them keys that
// belong to several.
func (m merged) checkAccounts(c *checker) {
	owners := make(map[KeyHash]string)
	for _, n := range sorted(m.accounts) {
		a := m.accounts[n]
		a.check(n, m.site, c)
		for _, k := range a.keys.V {
			if o, ok := owners[k]; ok && o != n {
				c.fail(a.keys.At, result.SharedKey, "accounts %s and %s have the same key %s at site %s", o, n, k, m.site)
			}
			owners[k] = n
		}
	}
}

// compile returns the compiled account.
func (a account) compile(name string) Account {
	r := Account{Name: name, Keys: a.keys.V, Rate: a.rate.V, Burst: a.burst.V}
	if a.rank.IsSet() {
		r.Rank = &a.rank.V
	}
	return r
}

// lines returns the values of the account that are set, one line for each.
func (a account) lines(name string) []Line {
	l := lineList{prefix: "Accounts." + name + "."}
	addLine(&l, "KeyHashes", a.keys)
	addLine(&l, "Rank", a.rank)
	addLine(&l, "Rate", a.rate)
	addLine(&l, "Burst", a.burst)
	return l.lines
}
