package site

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

const weightMax = 1_000_000

// Split is one of the services that a route divides its requests among.
type Split struct {
	Service string
	Weight  int
}

// Header is a request header that a route asks for.
type Header struct {
	Name  string
	Value string
}

// route is a route as one file states it, or as the files together do.
type route struct {
	at         Position
	host       Value[string]
	pathPrefix Value[string]
	methods    Value[[]string]
	headers    Value[[]Header]
	service    Value[string]
	split      Value[[]Split]
}

func (d *decoder) route(k, n *yaml.Node) route {
	r := route{at: d.at(k)}
	d.fields(n,
		d.text("Host", &r.host),
		d.text("PathPrefix", &r.pathPrefix),
		d.list("Methods", &r.methods),
		field{"Headers", func(k, v *yaml.Node) {
			r.headers = Value[[]Header]{d.headers(v), d.at(k)}
		}},
		d.text("Service", &r.service),
		field{"Split", func(k, v *yaml.Node) {
			r.split = Value[[]Split]{d.split(v), d.at(k)}
		}},
	)
	d.methods(k, r.methods)
	if r.service.IsSet() && r.split.IsSet() {
		d.fail(k, result.BadValue, "a route has Service or Split, not both")
	}
	if r.pathPrefix.IsSet() && !strings.HasPrefix(r.pathPrefix.V, "/") {
		d.problems = append(d.problems, Problem{result.BadValue, r.pathPrefix.At, "PathPrefix does not start with /"})
	}
	r.host.V = strings.ToLower(r.host.V)
	return r
}

func (d *decoder) headers(n *yaml.Node) []Header {
	var r []Header
	d.pairs(n, func(k, v *yaml.Node) {
		if s, ok := d.scalar(v); ok {
			r = append(r, Header{textproto.CanonicalMIMEHeaderKey(k.Value), s})
		}
	})
	slices.SortFunc(r, func(a, b Header) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

func (d *decoder) split(n *yaml.Node) []Split {
	var r []Split
	d.items(n, func(v *yaml.Node) {
		var s Value[string]
		var w Value[int]
		d.fields(v, d.text("Service", &s), d.number("Weight", 1, weightMax, &w))
		if !s.IsSet() || !w.IsSet() {
			d.fail(v, result.Missing, "each entry of Split has a Service and a Weight")
			return
		}
		r = append(r, Split{s.V, w.V})
	})
	return r
}

// over returns r with what it leaves open taken from b. Service and Split are
// two ways to say one thing, so that either one replaces both.
func (r route) over(b route) route {
	m := route{
		at:         b.at,
		host:       r.host.Or(b.host),
		pathPrefix: r.pathPrefix.Or(b.pathPrefix),
		methods:    r.methods.Or(b.methods),
		headers:    r.headers.Or(b.headers),
		service:    r.service,
		split:      r.split,
	}
	if !r.service.IsSet() && !r.split.IsSet() {
		m.service = b.service
		m.split = b.split
	}
	return m
}

// targets returns the services of the route, a single one with weight 1.
func (r route) targets() []Split {
	if r.service.IsSet() {
		return []Split{{r.service.V, 1}}
	}
	return r.split.V
}

func (r route) targetsAt() Position {
	if r.service.IsSet() {
		return r.service.At
	}
	return r.split.At
}

// check reports targets that the site lacks.
func (r route) check(name string, m merged, c *checker) {
	t := r.targets()
	if len(t) == 0 {
		c.fail(r.at, result.Missing, "route %s has neither Service nor Split at site %s", name, m.site)
	}
	for _, s := range t {
		if _, ok := m.services[s.Service]; !ok {
			c.fail(r.targetsAt(), result.UnknownService, "route %s leads to service %s, which site %s does not have", name, s.Service, m.site)
		}
	}
}

func (r route) compile(name string) Route {
	t := Route{
		Name:       name,
		Host:       r.host.V,
		PathPrefix: r.pathPrefix.V,
		Methods:    r.methods.V,
		Headers:    r.headers.V,
		Targets:    r.targets(),
	}
	if t.PathPrefix == "" {
		t.PathPrefix = "/"
	}
	return t
}

func totalWeight(l []Split) int {
	n := 0
	for _, s := range l {
		n += s.Weight
	}
	return n
}

func (r route) lines(name string) []Line {
	l := lister{prefix: "Routes." + name + "."}
	add(&l, "Host", r.host)
	add(&l, "PathPrefix", r.pathPrefix)
	add(&l, "Methods", r.methods)
	add(&l, "Headers", r.headers)
	add(&l, "Service", r.service)
	add(&l, "Split", r.split)
	return l.lines
}

// Route is one compiled route of a site. What a route leaves at zero follows
// from the contract of its service.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Methods    []string `json:",omitempty"`
	Headers    []Header `json:",omitempty"`
	Targets    []Split
	Repeat     Repeat        // whether its requests may run more than once
	Timeout    time.Duration // longest time that a request is kept waiting
	Goal       time.Duration // time in which an answer is worth most
	Attempts   int           // workers that one request may be sent to
	Rank       int           // 0 is the most important
	Closed     result.Code   `json:",omitempty"` // why its requests are rejected, 0 if they are not
	total      int
}

// WithClosed returns the route closed for the reason c, without targets.
func (r Route) WithClosed(c result.Code) Route {
	r.Closed = c
	r.Targets = nil
	return r
}

// fault returns why the route cannot be compiled beside the services, or nil.
func (r Route) fault(services map[string]bool) *result.Error {
	for _, p := range r.Targets {
		if !services[p.Service] {
			return result.New(result.UnknownService, "route %s leads to service %q, which the configuration does not have", r.Name, p.Service)
		}
		if p.Weight < 0 || p.Weight > weightMax {
			return result.New(result.OutOfRange, "route %s has the weight %d", r.Name, p.Weight)
		}
	}
	if totalWeight(r.Targets) == 0 {
		return result.New(result.Missing, "route %s leads nowhere", r.Name)
	}
	return nil
}

// Repeat tells whether the requests of a route may run more than once.
type Repeat int

// Repeats: as the service's contract says, freely, or never.
const (
	RepeatByService Repeat = iota
	RepeatAllowed
	RepeatForbidden
)

// Pick returns the service for a random number n, of any size; empty for a
// closed route.
func (r Route) Pick(n uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if r.total == 0 {
		return ""
	}
	i := int(n % uint64(r.total))
	for _, t := range r.Targets {
		if i < t.Weight {
			return t.Service
		}
		i -= t.Weight
	}
	return ""
}

// before tells whether r is tried before o: a host before none, then the
// longer prefix, then methods before none, then more headers.
func (r Route) before(o Route) int {
	return cmp.Or(
		cmp.Compare(min(len(o.Host), 1), min(len(r.Host), 1)),
		cmp.Compare(len(o.PathPrefix), len(r.PathPrefix)),
		cmp.Compare(min(len(o.Methods), 1), min(len(r.Methods), 1)),
		cmp.Compare(len(o.Headers), len(r.Headers)),
	)
}

// clashes tells whether some request matches both routes with neither of them
// being more specific, so that the choice would be an accident.
func (r Route) clashes(o Route) bool {
	if r.Host != o.Host || r.PathPrefix != o.PathPrefix || r.before(o) != 0 {
		return false
	}
	if len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) }) {
		return false
	}
	for _, h := range r.Headers {
		for _, g := range o.Headers {
			if h.Name == g.Name && h.Value != g.Value {
				return false
			}
		}
	}
	return true
}

func (r Route) String() string {
	return fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.PathPrefix)
}
