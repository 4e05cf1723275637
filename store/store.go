package store

import (
	"context"

	"github.com/zeebo/errs"
)

// ObjectBytesMax bounds the value of an object, in bytes. The platform accepts
// objects of up to a megabyte, in which the value is base64-encoded and stored
// together with its metadata.
const ObjectBytesMax = 700 << 10

// Absent is the version of an object that does not exist. A Put with this version
// creates the object.
const Absent = ""

var storeError = errs.Class("store")

// Object is a stored value. Versions may only be compared for equality; those of
// different eras differ. Era is that of the answer with the object. Fault is set if the
// value cannot be read, as one of another writer; the Value is then empty.
type Object struct {
	Key     string
	Version string
	Era     uint64
	Value   []byte
	Fault   error
}

// Listing is the state of all objects under a prefix at one revision, after which
// a watch can continue.
type Listing struct {
	Objects  []Object
	Revision string
	Era      uint64
}

// Event is one write reported by a watch. Events may arrive twice or out of order.
type Event struct {
	Object   Object
	Revision string
}

// Store is the part of the platform that figwheel uses. Its errors have one of
// the codes 4001 to 4009. After WriteUnknown the write may have taken effect.
//
// A store that is restored from a copy begins a new era, whose number is higher. It
// has then lost its last writes, and gives their versions to other writes. The era is
// 0 if the store does not name it. A write on condition of a version of an older era
// than the newest known one is a VersionConflict, and an answer of an older era is an
// error.
type Store interface {
	// Get returns an object. The error is NotFound if there is none.
	Get(x context.Context, key string) (Object, error)
	// Put writes an object on condition that it still has the given version, or
	// does not exist if that is Absent. The error is VersionConflict otherwise.
	Put(x context.Context, key, version string, value []byte) (Object, error)
	// List returns all objects under a prefix, ordered by key.
	List(x context.Context, prefix string) (Listing, error)
	// Watch calls f for each write under a prefix after the revision, until the
	// context ends, the watch breaks or f returns an error. The error is HistoryGone
	// if the store does not have the revision, or a new era has begun since.
	Watch(x context.Context, prefix, revision string, f func(Event) error) error
}
