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

// Split is one of the services among which a route distributes its requests, in
// proportion to their weights.
type Split struct {
	Service string
	Weight  int
}

// Header is a request header that a request needs to match a route.
type Header struct {
	Name  string
	Value string
}

// route is a route as one file defines it, or as merged from base and overlay.
type route struct {
	at         Position
	host       Value[string]
	pathPrefix Value[string]
	methods    Value[[]string]
	headers    Value[[]Header]
	service    Value[string]
	split      Value[[]Split]
	public     Value[bool]
}

// route decodes the route with key k and value n.
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
		d.boolean("Public", &r.public),
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

// headers decodes a mapping of header names to values, sorted by name.
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

// split decodes a list of services with weights.
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

// mergedOver returns r with its position and its unset values taken from b. Service
// and Split are alternatives, so setting either one replaces both.
func (r route) mergedOver(b route) route {
	m := route{
		at:         b.at,
		host:       r.host.Or(b.host),
		pathPrefix: r.pathPrefix.Or(b.pathPrefix),
		methods:    r.methods.Or(b.methods),
		headers:    r.headers.Or(b.headers),
		service:    r.service,
		split:      r.split,
		public:     r.public.Or(b.public),
	}
	if !r.service.IsSet() && !r.split.IsSet() {
		m.service = b.service
		m.split = b.split
	}
	return m
}

// targets returns the services of the route with their weights. A route with
// Service has a single target with weight 1.
func (r route) targets() []Split {
	if r.service.IsSet() {
		return []Split{{r.service.V, 1}}
	}
	return r.split.V
}

// targetsPosition returns the position of Service or Split.
func (r route) targetsPosition() Position {
	if r.service.IsSet() {
		return r.service.At
	}
	return r.split.At
}

// check reports a route without targets, and targets that the site does not have.
func (r route) check(name string, m merged, c *checker) {
	t := r.targets()
	if len(t) == 0 {
		c.fail(r.at, result.Missing, "route %s has neither Service nor Split at site %s", name, m.site)
	}
	for _, s := range t {
		if _, ok := m.services[s.Service]; !ok {
			c.fail(r.targetsPosition(), result.UnknownService, "route %s leads to service %s, which site %s does not have", name, s.Service, m.site)
		}
	}
}

// compile returns the compiled route. The default of PathPrefix is /.
func (r route) compile(name string) Route {
	t := Route{
		Name:       name,
		Host:       r.host.V,
		PathPrefix: r.pathPrefix.V,
		Methods:    r.methods.V,
		Headers:    r.headers.V,
		Targets:    r.targets(),
		Public:     r.public.V,
	}
	if t.PathPrefix == "" {
		t.PathPrefix = "/"
	}
	return t
}

// totalWeight returns the sum of the weights in l.
func totalWeight(l []Split) int {
	n := 0
	for _, s := range l {
		n += s.Weight
	}
	return n
}

// lines returns the values of the route that are set, one line for each.
func (r route) lines(name string) []Line {
	l := lineList{prefix: "Routes." + name + "."}
	addLine(&l, "Host", r.host)
	addLine(&l, "PathPrefix", r.pathPrefix)
	addLine(&l, "Methods", r.methods)
	addLine(&l, "Headers", r.headers)
	addLine(&l, "Service", r.service)
	addLine(&l, "Split", r.split)
	addLine(&l, "Public", r.public)
	return l.lines
}

// Route is one compiled route of a site. If Timeout or Repeat is zero, the contract
// of its service applies.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Methods     []string `json:",omitempty"`
	Headers     []Header `json:",omitempty"`
	Targets     []Split
	Repeat      Repeat        // whether its requests may run more than once
	Timeout     time.Duration // maximum time that a request may take
	Goal        time.Duration // latency target of a request, 0 is none
	Attempts    int           // maximum number of workers that one request is sent to, 0 is the default of package caller
	Rank        int           // priority in admission, 0 is the most important
	Public      bool          `json:",omitempty"` // whether its requests need no key of a client account
	Closed      result.Code   `json:",omitempty"` // reason for which its requests are rejected, 0 if they are not
	totalWeight int
}

// WithClosed returns the route without targets and closed for the reason c.
func (r Route) WithClosed(c result.Code) Route {
	r.Closed = c
	r.Targets = nil
	return r
}

// compileError returns the reason why the route cannot be compiled with the given
// services, or nil.
func (r Route) compileError(services map[string]bool) *result.Error {
	for _, p := range r.Targets {
		if !services[p.Service] {
			return result.New(result.UnknownService, "route %s leads to service %q, which the configuration does not have", r.Name, p.Service)
		}
		if p.Weight < 0 || p.Weight > weightMax {
			return result.New(result.OutOfRange, "route %s has a weight of %d, which is out of range", r.Name, p.Weight)
		}
	}
	if totalWeight(r.Targets) == 0 {
		return result.New(result.Missing, "route %s has no target with a weight above 0", r.Name)
	}
	return nil
}

// Repeat states whether the requests of a route may run more than once.
type Repeat int

// The values of Repeat.
const (
	RepeatByService Repeat = iota // as the contract of the service states
	RepeatAllowed                 // all requests
	RepeatForbidden               // no requests
)

// Pick returns the service chosen by the random number n, which may be of any
// size. It returns an empty string for a closed route.
func (r Route) Pick(n uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if r.totalWeight == 0 {
		return ""
	}
	i := int(n % uint64(r.totalWeight))
	for _, t := range r.Targets {
		if i < t.Weight {
			return t.Service
		}
		i -= t.Weight
	}
	return ""
}

// comparePriority returns a negative number if r is tried before o, a positive one
// if it is tried after o, and 0 if neither is more specific. A route with a host
// comes before one without, then a longer prefix, then a route with methods
// before one without, then more headers.
func (r Route) comparePriority(o Route) int {
	return cmp.Or(
		cmp.Compare(min(len(o.Host), 1), min(len(r.Host), 1)),
		cmp.Compare(len(o.PathPrefix), len(r.PathPrefix)),
		cmp.Compare(min(len(o.Methods), 1), min(len(r.Methods), 1)),
		cmp.Compare(len(o.Headers), len(r.Headers)),
	)
}

// conflictsWith reports whether some request can match both routes while neither
// is more specific, so that the choice between them would be arbitrary.
func (r Route) conflictsWith(o Route) bool {
	if r.Host != o.Host || r.PathPrefix != o.PathPrefix || r.comparePriority(o) != 0 {
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

// String returns the name, the host and the path prefix.
func (r Route) String() string {
	return fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.PathPrefix)
}
