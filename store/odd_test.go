package store_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"figwheel/result"
	"figwheel/store"
)

// memory is a Store of some objects, which can only be created and listed.
type memory struct{ objects []store.Object }

func (m *memory) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, result.New(result.NotFound, "not here")
}

func (m *memory) Put(_ context.Context, key, _ string, value []byte) (store.Object, error) {
	o := store.Object{Key: key, Version: "1", Value: value}
	m.objects = append(m.objects, o)
	return o, nil
}

func (m *memory) List(_ context.Context, prefix string) (store.Listing, error) {
	var l store.Listing
	for _, o := range m.objects {
		if len(o.Key) >= len(prefix) && o.Key[:len(prefix)] == prefix {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

func (m *memory) Watch(context.Context, string, string, func(store.Event) error) error { return nil }

// TestOddObjectsBesideContentAndAudit guards against an object of another writer that makes a content or the audit trail unreadable.
func TestOddObjectsBesideContentAndAudit(t *testing.T) {
	x := context.Background()
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	d := make([]byte, 2<<20)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range d {
		d[i] = byte(r.Uint32())
	}
	var s memory
	h, err := store.PutContent(x, &s, d)
	if err != nil {
		t.Fatal(err)
	}
	chunks := len(s.objects)
	if chunks < 2 {
		t.Fatalf("%d chunks, the test needs 2", chunks)
	}
	if err := store.PutAudit(x, &s, now, store.Audit{ChangeID: "c", Step: "accept"}); err != nil {
		t.Fatal(err)
	}
	p := "content/" + h
	for _, k := range []string{p + "-", p + "-0000-of-0000", p + "-0000-of-0001", p + "-0000-of-9999", p + "-0000-of-99999999999", p + "-0001-of-0009", p + "-x", "audit/2026-12-07-x"} {
		s.objects = append([]store.Object{{Key: k, Version: "2", Fault: errors.New("not base64")}, {Key: k, Version: "2", Value: []byte("[")}}, s.objects...)
	}
	if got, err := store.GetContent(x, &s, h); err != nil || !bytes.Equal(got, d) {
		t.Errorf("the content: %d bytes, %v", len(got), err)
	}
	l, err := store.ListAudit(x, &s, now, 9)
	if err != nil || len(l) != 1 || l[0].ChangeID != "c" {
		t.Errorf("the audit trail: %+v, %v", l, err)
	}
	s.objects = s.objects[len(s.objects)-1-chunks+1:] // without the first chunk
	if _, err := store.GetContent(x, &s, h); result.CodeOf(err) != result.ContentMissing {
		t.Errorf("a content without its first chunk: %v, want %s", err, result.ContentMissing)
	}
}
