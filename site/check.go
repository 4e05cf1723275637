package site

import (
	"fmt"
	"slices"
	"time"

	"figwheel/result"
)

// checker collects the problems of a bundle.
type checker struct{ problems []Problem }

// fail reports a problem at p.
func (c *checker) fail(p Position, r result.Code, format string, a ...any) {
	c.problems = append(c.problems, Problem{Code: r, At: p, Text: fmt.Sprintf(format, a...)})
}

// Configuration is the checked configuration of all sites. It is immutable.
type Configuration struct {
	organisation string
	sites        []string
	merged       map[string]merged
}

// Check decodes, merges and checks b. It returns all problems, ordered by file
// and position. The configuration is usable only if there are none. The search
// for a common break starts at the time now.
func Check(b Bundle, now time.Time) (Configuration, []Problem) {
	r, base, c := check(b, func(string) bool { return true })
	if len(c.problems) == 0 {
		r.checkBreaks(now, base, &c)
	}
	return r, sortProblems(c.problems)
}

// CheckSite is like Check, but merges and checks only one site, and not the common
// break. The configuration lists all sites and contains only that one. The cost
// of merging does not grow with the number of sites.
func CheckSite(b Bundle, site string) (Configuration, []Problem) {
	r, _, c := check(b, func(n string) bool { return n == site })
	return r, sortProblems(c.problems)
}

// check decodes b, and merges and checks the wanted sites if decoding found no
// problem. It also returns the decoded base.
func check(b Bundle, wanted func(site string) bool) (Configuration, layer, checker) {
	d := decoder{file: b.Base.Name}
	base := d.base(b.Base.Text)
	c := checker{problems: d.problems}
	overlays := decodeOverlays(b, base, &c)
	r := Configuration{organisation: base.organisation.V, merged: make(map[string]merged)}
	if len(c.problems) > 0 {
		return r, base, c
	}
	r.sites = slices.Sorted(slices.Values(base.sites.V))
	for _, n := range r.sites {
		if !wanted(n) {
			continue
		}
		m := merge(n, base, overlays[n], &c)
		m.check(&c)
		r.merged[n] = m
	}
	return r, base, c
}

// decodeOverlays returns the overlays of b by site.
func decodeOverlays(b Bundle, base layer, c *checker) map[string]layer {
	r := make(map[string]layer)
	for _, f := range b.Overlays {
		d := decoder{file: f.Name}
		o := d.overlay(f.Text)
		c.problems = append(c.problems, d.problems...)
		if !o.site.IsSet() {
			continue
		}
		if _, ok := r[o.site.V]; ok {
			c.fail(o.site.At, result.DuplicateSite, "another overlay also names site %s", o.site.V)
		}
		if len(base.sites.V) > 0 && !slices.Contains(base.sites.V, o.site.V) {
			c.fail(o.site.At, result.UnknownSite, "the base lists no site %s", o.site.V)
		}
		r[o.site.V] = o
	}
	return r
}

// check reports the problems of the site's services, routes and client accounts,
// among them routes that conflict with each other.
func (m merged) check(c *checker) {
	for _, n := range sorted(m.services) {
		m.services[n].check(n, m.site, c)
	}
	type matchKey struct{ host, prefix string }
	byKey := make(map[matchKey][]Route)
	for _, n := range sorted(m.routes) {
		r := m.routes[n]
		r.check(n, m, c)
		t := r.compile(n)
		p := matchKey{t.Host, t.PathPrefix}
		for _, o := range byKey[p] {
			if t.conflictsWith(o) {
				c.fail(r.at, result.ShadowedRoute, "route %s matches what route %s at %s matches, and neither is more specific, at site %s", n, o.Name, m.routes[o.Name].at, m.site)
			}
		}
		byKey[p] = append(byKey[p], t)
	}
	m.checkAccounts(c)
}

// checkBreaks reports breaks of the sites that have no moment in common: a change
// of all sites would then always be outside a break, which locks supervisors out.
// The problem is at the breaks of the last site that does not take them from the
// base, or at those of the base if every site does.
func (c Configuration) checkBreaks(now time.Time, b layer, k *checker) {
	w := CommonWindow(c.breaks(c.sites), now)
	if w.Open || !w.Next.IsZero() {
		return
	}
	p := b.breaks.At
	for _, n := range c.sites {
		if !b.breaks.IsSet() || c.merged[n].breaks.At != b.breaks.At {
			p = c.merged[n].breaks.At
		}
	}
	k.fail(p, result.NoCommonBreak, "the breaks of the sites have no moment in common in the next %d days", int(breakSearchSpan.Hours()/24))
}

// breaks returns the breaks of each of the sites.
func (c Configuration) breaks(sites []string) []Breaks {
	r := make([]Breaks, 0, len(sites))
	for _, n := range sites {
		r = append(r, c.merged[n].breaks.V)
	}
	return r
}

// Organisation returns the name of the organisation.
func (c Configuration) Organisation() string { return c.organisation }

// Sites returns the names of the sites, sorted.
func (c Configuration) Sites() []string { return c.sites }

// Has reports whether the configuration contains the site.
func (c Configuration) Has(site string) bool {
	_, ok := c.merged[site]
	return ok
}

// Window returns the window of the sites at the time t, which states whether they
// may be changed.
func (c Configuration) Window(sites []string, t time.Time) Window {
	return CommonWindow(c.breaks(sites), t)
}

// Lines returns the values of the merged configuration of a site, each with the
// position that it comes from.
func (c Configuration) Lines(site string) []Line {
	m := c.merged[site]
	var r []Line
	if m.breaks.IsSet() {
		r = append(r, Line{"Breaks", fmt.Sprint(m.breaks.V), m.breaks.At})
	}
	for _, n := range sorted(m.services) {
		r = append(r, m.services[n].lines(n)...)
	}
	for _, n := range sorted(m.routes) {
		r = append(r, m.routes[n].lines(n)...)
	}
	for _, n := range sorted(m.accounts) {
		r = append(r, m.accounts[n].lines(n)...)
	}
	return r
}

// Diff is the change of one site's merged configuration by a submission.
type Diff struct {
	Site    string
	Added   []Line
	Removed []Line
}

// Diff returns the changes from c, which may be the zero value, to o: one Diff for
// each site whose merged configuration differs, sorted by site.
func (c Configuration) Diff(o Configuration) []Diff {
	var r []Diff
	all := slices.Concat(c.sites, o.sites)
	slices.Sort(all)
	for _, n := range slices.Compact(all) {
		a, b := c.Lines(n), o.Lines(n)
		d := Diff{Site: n, Added: difference(b, a), Removed: difference(a, b)}
		if len(d.Added)+len(d.Removed) > 0 || c.Has(n) != o.Has(n) {
			r = append(r, d)
		}
	}
	return r
}

// difference returns the lines of a whose key and value are not in b, wherever
// they come from.
func difference(a, b []Line) []Line {
	h := make(map[string]bool, len(b))
	for _, l := range b {
		h[l.Key+"\x00"+l.Value] = true
	}
	var r []Line
	for _, l := range a {
		if !h[l.Key+"\x00"+l.Value] {
			r = append(r, l)
		}
	}
	return r
}
