package link

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// kindTableAgeMax is how long a kindTable is used again. It is short beside the times
// between the reports of an instance.
const kindTableAgeMax = 50 * time.Millisecond

// kindsMax bounds the kinds in a kindMap. An instance outlives many configurations, each of
// which may have routes of its own.
const kindsMax = 1024

// kindMap maps kinds of requests to values of V that are created at the first use. A
// lookup takes no lock and hashes once; kinds are few and rarely new. Of kinds beyond
// kindsMax nothing is kept. The zero value is ready to use and safe for concurrent use.
type kindMap[V any] struct {
	values  atomic.Pointer[map[string]*V] // immutable
	writing sync.Mutex
}

// get returns the value of the kind, nil if there is none.
func (m *kindMap[V]) get(kind string) *V {
	if v := m.values.Load(); v != nil {
		return (*v)[kind]
	}
	return nil
}

// of returns the value of the kind, which it creates at the first use, or one that is not
// kept if there are kindsMax others.
func (m *kindMap[V]) of(kind string) *V {
	if v := m.get(kind); v != nil {
		return v
	}
	m.writing.Lock()
	defer m.writing.Unlock()
	if v := m.get(kind); v != nil {
		return v
	}
	if v := m.values.Load(); v != nil && len(*v) >= kindsMax {
		return new(V)
	}
	n := make(map[string]*V)
	if v := m.values.Load(); v != nil {
		maps.Copy(n, *v)
	}
	n[kind] = new(V)
	m.values.Store(&n)
	return n[kind]
}

// kindTable holds what candidates have of one kind: the mean service time over all of
// them, 0 if it is unknown, and where each one keeps its own.
type kindTable struct {
	nanos   atomic.Int64
	takenAt Moment
	stats   atomic.Pointer[[]atomic.Pointer[kindStats]] // by position of the candidate; filled as they are known
}

// statsOf returns the places for the statistics of the kind at each of n candidates, which
// knownStats fills.
func (t *kindTable) statsOf(n int) []atomic.Pointer[kindStats] {
	if s := t.stats.Load(); s != nil {
		return *s
	}
	s := make([]atomic.Pointer[kindStats], n)
	if !t.stats.CompareAndSwap(nil, &s) {
		return *t.stats.Load()
	}
	return s
}

// knownStats returns the statistics of the kind at k, nil if it has none. It remembers
// them in s.
func knownStats(s *atomic.Pointer[kindStats], k *Candidate, kind string) *kindStats {
	v := s.Load()
	if v == nil {
		if v = k.Peer.kinds.get(kind); v != nil {
			s.Store(v)
		}
	}
	return v
}
