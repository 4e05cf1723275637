package site

import (
	"slices"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/zeebo/errs"

	"figwheel/result"
)

var tableError = errs.Class("table")

// Table is a configuration that is the same at every site and was checked by the
// system that holds it. It is the other source of snapshots, besides the base file
// and overlays. Daemons send it to each other as encoded by Encode.
type Table struct {
	Number   uint64
	Services []Service
	Routes   []Route
	Limits   Limits
	Accounts []Account `json:",omitempty"`
}

// Limits bound the requests and connections of callers. A limit of 0 is not set by
// the configuration.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Encode returns the encoded table. Equal tables have equal encodings.
func (t Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	return b, tableError.Wrap(err)
}

// DecodeTable decodes the bytes of Table.Encode and closes faulty routes as
// Table.CloseFaulty does. Its errors have the code BadValue.
func DecodeTable(b []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return t, result.Wrap(result.BadValue, err, "configuration")
	}
	if t.Number == 0 {
		return t, result.New(result.BadValue, "the configuration has no number")
	}
	t, _ = t.CloseFaulty()
	return t, nil
}

// CloseFaulty returns the table with every route closed that cannot be compiled,
// without the keys that name no single client account, and the reasons. A closed route still matches, and its requests are rejected. If
// it were left out, they could match a shorter prefix and reach a service that the
// configuration does not intend for them.
func (t Table) CloseFaulty() (Table, []error) {
	names := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		names[s.Name] = true
	}
	var faults []error
	routes := slices.Clone(t.Routes)
	for i, r := range routes {
		if r.Closed != 0 {
			continue
		}
		if f := r.compileError(names); f != nil {
			faults = append(faults, f)
			routes[i] = r.WithClosed(f.Code)
		}
	}
	t.Routes = routes
	var f []error
	t.Accounts, f = closeFaulty(t.Accounts)
	return t, append(faults, f...)
}

// Sites returns nil, because a table is the same at every site.
func (t Table) Sites() []string { return nil }

// Snapshot compiles the table for a site. The snapshot has the version number and
// the content hash that are given. The error is always nil.
func (t Table) Snapshot(site string, number uint64, content string) (*Snapshot, error) {
	services := make(map[string]*Service, len(t.Services))
	for _, v := range t.Services {
		services[v.Name] = &v
	}
	s := newSnapshot(services, t.Routes)
	s.number, s.site, s.content, s.limits = number, site, content, t.Limits
	s.setAccounts(t.Accounts)
	return s, nil
}
