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

const (
	// SuspicionTimeout is how long an instance has to refute a suspicion before it
	// is taken as dead. Table.Expire multiplies it by Table.TimeoutFactor.
	SuspicionTimeout = 2 * time.Second
	// TombstoneTime is how long the record of an instance that is dead or has left
	// is kept.
	TombstoneTime = 10 * time.Minute
	// newsRecordsMax bounds the records that one call of Table.News returns.
	newsRecordsMax = 128
	// sendsPerDoubling is how often an update is sent for each doubling of the
	// number of instances.
	sendsPerDoubling = 2
	// sendsMax bounds how often a daemon sends an update. Eager dissemination
	// already delivers each update to each daemon five to six times; more sends
	// only cost bytes when many instances change, and anti-entropy by digests
	// repairs what is missed.
	sendsMax = 8

	localHealthMax        = 5 // greatest Table.localHealth
	localHealthTrustedMax = 3 // greatest local health at which a failed probe raises a suspicion
)

// entry is the state of one instance in a Table.
type entry struct {
	record    Record
	changed   time.Time // when this table last replaced the record
	sendsLeft int       // how often the record is still to be sent as news
}

// Table holds the membership of the fleet as one daemon sees it. It is not safe for
// concurrent use. The zero value is not usable; see New.
type Table struct {
	self        string
	entries     map[string]*entry
	names       []string   // of entries, sorted
	probes      int        // number of probes so far
	siteRound   probeRound // over the instances of this site
	fleetRound  probeRound // over all instances
	localHealth int        // 0 while probes succeed; greater the more of them fail
}

// New returns the table of the daemon of the instance that self describes.
func New(self Record, now time.Time) *Table {
	t := &Table{self: self.Name, entries: make(map[string]*entry)}
	t.put(self, now)
	return t
}

// Self returns the record of this daemon's own instance.
func (t *Table) Self() Record { return t.entries[t.self].record }

// SetSelf replaces the record of this daemon's own instance, at a new incarnation,
// and reports whether the record differed from r. It ignores the name, incarnation
// and health of r.
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

// put stores r and marks it to be sent as news. A record is sent sendsPerDoubling
// times for each doubling of the number of instances, up to sendsMax.
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
	e.sendsLeft = min(sendsPerDoubling*bits.Len(uint(len(t.entries))), sendsMax)
}

// Merge applies news to the table and returns the records that changed something
// that daemons act on, and the own record of this instance if its incarnation was
// raised to refute news about it. Records that arrive late, repeatedly or out of
// order change nothing. A dead record of an unknown instance is ignored, since the
// table would otherwise get it back from daemons that forget it later.
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
		if !ok && n.Health == Dead || ok && !n.supersedes(e.record) {
			continue
		}
		if !ok || e.record.Signature() != n.Signature() {
			r = append(r, n)
		}
		t.put(n, now)
	}
	return r
}

// refute raises the incarnation of this instance above that of n if n is not older
// than its own record and differs from it. It returns its own record and whether
// the incarnation was raised.
func (t *Table) refute(n Record, now time.Time) (Record, bool) {
	s := t.Self()
	if n.Incarnation < s.Incarnation || n == s {
		return s, false
	}
	s.Incarnation = n.Incarnation + 1
	t.put(s, now)
	return s, true
}

// siteProbesPerFleetProbe is the number of probes of instances of this site for
// each probe of an instance of any site.
const siteProbesPerFleetProbe = 3

// Probe returns the instance to probe next, or false if there is no other live one.
// Most probes go to instances of this site, because bytes between sites have a
// price; the others go to instances of any site, so that a site that is cut off is
// detected too. Both proceed in shuffled rounds, each of which visits every
// instance once.
func (t *Table) Probe(r *rand.Rand) (Record, bool) {
	t.probes++
	if t.probes%(siteProbesPerFleetProbe+1) > 0 {
		s := t.Self().Site
		if m, ok := t.siteRound.next(t, r, func(m Record) bool { return m.Site == s }); ok {
			return m, true
		}
	}
	return t.fleetRound.next(t, r, func(Record) bool { return true })
}

// probeRound visits instances in a random order, each once before any is visited
// again.
type probeRound struct {
	names []string
	index int
}

// next returns the next live instance other than this one that matches, or false
// if there is none.
func (o *probeRound) next(t *Table, r *rand.Rand, match func(m Record) bool) (Record, bool) {
	for range len(t.names) + len(o.names) + 1 {
		if o.index >= len(o.names) {
			o.names = slices.DeleteFunc(slices.Clone(t.names), func(n string) bool { return !match(t.entries[n].record) })
			r.Shuffle(len(o.names), func(i, j int) { o.names[i], o.names[j] = o.names[j], o.names[i] })
			o.index = 0
		}
		if len(o.names) == 0 {
			return Record{}, false
		}
		e, ok := t.entries[o.names[o.index]]
		o.index++
		if ok && e.record.Live() && e.record.Name != t.self {
			return e.record, true
		}
	}
	return Record{}, false
}

// Answered records that a probe was answered in time.
func (t *Table) Answered() { t.localHealth = max(0, t.localHealth-1) }

// Failed records that the named instance did not answer a probe at the incarnation
// i, neither directly nor through other instances, and returns the new suspicion,
// if any. When many probes fail in a row, the cause is probably this daemon: while
// it is slow, all instances look dead to it. It then raises no suspicions.
func (t *Table) Failed(name string, i uint64, now time.Time) []Record {
	e, ok := t.entries[name]
	if !ok || name == t.self || e.record.Incarnation != i || e.record.Health != Alive {
		return nil
	}
	t.localHealth = min(t.localHealth+1, localHealthMax)
	if t.localHealth > localHealthTrustedMax {
		return nil
	}
	r := e.record
	r.Health = Suspect
	t.put(r, now)
	return []Record{r}
}

// TimeoutFactor returns the factor by which to multiply the timeout of a probe. It
// is 1 while probes succeed and grows with the number of failed ones.
func (t *Table) TimeoutFactor() int { return 1 + t.localHealth }

// Expire marks the instances as dead whose suspicion was not refuted in time, and
// returns their records. It removes the records of instances that have been dead or
// left for TombstoneTime.
func (t *Table) Expire(now time.Time) []Record {
	var d []Record
	for n, e := range t.entries {
		a := now.Sub(e.changed)
		switch {
		case n == t.self:
		case e.record.Health == Suspect && a >= SuspicionTimeout*time.Duration(t.TimeoutFactor()):
			r := e.record
			r.Health = Dead
			t.put(r, now)
			d = append(d, r)
		case !e.record.Live() && a >= TombstoneTime:
			delete(t.entries, n)
			t.names = slices.DeleteFunc(t.names, func(m string) bool { return m == n })
		}
	}
	return d
}

// News returns the records to send with the next message, at most newsRecordsMax,
// and counts each as sent once more. Those with the most sends left come first.
func (t *Table) News() []Record {
	var l []*entry
	for _, e := range t.entries {
		if e.sendsLeft > 0 {
			l = append(l, e)
		}
	}
	slices.SortFunc(l, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.record.Name, b.record.Name))
	})
	l = l[:min(len(l), newsRecordsMax)]
	r := make([]Record, 0, len(l))
	for _, e := range l {
		e.sendsLeft--
		r = append(r, e.record)
	}
	return r
}

// All returns all records, sorted by name.
func (t *Table) All() []Record {
	r := make([]Record, 0, len(t.entries))
	for _, n := range t.names {
		r = append(r, t.entries[n].record)
	}
	return r
}

// Count returns the number of live instances.
func (t *Table) Count() int {
	var n int
	for _, e := range t.entries {
		if e.record.Live() {
			n++
		}
	}
	return n
}

// Live returns the records of the live instances, those that a change has to wait
// for, sorted by name.
func (t *Table) Live() []Record {
	return slices.DeleteFunc(t.All(), func(r Record) bool { return !r.Live() })
}

// Get returns the record of an instance, the time at which this table last replaced
// it, and whether the instance is known.
func (t *Table) Get(name string) (Record, time.Time, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Record{}, time.Time{}, false
	}
	return e.record, e.changed, true
}

// Buckets is the number of parts into which the names are divided for anti-entropy.
const Buckets = 16

// Digest returns a hash that is equal for two tables with the same live records.
func (t *Table) Digest() uint64 {
	var d uint64
	for _, b := range t.BucketDigests() {
		d += b
	}
	return d
}

// BucketDigests returns the digest of each bucket. A digest is the sum of the
// hashes of the live records, so that their order does not matter.
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

// Differing returns the buckets in which this table differs from a table with the
// given bucket digests.
func (t *Table) Differing(digests []uint64) []uint32 {
	var r []uint32
	for i, d := range t.BucketDigests() {
		if i >= len(digests) || digests[i] != d {
			r = append(r, uint32(i))
		}
	}
	return r
}

// RecordsIn returns the records of the given buckets, sorted by name.
func (t *Table) RecordsIn(buckets []uint32) []Record {
	var r []Record
	for _, n := range t.names {
		if slices.Contains(buckets, bucket(n)) {
			r = append(r, t.entries[n].record)
		}
	}
	return r
}

// HasNews reports whether any record is still to be sent as news.
func (t *Table) HasNews() bool {
	for _, e := range t.entries {
		if e.sendsLeft > 0 {
			return true
		}
	}
	return false
}

// bucket returns the bucket of the name.
func bucket(name string) uint32 { return uint32(xxh3.HashString(name) % Buckets) }

// RandomLive returns up to k random live instances other than this one and the one
// named skip.
func (t *Table) RandomLive(r *rand.Rand, k int, skip string) []Record {
	return t.randomMatching(r, k, func(m Record) bool { return m.Name != skip })
}

// GossipTargets returns up to k random live instances other than this one to which
// news is sent eagerly: one at another site and the rest at this site, filled up
// from the other kind if there are too few of one. Bytes between sites have a
// price, and an update that has reached a site spreads within it.
func (t *Table) GossipTargets(r *rand.Rand, k int) []Record {
	s := t.Self().Site
	l := t.randomMatching(r, k-1, func(m Record) bool { return m.Site == s })
	far := t.randomMatching(r, k-len(l), func(m Record) bool { return m.Site != s })
	if len(far) == 0 {
		return t.randomMatching(r, k, func(m Record) bool { return m.Site == s })
	}
	return append(l, far...)
}

// randomMatching returns up to k random live instances other than this one that
// match.
func (t *Table) randomMatching(r *rand.Rand, k int, match func(m Record) bool) []Record {
	if k <= 0 {
		return nil
	}
	var l []Record
	n := len(t.names)
	if n == 0 {
		return nil
	}
	// With a random start and a random step that is coprime to n, the loop visits
	// every name once in a random order without copying the names.
	i, s := r.IntN(n), coprimeStep(r, n)
	for range n {
		m := t.entries[t.names[i]].record
		if m.Live() && m.Name != t.self && match(m) {
			l = append(l, m)
		}
		if len(l) == k {
			break
		}
		i = (i + s) % n
	}
	return l
}

// coprimeStep returns a random number from 1 to n that is coprime to n.
func coprimeStep(r *rand.Rand, n int) int {
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

// Rank returns the position, from 0, of the named instance among the live instances
// of the site, or of all sites if site is empty, in the order of rendezvous hashing
// of key. It returns -1 if the instance is not live there.
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

// AtRank returns the live instance whose Rank among those of all sites is rank in
// the order of rendezvous hashing of key, or false if there is none.
func (t *Table) AtRank(key string, rank int) (Record, bool) {
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

// weight returns the rendezvous weight of name for key; the greatest comes first.
func weight(key, name string) uint64 { return xxh3.HashStringSeed(name, xxh3.HashString(key)) }
