package site

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"figwheel/result"
)

// Finding is one thing that is wrong with a configuration, or is unlikely to be meant.
type Finding struct {
	Code  result.Code
	Entry string // such as "route r"
	Text  string
	Error bool // whether part of the configuration cannot be served as written
}

// String returns the finding on one line.
func (f Finding) String() string {
	k := "warning"
	if f.Error {
		k = "error"
	}
	return fmt.Sprintf("%s: %s: %s: %s", k, f.Entry, f.Code, f.Text)
}

const (
	// quotaWindow is the shortest time in which a client account is expected to send a
	// request: one whose quota admits less is as good as shut out.
	quotaWindow = 5 * time.Second
	// headerBytesMin is the least limit of headers in which common requests fit.
	headerBytesMin = 1 << 10
	// attemptTimeMin is the least time for one attempt at a worker.
	attemptTimeMin = 5 * time.Millisecond
)

// findings collects what is found in a table.
type findings []Finding

func (l *findings) fail(c result.Code, entry, format string, a ...any) {
	*l = append(*l, Finding{c, entry, fmt.Sprintf(format, a...), true})
}

func (l *findings) warn(c result.Code, entry, format string, a ...any) {
	*l = append(*l, Finding{c, entry, fmt.Sprintf(format, a...), false})
}

// Findings returns what is wrong with the table: entries that cannot be served, that no
// request can reach, and limits that contradict each other. Errors come first. Routes that
// are closed already are left to whoever closed them.
func (t Table) Findings() []Finding {
	var l findings
	services := t.checkServices(&l)
	r := t
	r.Accounts = nil // checkAccounts reports their faults, by account
	_, faults := r.CloseFaulty()
	for _, f := range faults {
		l = append(l, FindingOf("routes", f))
	}
	for _, r := range t.Routes {
		if r.Closed == 0 {
			r.checkTargets(&l)
			r.checkTimes(services, &l)
		}
		r.checkMatch(&l)
	}
	t.checkShadows(&l)
	t.checkLimits(&l)
	t.checkAccounts(&l)
	slices.SortStableFunc(l, func(a, b Finding) int {
		if a.Error != b.Error && a.Error {
			return -1
		}
		if a.Error != b.Error {
			return 1
		}
		return cmp.Compare(a.Entry, b.Entry)
	})
	return l
}

// FindingOf returns the finding that err, which has a code, makes of the entry.
func FindingOf(entry string, err error) Finding {
	c := result.CodeOf(err)
	return Finding{c, entry, strings.TrimPrefix(err.Error(), c.String()+": "), true}
}

// checkServices returns the services by name.
func (t Table) checkServices(l *findings) map[string]Service {
	m := make(map[string]Service, len(t.Services))
	used := make(map[string]bool)
	for _, r := range t.Routes {
		for _, p := range r.Targets {
			used[p.Service] = true
		}
	}
	for _, s := range t.Services {
		e := "service " + s.Name
		if _, ok := m[s.Name]; ok {
			l.fail(result.DuplicateKey, e, "it is defined twice; the last definition counts")
		}
		m[s.Name] = s
		if !used[s.Name] {
			l.warn(result.Missing, e, "no route leads to it")
		}
	}
	return m
}

// checkTargets looks for services of the route that get no requests.
func (r Route) checkTargets(l *findings) {
	seen := make(map[string]bool)
	for _, p := range r.Targets {
		if p.Weight == 0 && len(r.Targets) > 1 {
			l.warn(result.OutOfRange, "route "+r.Name, "service %s has the weight 0 and gets no requests", p.Service)
		}
		if seen[p.Service] {
			l.warn(result.DuplicateKey, "route "+r.Name, "service %s is listed twice; its weights add up", p.Service)
		}
		seen[p.Service] = true
	}
}

// checkTimes looks for times of the route that contradict each other, or those of its
// services.
func (r Route) checkTimes(services map[string]Service, l *findings) {
	e := "route " + r.Name
	if r.Goal > 0 && r.Timeout > 0 && r.Goal > r.Timeout {
		l.warn(result.OutOfRange, e, "its goal of %s is over its timeout of %s", r.Goal, r.Timeout)
	}
	limited := r.Timeout > 0
	for _, p := range r.Targets {
		d := services[p.Service].Deadline
		limited = limited || d > 0
		if d > 0 && r.Timeout > d {
			l.warn(result.OutOfRange, e, "its timeout of %s is over the deadline of service %s, %s, which counts", r.Timeout, p.Service, d)
		}
		if d > 0 && r.Goal > d {
			l.warn(result.OutOfRange, e, "its goal of %s is over the deadline of service %s, %s", r.Goal, p.Service, d)
		}
	}
	switch {
	case r.Attempts < 0:
		l.fail(result.OutOfRange, e, "%d attempts", r.Attempts)
	case r.Attempts > 1 && !limited:
		l.warn(result.Missing, e, "%d attempts without a timeout of the route or a deadline of its services", r.Attempts)
	case r.Attempts > 1 && r.Timeout > 0 && r.Timeout/time.Duration(r.Attempts) < attemptTimeMin:
		l.warn(result.OutOfRange, e, "%d attempts in a timeout of %s leave less than %s for each", r.Attempts, r.Timeout, attemptTimeMin)
	}
}

// checkMatch looks for a host or prefix that no request has.
func (r Route) checkMatch(l *findings) {
	e := "route " + r.Name
	if r.Host != hostOnly(r.Host) || strings.ToLower(r.Host) != r.Host || strings.ContainsAny(r.Host, "/ *") {
		l.warn(result.BadValue, e, "no request has the host %q: hosts are in lower case, without a port and without patterns", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		l.fail(result.BadValue, e, "no path begins with the prefix %q", r.PathPrefix)
	}
}

// checkShadows looks for routes whose requests all match another route first.
func (t Table) checkShadows(l *findings) {
	s := newSnapshot(nil, t.Routes)
	for _, m := range append([]routes{s.anyHost}, sortedRoutes(s.byHost)...) {
		for _, p := range sorted(m) {
			for i, r := range m[p] {
				if j := slices.IndexFunc(m[p][:i], func(o Route) bool { return o.covers(r) }); j >= 0 {
					l.fail(result.ShadowedRoute, "route "+r.Name, "it can never match: route %s has the same host %q and prefix %q and takes all its requests", m[p][j].Name, r.Host, p)
				}
			}
		}
	}
}

// sortedRoutes returns the routes of all hosts in the order of the hosts.
func sortedRoutes(m map[string]routes) []routes {
	var l []routes
	for _, h := range sorted(m) {
		l = append(l, m[h])
	}
	return l
}

// covers reports whether r matches each request that o matches, if both have the same
// host and prefix.
func (r Route) covers(o Route) bool {
	if len(r.Methods) > 0 && (len(o.Methods) == 0 || slices.ContainsFunc(o.Methods, func(m string) bool { return !slices.Contains(r.Methods, m) })) {
		return false
	}
	return !slices.ContainsFunc(r.Headers, func(h Header) bool { return !slices.Contains(o.Headers, h) })
}

// checkLimits looks for limits of callers that no request can keep.
func (t Table) checkLimits(l *findings) {
	m := t.Limits
	if m.HeaderBytes < 0 || m.BodyBytes < 0 || m.HeaderTime < 0 || m.IdleTime < 0 {
		l.fail(result.OutOfRange, "limits", "a limit is negative")
	}
	if m.HeaderBytes > 0 && m.HeaderBytes < headerBytesMin {
		l.warn(result.OutOfRange, "limits", "headers of %d bytes are too small for common requests, which need %d", m.HeaderBytes, headerBytesMin)
	}
	if m.IdleTime > 0 && m.HeaderTime > m.IdleTime {
		l.warn(result.OutOfRange, "limits", "callers may take %s for headers, but are idle after %s", m.HeaderTime, m.IdleTime)
	}
}

// checkAccounts looks for client accounts that nobody can use, or whose quotas admit
// next to nothing.
func (t Table) checkAccounts(l *findings) {
	names := make(map[string]bool)
	holders := make(map[KeyHash]string)
	for _, a := range t.Accounts {
		e := "account " + a.Name
		if a.Name == "" || names[a.Name] {
			l.fail(result.DuplicateKey, e, "its name is empty or that of another account")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			l.warn(result.Missing, e, "it has no key, so that no caller belongs to it")
		}
		for _, k := range a.Keys {
			if o, ok := holders[k]; ok {
				l.fail(result.DuplicateKey, e, "one of its keys is also a key of account %s", o)
			}
			holders[k] = a.Name
		}
		switch {
		case a.Rate < 0 || a.Burst < 0:
			l.fail(result.OutOfRange, e, "its rate or burst is negative")
		case a.Rate == 0 && a.Burst > 0:
			l.warn(result.OutOfRange, e, "its burst of %g has no effect without a rate", a.Burst)
		case a.Rate > 0 && a.Rate*quotaWindow.Seconds() < 1:
			l.warn(result.OutOfRange, e, "its rate of %g a second admits less than one request in %s", a.Rate, quotaWindow)
		}
		if a.Rate > 0 && a.Burst >= 0 && a.Burst < 1 {
			l.warn(result.OutOfRange, e, "its burst of %g is below one request", a.Burst)
		}
	}
}

// Tables returns the configuration of each site as a table, by site.
func (c Configuration) Tables() map[string]Table {
	r := make(map[string]Table, len(c.merged))
	for n, m := range c.merged {
		var t Table
		for _, s := range sorted(m.services) {
			t.Services = append(t.Services, m.services[s].compile(s))
		}
		for _, s := range sorted(m.routes) {
			t.Routes = append(t.Routes, m.routes[s].compile(s))
		}
		r[n] = t
	}
	return r
}

// Change is one value that differs between two tables. Old or New is empty if the value
// is not in that table.
type Change struct{ Key, Old, New string }

// Changes returns what differs from the table o in t, ordered by key. It shows keys of
// accounts by the start of their hashes.
func (t Table) Changes(o Table) []Change {
	a, b := o.values(), t.values()
	var l []Change
	for k, v := range a {
		if b[k] != v {
			l = append(l, Change{k, v, b[k]})
		}
	}
	for k, v := range b {
		if _, ok := a[k]; !ok {
			l = append(l, Change{k, "", v})
		}
	}
	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return l
}

// keyShownBytes is how much of the hash of a key is shown, in bytes.
const keyShownBytes = 4

// values returns the entries of the table by name, each as text.
func (t Table) values() map[string]string {
	m := map[string]string{"Number": fmt.Sprint(t.Number), "Limits": fmt.Sprintf("%+v", t.Limits)}
	for _, s := range t.Services {
		m["Services."+s.Name] = fmt.Sprintf("%+v", s)
	}
	for _, r := range t.Routes {
		m["Routes."+r.Host+r.PathPrefix+" "+r.Name] = fmt.Sprintf("to %v, methods %v, headers %v, repeat %d, timeout %s, goal %s, attempts %d, rank %d, closed %d", r.Targets, r.Methods, r.Headers, r.Repeat, r.Timeout, r.Goal, r.Attempts, r.Rank, r.Closed)
	}
	for _, a := range t.Accounts {
		rank := "of the route"
		if a.Rank != nil {
			rank = fmt.Sprint(*a.Rank)
		}
		m["Accounts."+a.Name] = fmt.Sprintf("rate %g, burst %g, rank %s", a.Rate, a.Burst, rank)
		for _, k := range a.Keys {
			m[fmt.Sprintf("Accounts.%s.Keys.%x", a.Name, k[:keyShownBytes])] = "held"
		}
	}
	return m
}
