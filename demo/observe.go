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
	probeEvery = 2 * time.Millisecond
	probeLimit = 10 * time.Second
)

// acceptances records when the platform made each version the one in force.
type acceptances struct {
	mu sync.Mutex
	at map[uint64]time.Time
}

// follow watches the head in the platform, beside the daemons.
func (a *acceptances) follow(x context.Context, s store.Store) {
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

func (a *acceptances) of(n uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at[n]
}

// firstSeen asks every daemon again and again, as a caller, until it serves a
// version above n, and returns when each was first seen to.
func firstSeen(x context.Context, m *Mesh, n uint64) []time.Time {
	x, stop := context.WithTimeout(x, probeLimit)
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

func probe(x context.Context, address string, n uint64) time.Time {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for x.Err() == nil {
		if v := versionAt(x, c, address); v > n {
			return time.Now()
		}
		t := time.NewTimer(probeEvery)
		select {
		case <-x.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return time.Time{}
}

func versionAt(x context.Context, c *http.Client, address string) uint64 {
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

// partial returns how many answers did not come from a service that the
// version they were stamped with routes them to, and how many found no route
// where it has one.
func partial(l *load, versions map[uint64]site.Configuration) (mixed, dangling int64) {
	for s, n := range l.seen {
		f, ok := versions[s.version]
		if !ok {
			mixed += int64(n)
			continue
		}
		v, err := f.Snapshot(s.site, s.version, "")
		if err != nil {
			mixed += int64(n)
			continue
		}
		k := l.kinds[s.kind]
		q, err := http.NewRequest(k.method, "http://"+k.host+k.path, nil)
		if err != nil {
			continue
		}
		t, ok := v.Match(q)
		switch {
		case ok && s.service == "":
			dangling += int64(n)
		case ok != (s.service != "") || ok && !slices.ContainsFunc(t.Targets, func(p site.Split) bool { return p.Service == s.service }):
			mixed += int64(n)
		}
	}
	return mixed, dangling
}
