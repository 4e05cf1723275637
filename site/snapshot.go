package site

import (
	"net/http"
	"slices"
	"strings"

	"figwheel/result"
)

// Snapshot is what one site serves under one version. It is immutable, so
// that calls use it without locks while a newer one takes its place.
type Snapshot struct {
	number   uint64
	site     string
	content  string
	services map[string]*Service
	byHost   map[string]routes
	anyHost  routes
	limits   Limits
}

// routes are those of one host by their prefixes, each in the order in which
// they are tried. A match costs as many look-ups as the path has segments,
// however many routes there are.
type routes map[string][]Route

// Snapshot compiles the configuration of a site under the version number and
// the content hash.
func (c Configuration) Snapshot(site string, number uint64, content string) (*Snapshot, error) {
	m, ok := c.merged[site]
	if !ok {
		return nil, result.New(result.UnknownSite, "the configuration lists no site %s", site)
	}
	services := make(map[string]*Service, len(m.services))
	for n, v := range m.services {
		t := v.compile(n)
		services[n] = &t
	}
	routes := make([]Route, 0, len(m.routes))
	for _, n := range sorted(m.routes) {
		routes = append(routes, m.routes[n].compile(n))
	}
	s := newSnapshot(services, routes)
	s.number, s.site, s.content = number, site, content
	return s, nil
}

// newSnapshot returns a snapshot whose routes are in the order in which they
// are tried; of equals the one that comes first here is tried first.
func newSnapshot(services map[string]*Service, l []Route) *Snapshot {
	s := &Snapshot{services: services, byHost: make(map[string]routes), anyHost: make(routes)}
	for _, r := range l {
		r.total = totalWeight(r.Targets)
		m := s.anyHost
		if r.Host != "" {
			if m = s.byHost[r.Host]; m == nil {
				m = make(routes)
				s.byHost[r.Host] = m
			}
		}
		m[r.PathPrefix] = append(m[r.PathPrefix], r)
	}
	for _, m := range s.byHost {
		m.sort()
	}
	s.anyHost.sort()
	return s
}

func (m routes) sort() {
	for _, l := range m {
		slices.SortStableFunc(l, Route.before)
	}
}

// Number returns the version, 0 for a nil snapshot.
func (s *Snapshot) Number() uint64 {
	if s == nil {
		return 0
	}
	return s.number
}

// Content returns the hash of the content that the snapshot was compiled from.
func (s *Snapshot) Content() string { return s.content }

// Limits returns what bounds the callers' requests.
func (s *Snapshot) Limits() Limits {
	if s == nil {
		return Limits{}
	}
	return s.limits
}

// Site returns the name of the site.
func (s *Snapshot) Site() string { return s.site }

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Match returns the most specific route for a request.
func (s *Snapshot) Match(r *http.Request) (*Route, bool) {
	h := hostOnly(r.Host)
	if t := s.byHost[h].find(r); t != nil {
		return t, true
	}
	t := s.anyHost.find(r)
	return t, t != nil
}

// find looks for the longest prefix first. A prefix ends with a segment of the
// path: /hire is no prefix of /hires.
func (m routes) find(r *http.Request) *Route {
	p := r.URL.Path
	for n := len(p); n > 0; n-- {
		if n < len(p) && p[n-1] != '/' && p[n] != '/' {
			continue // within a segment
		}
		l := m[p[:n]]
		for i := range l {
			if l[i].matches(r) {
				return &l[i]
			}
		}
	}
	return nil
}

// matches tells whether the route takes the request, whose path has its prefix.
func (r *Route) matches(q *http.Request) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
		return false
	}
	for _, h := range r.Headers {
		if q.Header.Get(h.Name) != h.Value {
			return false
		}
	}
	return true
}

func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func hostOnly(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Idempotent tells whether a request may be run twice under the contract of
// the service: by its method, unless the service says otherwise.
func (s *Service) Idempotent(method, path string) bool {
	for _, o := range s.NotIdempotent {
		if (len(o.Methods) == 0 || slices.Contains(o.Methods, method)) && underPrefix(path, o.Path) {
			return false
		}
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}
