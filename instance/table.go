package instance

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Times and bounds of the protocol.
const (
	SuspicionTime   = 2 * time.Second
	ForgetTime      = 10 * time.Minute
	newsMax         = 128
	repeatPerDouble = 2
	// repeatMax bounds how often a daemon hands out a piece of news. Spreading it
	// at once tells each daemon five to six times; more only costs bytes when
	// many instances change, and digests repair what is missed.
	repeatMax = 8

	doubtMax   = 5 // of failed probes that count against this daemon
	doubtTrust = 3 // up to which its suspicions are news
)

type entry struct {
	record  Record
	changed time.Time // when health or state last changed here
	repeats int       // how often it is still handed out as news
}

// Table is what one daemon believes. One goroutine owns it; the zero value
// is not usable, see New.
type Table struct {
	self    string
	entries map[string]*entry
	names   []string // of entries, in order
	probes  int
	near    round // of probes, over the instances of this site
	all     round // over all
	doubt   int
}

// New returns the table of the instance that the record describes.
func New(self Record, now time.Time) *Table {
	t := &Table{self: self.Name, entries: make(map[string]*entry)}
	t.put(self, now)
	return t
}

// Self returns the own record.
func (t *Table) Self() Record { return t.entries[t.self].record }

// SetSelf replaces the own record, at a new incarnation if it differs.
func (t *Table) SetSelf(r Record, now time.Time) bool {
	o := t.Self()
	r.Name, r.Incarnation, r.Health = o.Name, o.Incarnation, Alive
	if r == o {
		return false
	}
	r.Incarnation++
	t.put(r, now)
	return true
}

func (t *Table) put(r Record, now time.Time) {
	e, ok := t.entries[r.Name]
	if !ok {
		e = &entry{}
		t.entries[r.Name] = e
		i, _ := slices.BinarySearch(t.names, r.Name)
		t.names = slices.Insert(t.names, i, r.Name)
	}
	e.record = r
	e.changed = now
	e.repeats = min(repeatPerDouble*bits.Len(uint(len(t.entries))), repeatMax)
}

// Merge takes in news and returns the records by which something changed that
// others act on. News that is late, repeated or crossed changes nothing. A dead record of an unknown
// instance is not taken: it would come back from daemons that forgot it last.
func (t *Table) Merge(news []Record, now time.Time) []Record {
	var r []Record
	for _, n := range news {
		if n.Name == t.self {
			if s, ok := t.refute(n, now); ok {
				r = append(r, s)
			}
			continue
		}
		e, ok := t.entries[n.Name]
		if !ok && n.Health == Dead || ok && !n.newer(e.record) {
			continue
		}
		if !ok || e.record.Signature() != n.Signature() {
			r = append(r, n)
		}
		t.put(n, now)
	}
	return r
}

// refute answers news about this instance that is worse, or newer, than what
// it says of itself with a still newer incarnation.
func (t *Table) refute(n Record, now time.Time) (Record, bool) {
	s := t.Self()
	if n.Incarnation < s.Incarnation || n == s {
		return s, false
	}
	s.Incarnation = n.Incarnation + 1
	t.put(s, now)
	return s, true
}

// nearProbes is how many probes go to instances of this site for each that goes
// to any instance.
const nearProbes = 3

// Probe returns the instance to probe next. Most are of this site, because bytes
// between sites have a price; the others are of any, so that a site that is cut
// off is found too. Both go in shuffled rounds, each instance once.
func (t *Table) Probe(r *rand.Rand) (Record, bool) {
	t.probes++
	if t.probes%(nearProbes+1) > 0 {
		s := t.Self().Site
		if m, ok := t.near.next(t, r, func(m Record) bool { return m.Site == s }); ok {
			return m, true
		}
	}
	return t.all.next(t, r, func(Record) bool { return true })
}

// round visits instances in a random order, each once before any again.
type round struct {
	names []string
	at    int
}

// next returns the next live instance other than the own one that fits.
func (o *round) next(t *Table, r *rand.Rand, fits func(m Record) bool) (Record, bool) {
	for range len(t.names) + len(o.names) + 1 {
		if o.at >= len(o.names) {
			o.names = slices.DeleteFunc(slices.Clone(t.names), func(n string) bool { return !fits(t.entries[n].record) })
			r.Shuffle(len(o.names), func(i, j int) { o.names[i], o.names[j] = o.names[j], o.names[i] })
			o.at = 0
		}
		if len(o.names) == 0 {
			return Record{}, false
		}
		e, ok := t.entries[o.names[o.at]]
		o.at++
		if ok && e.record.Live() && e.record.Name != t.self {
			return e.record, true
		}
	}
	return Record{}, false
}

// Answered notes that a probe was answered in time.
func (t *Table) Answered() { t.doubt = max(0, t.doubt-1) }

// Failed notes that the instance did not answer at the incarnation i, neither
// directly nor to others that were asked to try, and returns the suspicion as
// news. A daemon whose probes fail one after the other doubts itself first:
// while it is slow, everybody looks dead to it.
func (t *Table) Failed(name string, i uint64, now time.Time) []Record {
	e, ok := t.entries[name]
	if !ok || name == t.self || e.record.Incarnation != i || e.record.Health != Alive {
		return nil
	}
	t.doubt = min(t.doubt+1, doubtMax)
	if t.doubt > doubtTrust {
		return nil
	}
	r := e.record
	r.Health = Suspect
	t.put(r, now)
	return []Record{r}
}

// Patience returns by what to multiply the time that a probe may take.
func (t *Table) Patience() int { return 1 + t.doubt }

// Expire turns suspicions that were not refuted in time into deaths, which it
// returns, and forgets who is gone for long.
func (t *Table) Expire(now time.Time) []Record {
	var d []Record
	for n, e := range t.entries {
		a := now.Sub(e.changed)
		switch {
		case n == t.self:
		case e.record.Health == Suspect && a >= SuspicionTime*time.Duration(t.Patience()):
			r := e.record
			r.Health = Dead
			t.put(r, now)
			d = append(d, r)
		case !e.record.Live() && a >= ForgetTime:
			delete(t.entries, n)
			t.names = slices.DeleteFunc(t.names, func(m string) bool { return m == n })
		}
	}
	return d
}

// News returns the records that have been handed out least, the most urgent
// first, and counts them as handed out once more.
func (t *Table) News() []Record {
	var l []*entry
	for _, e := range t.entries {
		if e.repeats > 0 {
			l = append(l, e)
		}
	}
	slices.SortFunc(l, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.repeats, a.repeats), cmp.Compare(a.record.Name, b.record.Name))
	})
	l = l[:min(len(l), newsMax)]
	r := make([]Record, 0, len(l))
	for _, e := range l {
		e.repeats--
		r = append(r, e.record)
	}
	return r
}

// All returns every record in the order of the names.
func (t *Table) All() []Record {
	r := make([]Record, 0, len(t.entries))
	for _, n := range t.names {
		r = append(r, t.entries[n].record)
	}
	return r
}

// Count returns how many instances are live.
func (t *Table) Count() int {
	var n int
	for _, e := range t.entries {
		if e.record.Live() {
			n++
		}
	}
	return n
}

// Live returns the records that a change has to wait for.
func (t *Table) Live() []Record {
	return slices.DeleteFunc(t.All(), func(r Record) bool { return !r.Live() })
}

// Get returns the record of an instance and when it last changed.
func (t *Table) Get(name string) (Record, time.Time, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Record{}, time.Time{}, false
	}
	return e.record, e.changed, true
}

// Buckets is how many parts the names are divided into for repair.
const Buckets = 16

// Digest returns a hash that two tables share when they hold the same live
// records.
func (t *Table) Digest() uint64 {
	var d uint64
	for _, b := range t.BucketDigests() {
		d += b
	}
	return d
}

// BucketDigests returns the digest of each bucket. The order of the records
// does not matter, so that each digest is a sum.
func (t *Table) BucketDigests() []uint64 {
	d := make([]uint64, Buckets)
	var b [16]byte
	for n, e := range t.entries {
		if !e.record.Live() {
			continue
		}
		binary.LittleEndian.PutUint64(b[:8], e.record.Incarnation)
		binary.LittleEndian.PutUint64(b[8:], uint64(e.record.Health))
		d[bucket(n)] += xxh3.HashStringSeed(n, xxh3.Hash(b[:]))
	}
	return d
}

// Differing returns the buckets in which this table differs from one with the
// given digests.
func (t *Table) Differing(digests []uint64) []uint32 {
	var r []uint32
	for i, d := range t.BucketDigests() {
		if i >= len(digests) || digests[i] != d {
			r = append(r, uint32(i))
		}
	}
	return r
}

// In returns the records of the given buckets.
func (t *Table) In(buckets []uint32) []Record {
	var r []Record
	for _, n := range t.names {
		if slices.Contains(buckets, bucket(n)) {
			r = append(r, t.entries[n].record)
		}
	}
	return r
}

// Pending tells whether there is news that is still to be handed out.
func (t *Table) Pending() bool {
	for _, e := range t.entries {
		if e.repeats > 0 {
			return true
		}
	}
	return false
}

func bucket(name string) uint32 { return uint32(xxh3.HashString(name) % Buckets) }

// Some returns up to k live instances other than this one and skip, at
// random.
func (t *Table) Some(r *rand.Rand, k int, skip string) []Record {
	return t.some(r, k, func(m Record) bool { return m.Name != skip })
}

// Near returns up to k live instances other than this one for news to be sent
// to: one of another site, the others of this one while there are any. Bytes
// between sites have a price, and news that has come to a site spreads there.
func (t *Table) Near(r *rand.Rand, k int) []Record {
	s := t.Self().Site
	l := t.some(r, k-1, func(m Record) bool { return m.Site == s })
	far := t.some(r, k-len(l), func(m Record) bool { return m.Site != s })
	if len(far) == 0 {
		return t.some(r, k, func(m Record) bool { return m.Site == s })
	}
	return append(l, far...)
}

// some returns up to k live instances other than this one that fit.
func (t *Table) some(r *rand.Rand, k int, fits func(m Record) bool) []Record {
	if k <= 0 {
		return nil
	}
	var l []Record
	n := len(t.names)
	if n == 0 {
		return nil
	}
	// A random start and a random step that has no factor in common with n
	// visit every name once without a copy of them all.
	i, s := r.IntN(n), step(r, n)
	for range n {
		m := t.entries[t.names[i]].record
		if m.Live() && m.Name != t.self && fits(m) {
			l = append(l, m)
		}
		if len(l) == k {
			break
		}
		i = (i + s) % n
	}
	return l
}

func step(r *rand.Rand, n int) int {
	for {
		s := 1 + r.IntN(n)
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}

// Rank returns the place of name among the live instances of a site, or of all
// sites for an empty one, when they are ordered by rendezvous hashing of key;
// it is -1 for one that is not live there.
func (t *Table) Rank(site, key, name string) int {
	own, rank := weight(key, name), 0
	found := false
	for n, e := range t.entries {
		if !e.record.Live() || site != "" && e.record.Site != site {
			continue
		}
		if n == name {
			found = true
			continue
		}
		w := weight(key, n)
		if w > own || w == own && n < name {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// First returns the live instance of that place when all are ordered by
// rendezvous hashing of key, as Rank counts; false if there are not as many.
func (t *Table) First(key string, rank int) (Record, bool) {
	var l []Record
	for _, e := range t.entries {
		if e.record.Live() {
			l = append(l, e.record)
		}
	}
	if rank < 0 || rank >= len(l) {
		return Record{}, false
	}
	slices.SortFunc(l, func(a, b Record) int {
		return cmp.Or(cmp.Compare(weight(key, b.Name), weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return l[rank], true
}

func weight(key, name string) uint64 { return xxh3.HashStringSeed(name, xxh3.HashString(key)) }
