package poison

import (
	"maps"
	"time"

	"github.com/zeebo/xxh3"
)

// Fingerprint names requests that are the same to a worker.
type Fingerprint uint64

// Request is what a worker sees of a request.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Origin string // service that the request came from
	Body   []byte
}

// Fingerprint returns the name of the request.
func (r Request) Fingerprint() Fingerprint {
	h := xxh3.New()
	for _, s := range []string{r.Method, r.Host, r.URI, r.Origin} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0}) // no part runs into the next
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum64())
}

const (
	// RefuseLevel is the number of crashes, one after the other, from which a
	// request is refused: once may be chance, and a third worker is one too many.
	RefuseLevel = 2
	// RefuseTime is how long it is refused at that level, twice as long at each
	// further one. Then one worker may show whether it was chance after all.
	RefuseTime = 30 * time.Second
	// KeepTime is how long a suspicion or its clearing counts after its last news.
	KeepTime = 10 * time.Minute
	// suspectsMax bounds the requests that are remembered.
	suspectsMax = 1024
)

// Suspect is what is known of one request. A cleared one stays listed, so that
// an older suspicion that arrives late finds it cleared.
type Suspect struct {
	Request Fingerprint
	Level   int // crashes one after the other
	Cleared bool
}

// news tells whether s says more than o about the same request.
func (s Suspect) news(o Suspect) bool {
	return s.Cleared && !o.Cleared || !o.Cleared && s.Level > o.Level
}

// List is the requests that are suspected. It is immutable; the zero value has
// none.
type List struct {
	suspects map[Fingerprint]entry
}

type entry struct {
	Suspect
	since time.Time
}

// Empty tells whether no request is suspected, for which most requests need no
// fingerprint.
func (l List) Empty() bool { return len(l.suspects) == 0 }

// Level returns how many workers the request crashed one after the other; 0 if
// it was cleared.
func (l List) Level(f Fingerprint) int {
	if e := l.suspects[f]; !e.Cleared {
		return e.Level
	}
	return 0
}

// Refuses returns for how long the request is still refused at now.
func (l List) Refuses(f Fingerprint, now time.Time) time.Duration {
	e := l.suspects[f]
	if e.Cleared || e.Level < RefuseLevel {
		return 0
	}
	t := KeepTime
	if n := e.Level - RefuseLevel; n < 4 {
		t = RefuseTime << n
	}
	return max(0, t-now.Sub(e.since))
}

// Get returns what is known of a request.
func (l List) Get(f Fingerprint) (Suspect, bool) {
	e, ok := l.suspects[f]
	return e.Suspect, ok
}

// With returns the list with news taken in at now, and which of it was news.
// Old entries are left out.
func (l List) With(now time.Time, news ...Suspect) (List, []Suspect) {
	var fresh []Suspect
	var m map[Fingerprint]entry
	for _, s := range news {
		e, ok := l.suspects[s.Request]
		if m != nil {
			e, ok = m[s.Request]
		}
		if s.Level <= 0 || ok && !s.news(e.Suspect) || !ok && s.Cleared {
			continue
		}
		if m == nil {
			m = l.recent(now)
		}
		if _, ok := m[s.Request]; ok || len(m) < suspectsMax {
			m[s.Request] = entry{s, now}
			fresh = append(fresh, s)
		}
	}
	if m == nil {
		return l, nil
	}
	return List{m}, fresh
}

// recent returns a copy without what was heard long ago.
func (l List) recent(now time.Time) map[Fingerprint]entry {
	m := maps.Clone(l.suspects)
	if m == nil {
		m = make(map[Fingerprint]entry)
	}
	maps.DeleteFunc(m, func(_ Fingerprint, e entry) bool { return now.Sub(e.since) >= KeepTime })
	return m
}

// Recent returns the list without what was heard long ago.
func (l List) Recent(now time.Time) List {
	for _, e := range l.suspects {
		if now.Sub(e.since) >= KeepTime {
			return List{l.recent(now)}
		}
	}
	return l
}

// All returns what is known, for those who know nothing yet.
func (l List) All() []Suspect {
	r := make([]Suspect, 0, len(l.suspects))
	for _, e := range l.suspects {
		r = append(r, e.Suspect)
	}
	return r
}
