package demo

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"figwheel/change"
	"figwheel/contract"
	"figwheel/site"
	"figwheel/store"
)

const (
	probeInterval = 2 * time.Millisecond
	probeTimeout  = 10 * time.Second
)

// acceptances records the time at which each version was accepted, that is, became
// the version in force of the platform's head.
type acceptances struct {
	mu sync.Mutex
	at map[uint64]time.Time
}

// watch records the acceptances until x ends. It watches the head in the
// platform itself, independently of the daemons.
func (a *acceptances) watch(x context.Context, s store.Store) {
	_ = s.Watch(x, change.HeadKey, "", func(e store.Event) error {
		n := time.Now()
		h, err := change.DecodeHead(e.Object.Value)
		if err != nil {
			return err
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if _, ok := a.at[h.InForce.Number]; !ok {
			a.at[h.InForce.Number] = n
		}
		return nil
	})
}

// timeOf returns the time at which version n was accepted, the zero time if it
// was not.
func (a *acceptances) timeOf(n uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at[n]
}

// firstServed sends requests to every daemon, as a caller does, until it serves a
// version above n, and returns the times at which daemons first did. Daemons that
// have not done so within probeTimeout are left out.
func firstServed(x context.Context, m *Mesh, n uint64) []time.Time {
	x, stop := context.WithTimeout(x, probeTimeout)
	defer stop()
	c := make(chan time.Time, len(m.Instances))
	for _, k := range m.Instances {
		go func() { c <- probe(x, k.Settings.CallAddress, n) }()
	}
	var r []time.Time
	for range m.Instances {
		if t := <-c; !t.IsZero() {
			r = append(r, t)
		}
	}
	return r
}

// probe returns the time at which the daemon at the address first answered under
// a version above n, the zero time if x ended before.
func probe(x context.Context, address string, n uint64) time.Time {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for x.Err() == nil {
		if v := servedVersion(x, c, address); v > n {
			return time.Now()
		}
		t := time.NewTimer(probeInterval)
		select {
		case <-x.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return time.Time{}
}

// servedVersion returns the version under which the daemon at the address answers
// a request, 0 if there is no answer.
func servedVersion(x context.Context, c *http.Client, address string) uint64 {
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return 0
	}
	q.Host = "observer.invalid"
	p, err := c.Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	v, _ := strconv.ParseUint(p.Header.Get(contract.VersionHeader), 10, 64)
	return v
}

// countPartial returns the number of answers that contradict the routes of the
// version that they carry: partial counts those from a service that the version
// does not route to, and those under an unknown version; dangling counts those
// without a route where the version has one.
func countPartial(l *load, versions map[uint64]site.Configuration) (partial, dangling int64) {
	for s, n := range l.observations {
		f, ok := versions[s.version]
		if !ok {
			partial += int64(n)
			continue
		}
		v, err := f.Snapshot(s.site, s.version, "")
		if err != nil {
			partial += int64(n)
			continue
		}
		k := l.kinds[s.kindIndex]
		q, err := http.NewRequest(k.method, "http://"+k.host+k.path, nil)
		if err != nil {
			continue
		}
		t, ok := v.Match(q)
		switch {
		case ok && s.service == "":
			dangling += int64(n)
		case ok != (s.service != "") || ok && !slices.ContainsFunc(t.Targets, func(p site.Split) bool { return p.Service == s.service }):
			partial += int64(n)
		}
	}
	return partial, dangling
}
