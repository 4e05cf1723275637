package poison

import (
	"maps"
	"time"

	"github.com/zeebo/xxh3"
)

// Fingerprint identifies requests that are the same to a worker.
type Fingerprint uint64

// Request is the part of a request that its fingerprint covers.
type Request struct {
	Method string
	Host   string
	URI    string // path and query
	Origin string // service of the worker whose daemon received the request from its caller
	Body   []byte
}

// Fingerprint returns the hash of all parts of the request.
func (r Request) Fingerprint() Fingerprint {
	h := xxh3.New()
	for _, s := range []string{r.Method, r.Host, r.URI, r.Origin} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0}) // separates the parts
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum64())
}

const (
	// RefuseLevel is the number of consecutive crashes from which a request is
	// refused: one may be chance, and a third would cost another worker.
	RefuseLevel = 2
	// RefuseTime is how long a request is refused at RefuseLevel. Each of the next
	// three levels doubles it; above them it is EntryLifetime. After that the
	// request is no longer refused, and the next worker that it is sent to may show
	// that the crashes were chance.
	RefuseTime = 30 * time.Second
	// EntryLifetime is how long an entry of a List is kept after its last change.
	EntryLifetime = 10 * time.Minute
	// suspectsMax bounds the entries of a List.
	suspectsMax = 1024
)

// Suspect is the suspicion of one request. A cleared suspect stays listed, so
// that an older suspicion that arrives late does not apply again.
type Suspect struct {
	Request Fingerprint
	Level   int // consecutive crashes
	Cleared bool
}

// supersedes reports whether s replaces o, which is about the same request.
func (s Suspect) supersedes(o Suspect) bool {
	return s.Cleared && !o.Cleared || !o.Cleared && s.Level > o.Level
}

// List is an immutable list of suspected and cleared requests. The zero value is
// empty.
type List struct {
	suspects map[Fingerprint]entry
}

type entry struct {
	Suspect
	updatedAt time.Time
}

// Empty reports whether the list has no entries. No request needs a fingerprint
// then.
func (l List) Empty() bool { return len(l.suspects) == 0 }

// Level returns the number of workers that the request crashed consecutively, 0
// if it is not suspected or was cleared.
func (l List) Level(f Fingerprint) int {
	if e := l.suspects[f]; !e.Cleared {
		return e.Level
	}
	return 0
}

// RefusedFor returns how much longer the request is refused at the time now, 0
// if it is not refused.
func (l List) RefusedFor(f Fingerprint, now time.Time) time.Duration {
	e := l.suspects[f]
	if e.Cleared || e.Level < RefuseLevel {
		return 0
	}
	t := EntryLifetime
	if n := e.Level - RefuseLevel; n < 4 {
		t = RefuseTime << n
	}
	return max(0, t-now.Sub(e.updatedAt))
}

// Get returns the entry of the request and whether there is one.
func (l List) Get(f Fingerprint) (Suspect, bool) {
	e, ok := l.suspects[f]
	return e.Suspect, ok
}

// With returns the list with the updates applied at the time now, and those of
// them that changed it. If any did, expired entries are dropped.
func (l List) With(now time.Time, updates ...Suspect) (List, []Suspect) {
	var changed []Suspect
	var m map[Fingerprint]entry
	for _, s := range updates {
		e, ok := l.suspects[s.Request]
		if m != nil {
			e, ok = m[s.Request]
		}
		if s.Level <= 0 || ok && !s.supersedes(e.Suspect) || !ok && s.Cleared {
			continue
		}
		if m == nil {
			m = l.cloneUnexpired(now)
		}
		if _, ok := m[s.Request]; ok || len(m) < suspectsMax {
			m[s.Request] = entry{s, now}
			changed = append(changed, s)
		}
	}
	if m == nil {
		return l, nil
	}
	return List{m}, changed
}

// cloneUnexpired returns a copy of the entries that are younger than
// EntryLifetime.
func (l List) cloneUnexpired(now time.Time) map[Fingerprint]entry {
	m := maps.Clone(l.suspects)
	if m == nil {
		m = make(map[Fingerprint]entry)
	}
	maps.DeleteFunc(m, func(_ Fingerprint, e entry) bool { return now.Sub(e.updatedAt) >= EntryLifetime })
	return m
}

// Unexpired returns the list without the entries that have expired at the time
// now, see EntryLifetime.
func (l List) Unexpired(now time.Time) List {
	for _, e := range l.suspects {
		if now.Sub(e.updatedAt) >= EntryLifetime {
			return List{l.cloneUnexpired(now)}
		}
	}
	return l
}

// All returns all entries, for daemons that have none yet.
func (l List) All() []Suspect {
	r := make([]Suspect, 0, len(l.suspects))
	for _, e := range l.suspects {
		r = append(r, e.Suspect)
	}
	return r
}
