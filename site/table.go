package site

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"figwheel/result"
)

var tableError = errs.Class("table")

// Table is a configuration that is the same at every site and was checked by
// whoever keeps it: the other source of snapshots beside base and overlays.
// Its encoding is what daemons hand each other.
type Table struct {
	Number   uint64
	Services []Service
	Routes   []Route
	Limits   Limits
}

// Limits bound what callers may send; 0 is no limit of the configuration.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Encode returns the table's bytes, the same for tables that say the same.
func (t Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	return b, tableError.Wrap(err)
}

// DecodeTable reads the bytes of Encode and checks that every route leads to
// a service of the table.
func DecodeTable(b []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return t, result.Wrap(result.BadValue, err, "configuration")
	}
	return t, t.Check()
}

// Check returns the first fault of the table, or nil.
func (t Table) Check() error {
	if t.Number == 0 {
		return result.New(result.BadValue, "the configuration has no number")
	}
	names := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		names[s.Name] = true
	}
	for _, r := range t.Routes {
		for _, p := range r.Targets {
			if !names[p.Service] {
				return result.New(result.UnknownService, "route %s leads to service %q, which the configuration does not have", r.Name, p.Service)
			}
			if p.Weight < 0 {
				return result.New(result.OutOfRange, "route %s has the weight %d", r.Name, p.Weight)
			}
		}
		if totalWeight(r.Targets) == 0 {
			return result.New(result.Missing, "route %s leads nowhere", r.Name)
		}
	}
	return nil
}

// Sites returns nothing: a table is the same at every site.
func (t Table) Sites() []string { return nil }

// Snapshot compiles the table for a site under the number and the hash of its
// bytes.
func (t Table) Snapshot(site string, number uint64, content string) (*Snapshot, error) {
	services := make(map[string]*Service, len(t.Services))
	for _, v := range t.Services {
		services[v.Name] = &v
	}
	s := newSnapshot(services, t.Routes)
	s.number, s.site, s.content, s.limits = number, site, content, t.Limits
	return s, nil
}
