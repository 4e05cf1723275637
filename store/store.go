package store

import (
	"context"

	"github.com/zeebo/errs"
)

// ObjectBytesMax bounds the value of an object, in bytes. The platform takes a
// megabyte, in which a value stands in base64 beside its metadata.
const ObjectBytesMax = 700 << 10

// Absent is the version of an object that does not exist; a write under it
// creates the object.
const Absent = ""

var storeError = errs.Class("store")

// Object is a stored value. Version is opaque but for equality.
type Object struct {
	Key     string
	Version string
	Value   []byte
}

// Listing is the state of all objects under a prefix at one revision, from
// which a watch can go on.
type Listing struct {
	Objects  []Object
	Revision string
}

// Event is one write that a watch saw. Events may come twice or crossed.
type Event struct {
	Object   Object
	Revision string
}

// Store is the platform as figwheel uses it. Its errors carry one of the
// codes 4001 to 4009; after WriteUnknown a write may have taken effect.
type Store interface {
	// Get returns an object; NotFound when there is none.
	Get(x context.Context, key string) (Object, error)
	// Put writes an object under the condition that its version is still
	// version, or that it does not exist for Absent; VersionConflict otherwise.
	Put(x context.Context, key, version string, value []byte) (Object, error)
	// List returns all objects under a prefix in the order of their keys.
	List(x context.Context, prefix string) (Listing, error)
	// Watch calls f with each write under a prefix after the revision, until
	// the context ends, the watch breaks or f returns an error.
	Watch(x context.Context, prefix, revision string, f func(Event) error) error
}
