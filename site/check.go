package site

import (
	"fmt"
	"slices"
	"time"

	"figwheel/result"
)

type checker struct{ problems []Problem }

func (c *checker) fail(p Position, r result.Code, format string, a ...any) {
	c.problems = append(c.problems, Problem{Code: r, At: p, Text: fmt.Sprintf(format, a...)})
}

// Configuration is the checked configuration of every site; it is immutable.
type Configuration struct {
	organisation string
	sites        []string
	merged       map[string]merged
}

// Check decodes, merges and checks b. The problems are all there are, in the
// order of the files; the configuration is usable only without any. The time
// now is where the search for a common break starts.
func Check(b Bundle, now time.Time) (Configuration, []Problem) {
	r, base, c := check(b, func(string) bool { return true })
	if len(c.problems) == 0 {
		r.checkBreaks(now, base, &c)
	}
	return r, sortProblems(c.problems)
}

// CheckSite is Check for what one site serves: the configuration lists all
// sites and has only that one. Its cost does not grow with the sites.
func CheckSite(b Bundle, site string) (Configuration, []Problem) {
	r, _, c := check(b, func(n string) bool { return n == site })
	return r, sortProblems(c.problems)
}

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
			c.fail(o.site.At, result.DuplicateSite, "another overlay is for site %s too", o.site.V)
		}
		if len(base.sites.V) > 0 && !slices.Contains(base.sites.V, o.site.V) {
			c.fail(o.site.At, result.UnknownSite, "the base lists no site %s", o.site.V)
		}
		r[o.site.V] = o
	}
	return r
}

func (m merged) check(c *checker) {
	for _, n := range sorted(m.services) {
		m.services[n].check(n, m.site, c)
	}
	type place struct{ host, prefix string }
	same := make(map[place][]Route)
	for _, n := range sorted(m.routes) {
		r := m.routes[n]
		r.check(n, m, c)
		t := r.compile(n)
		p := place{t.Host, t.PathPrefix}
		for _, o := range same[p] {
			if t.clashes(o) {
				c.fail(r.at, result.ShadowedRoute, "route %s matches what route %s at %s matches, and neither is more specific, at site %s", n, o.Name, m.routes[o.Name].at, m.site)
			}
		}
		same[p] = append(same[p], t)
	}
}

// checkBreaks refuses breaks that would lock the supervisors out.
func (c Configuration) checkBreaks(now time.Time, b layer, k *checker) {
	w := Common(c.breaks(c.sites), now)
	if w.Open || !w.Next.IsZero() {
		return
	}
	p := b.breaks.At
	for _, n := range c.sites {
		if !b.breaks.IsSet() || c.merged[n].breaks.At != b.breaks.At {
			p = c.merged[n].breaks.At
		}
	}
	k.fail(p, result.NoCommonBreak, "the breaks of the sites have no moment in common in the next %d days", int(breakSearch.Hours()/24))
}

func (c Configuration) breaks(sites []string) []Breaks {
	r := make([]Breaks, 0, len(sites))
	for _, n := range sites {
		r = append(r, c.merged[n].breaks.V)
	}
	return r
}

// Organisation returns the name of the organisation.
func (c Configuration) Organisation() string { return c.organisation }

// Sites returns the names of the sites in order.
func (c Configuration) Sites() []string { return c.sites }

// Has tells whether the configuration lists the site.
func (c Configuration) Has(site string) bool {
	_, ok := c.merged[site]
	return ok
}

// Window tells whether the sites may be changed at the time t.
func (c Configuration) Window(sites []string, t time.Time) Window {
	return Common(c.breaks(sites), t)
}

// Lines returns the merged configuration of a site, with the source of each
// value.
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
	return r
}

// Diff is what a submission changes at one site.
type Diff struct {
	Site    string
	Added   []Line
	Removed []Line
}

// Diff returns the sites whose merged configuration differs between c, which
// may be the zero value, and o, in order.
func (c Configuration) Diff(o Configuration) []Diff {
	var r []Diff
	all := slices.Concat(c.sites, o.sites)
	slices.Sort(all)
	for _, n := range slices.Compact(all) {
		a, b := c.Lines(n), o.Lines(n)
		d := Diff{Site: n, Added: without(b, a), Removed: without(a, b)}
		if len(d.Added)+len(d.Removed) > 0 || c.Has(n) != o.Has(n) {
			r = append(r, d)
		}
	}
	return r
}

// without returns the lines of a whose key and value are not in b.
func without(a, b []Line) []Line {
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
