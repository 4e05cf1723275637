package link

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// kindMeanAgeMax is how long the mean service time of a kind over the candidates is
// used again. It stands in for times that are unknown, and moves slowly.
const kindMeanAgeMax = 50 * time.Millisecond

// kindMap maps kinds of requests to values of V that are created at the first use. A
// lookup takes no lock and hashes once; kinds are few and rarely new. The zero value is
// ready to use and safe for concurrent use.
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

// of returns the value of the kind, which it creates at the first use.
func (m *kindMap[V]) of(kind string) *V {
	if v := m.get(kind); v != nil {
		return v
	}
	m.writing.Lock()
	defer m.writing.Unlock()
	if v := m.get(kind); v != nil {
		return v
	}
	n := make(map[string]*V)
	if v := m.values.Load(); v != nil {
		maps.Copy(n, *v)
	}
	n[kind] = new(V)
	m.values.Store(&n)
	return n[kind]
}

// kindMean is the mean service time of a kind over the candidates, 0 if it is unknown.
type kindMean struct {
	nanos   atomic.Int64
	takenAt Moment
}

// kindMeans holds the means by kind.
type kindMeans = kindMap[kindMean]
