package site

import (
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// layer is one decoded file, the base or an overlay.
type layer struct {
	organisation Value[string]
	sites        Value[[]string]
	site         Value[string]
	breaks       Value[Breaks]
	services     map[string]service
	routes       map[string]route
	accounts     map[string]account
	removed      removal
}

// removal names the services, routes and client accounts of the base that an overlay
// removes.
type removal struct {
	services Value[[]string]
	routes   Value[[]string]
	accounts Value[[]string]
}

// namedEntries calls f for each key and value of the mapping n whose key is a
// valid name, and reports the other keys.
func (d *decoder) namedEntries(n *yaml.Node, f func(k, v *yaml.Node)) {
	d.pairs(n, func(k, v *yaml.Node) {
		if !validName(k.Value) {
			d.fail(k, result.BadValue, "%q is not a name; names have 1 to 63 lower-case letters, digits and dashes", k.Value)
			return
		}
		f(k, v)
	})
}

// commonFields returns the fields that base and overlays have in common, which
// decode into l.
func (d *decoder) commonFields(l *layer) []field {
	l.services = make(map[string]service)
	l.routes = make(map[string]route)
	l.accounts = make(map[string]account)
	return []field{
		{"Breaks", func(k, v *yaml.Node) { l.breaks = Value[Breaks]{d.breaks(v), d.at(k)} }},
		{"Services", func(_, v *yaml.Node) {
			d.namedEntries(v, func(k, v *yaml.Node) { l.services[k.Value] = d.service(k, v) })
		}},
		{"Routes", func(_, v *yaml.Node) {
			d.namedEntries(v, func(k, v *yaml.Node) { l.routes[k.Value] = d.route(k, v) })
		}},
		{"Accounts", func(_, v *yaml.Node) {
			d.namedEntries(v, func(k, v *yaml.Node) { l.accounts[k.Value] = d.account(k, v) })
		}},
	}
}

// base decodes the base file.
func (d *decoder) base(text string) layer {
	var l layer
	fs := d.commonFields(&l)
	n := d.root(text)
	if n == nil {
		return l
	}
	fs = append([]field{d.text("Organisation", &l.organisation), d.list("Sites", &l.sites)}, fs...)
	d.fields(n, fs...)
	if !l.organisation.IsSet() {
		d.fail(n, result.Missing, "the base has no Organisation")
	}
	if len(l.sites.V) == 0 {
		d.fail(n, result.Missing, "the base lists no Sites")
	}
	for i, s := range l.sites.V {
		if !validName(s) {
			d.problems = append(d.problems, Problem{result.BadValue, l.sites.At, s + " is not a name"})
		}
		if slices.Contains(l.sites.V[:i], s) {
			d.problems = append(d.problems, Problem{result.DuplicateSite, l.sites.At, "Sites lists " + s + " twice"})
		}
	}
	return l
}

// overlay decodes the overlay of one site.
func (d *decoder) overlay(text string) layer {
	var l layer
	fs := d.commonFields(&l)
	n := d.root(text)
	if n == nil {
		return l
	}
	fs = append([]field{d.text("Site", &l.site)}, fs...)
	fs = append(fs, field{"Remove", func(_, v *yaml.Node) {
		d.fields(v, d.list("Services", &l.removed.services), d.list("Routes", &l.removed.routes), d.list("Accounts", &l.removed.accounts))
	}})
	d.fields(n, fs...)
	if !l.site.IsSet() {
		d.fail(n, result.Missing, "the overlay names no Site")
	}
	return l
}

const nameBytesMax = 63

// validName reports whether s has 1 to nameBytesMax lower-case letters, digits and
// dashes and neither starts nor ends with a dash.
func validName(s string) bool {
	if s == "" || len(s) > nameBytesMax || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// merged is the configuration of one site, with the position of each value.
type merged struct {
	site     string
	breaks   Value[Breaks]
	services map[string]service
	routes   map[string]route
	accounts map[string]account
}

// merge returns the configuration of the site name: base b with overlay o. Each
// value that o sets replaces that of b; lists and the breaks are replaced as a
// whole. Services, routes and client accounts that o removes are left out. The arguments are not
// modified.
func merge(name string, b, o layer, c *checker) merged {
	m := merged{
		site:     name,
		breaks:   o.breaks.Or(b.breaks),
		services: maps.Clone(b.services),
		routes:   maps.Clone(b.routes),
		accounts: maps.Clone(b.accounts),
	}
	remove(m.services, o.removed.services, "service", c)
	remove(m.routes, o.removed.routes, "route", c)
	remove(m.accounts, o.removed.accounts, "account", c)
	for n, s := range o.services {
		p, ok := m.services[n]
		if !ok {
			p.at = s.at
		}
		m.services[n] = s.mergedOver(p)
	}
	for n, r := range o.routes {
		p, ok := m.routes[n]
		if !ok {
			p.at = r.at
		}
		m.routes[n] = r.mergedOver(p)
	}
	for n, a := range o.accounts {
		p, ok := m.accounts[n]
		if !ok {
			p.at = a.at
		}
		m.accounts[n] = a.mergedOver(p)
	}
	return m
}

// remove deletes the entries named by v from m and reports names that m does not
// have.
func remove[T any](m map[string]T, v Value[[]string], kind string, c *checker) {
	for _, n := range v.V {
		if _, ok := m[n]; !ok {
			c.fail(v.At, result.RemoveAbsent, "the base has no %s %s to remove", kind, n)
		}
		delete(m, n)
	}
}

// sorted returns the keys of m, sorted.
func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
