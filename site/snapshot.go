package site

import (
	"net/http"
	"slices"
	"strings"

	"figwheel/result"
)

// Snapshot is the compiled configuration of one site at one version. It is
// immutable, so calls use it without locks while a newer one replaces it.
type Snapshot struct {
	number   uint64
	site     string
	content  string
	services map[string]*Service
	byHost   map[string]routes
	anyHost  routes
	limits   Limits
	accounts []Account
	byKey    map[KeyHash]*Account
}

// routes are the routes of one host by path prefix. Those of one prefix are in the
// order in which they are tried. The number of look-ups of a match grows with the
// segments of the path, not with the routes.
type routes map[string][]Route

// Snapshot compiles the configuration of a site. The snapshot has the version
// number and the content hash that are given. The error is UnknownSite if the
// configuration does not contain the site.
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
	accounts := make([]Account, 0, len(m.accounts))
	for _, n := range sorted(m.accounts) {
		accounts = append(accounts, m.accounts[n].compile(n))
	}
	s.setAccounts(accounts)
	return s, nil
}

// newSnapshot returns a snapshot with the services and the routes l, ordered by
// comparePriority. Routes of equal priority are tried in the order of l.
func newSnapshot(services map[string]*Service, l []Route) *Snapshot {
	s := &Snapshot{services: services, byHost: make(map[string]routes), anyHost: make(routes)}
	for _, r := range l {
		r.totalWeight = totalWeight(r.Targets)
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

// sort brings the routes of each prefix into the order in which they are tried.
func (m routes) sort() {
	for _, l := range m {
		slices.SortStableFunc(l, Route.comparePriority)
	}
}

// Number returns the version number, 0 for a nil snapshot.
func (s *Snapshot) Number() uint64 {
	if s == nil {
		return 0
	}
	return s.number
}

// Content returns the hash of the content that the snapshot was compiled from.
func (s *Snapshot) Content() string { return s.content }

// Limits returns the limits of callers' requests, no limits for a nil snapshot.
func (s *Snapshot) Limits() Limits {
	if s == nil {
		return Limits{}
	}
	return s.limits
}

// Accounts returns the client accounts, which must not be modified. It returns none for
// a nil snapshot.
func (s *Snapshot) Accounts() []Account {
	if s == nil {
		return nil
	}
	return s.accounts
}

// HasAccounts reports whether requests need the key of a client account, except those
// of public routes.
func (s *Snapshot) HasAccounts() bool { return len(s.Accounts()) > 0 }

// AccountOf returns the client account that holds the key, and false if none does. Its
// time does not depend on the number of keys, nor on how much of a key is guessed: keys
// are compared by their hashes.
func (s *Snapshot) AccountOf(key string) (*Account, bool) {
	if s == nil || key == "" || len(s.byKey) == 0 {
		return nil, false
	}
	a, ok := s.byKey[HashKey(key)]
	return a, ok
}

// setAccounts sets the client accounts l, whose keys belong to one account each.
func (s *Snapshot) setAccounts(l []Account) {
	s.accounts, s.byKey = l, make(map[KeyHash]*Account, len(l))
	for i := range l {
		for _, k := range l[i].Keys {
			s.byKey[k] = &l[i]
		}
	}
}

// Site returns the name of the site.
func (s *Snapshot) Site() string { return s.site }

// Service returns the service with this name, and false if there is none.
func (s *Snapshot) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Match returns the most specific route for a request, and false if no route
// matches. Routes with the request's host come before those without a host.
func (s *Snapshot) Match(r *http.Request) (*Route, bool) {
	h := hostOnly(r.Host)
	if t := s.byHost[h].find(r); t != nil {
		return t, true
	}
	t := s.anyHost.find(r)
	return t, t != nil
}

// find returns the route to use for r, nil if none matches. It tries longer
// prefixes first. A prefix ends at the end of a path segment: /hire is not a
// prefix of /hires.
func (m routes) find(r *http.Request) *Route {
	p := r.URL.Path
	for n := len(p); n > 0; n-- {
		if n < len(p) && p[n-1] != '/' && p[n] != '/' {
			continue // the prefix would end within a segment
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

// matches reports whether the request has a method and the headers of the route.
// Its host and path prefix are known to match.
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

// underPrefix reports whether prefix is a prefix of path that ends at the end of a
// path segment.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// hostOnly returns the host h in lower case, without its port.
func hostOnly(h string) string {
	if i := strings.LastIndexByte(h, ':'); i >= 0 && !strings.HasSuffix(h, "]") {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// Idempotent reports whether a request may run more than once under the contract
// of the service: if HTTP defines its method as idempotent, and NotIdempotent
// does not list the operation.
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
