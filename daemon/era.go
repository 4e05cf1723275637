package daemon

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/result"
	"figwheel/store"
)

// A store that comes back from an older copy has lost what was written last, and gives
// its versions to other writes. What this daemon serves never depends on it: numbers of
// releases only grow. The daemon has to recognise which of its knowledge about the store
// no longer holds, and to write its own objects again.

// observeEra records the era of an answer of the store and reports whether the answer
// counts: one of an older era than the newest known one does not. Era 0 is that of a
// store that does not name its eras.
func (c *control) observeEra(era uint64) bool {
	first, o := !c.storeAnswered, c.storeEra
	c.storeAnswered = true
	if era == 0 || era <= o {
		return era == 0 || era == o
	}
	c.storeEra = era
	if first {
		c.restoredEra = era // what this process knows of the store is of this era
		return true
	}
	c.d.event(c.x, event.StoreRestored, slog.Uint64("Era", era), slog.Uint64("LastEra", o))
	c.nextList, c.listWait = time.Time{}, 0
	return true
}

// eraDoubtsMax is the number of answers in a row that show that the newest known era was
// odd, at which it is given up.
const eraDoubtsMax = 3

// doubtEra is called before observeEra with the era of an answer to a request that was sent
// when the newest known era was sentIn. If that still is the newest one, an answer of an
// older era cannot be late: the store's client has given the newest era up, and so does
// this daemon after eraDoubtsMax of them. Otherwise no answer would count any more.
func (c *control) doubtEra(era, sentIn uint64) {
	if era == 0 || sentIn != c.storeEra {
		return
	}
	if era >= c.storeEra {
		c.eraDoubts = 0
		return
	}
	if c.eraDoubts++; c.eraDoubts >= eraDoubtsMax {
		c.d.event(c.x, event.StoreRestored, slog.Uint64("Era", era), slog.Uint64("LastEra", c.storeEra))
		c.eraDoubts, c.storeEra, c.restoredEra = 0, era, era
	}
}

// errLate returns the error for an answer of an older era than the newest known one.
func errLate(key string, era uint64) error {
	return result.New(result.PlatformUnavailable, "late answer with %s of era %d of the store", key, era)
}

// restoreObjects writes again what the store has lost of the objects of the daemons, as
// the listing l shows, if l is the first one of its era. In a fleet with a managed
// configuration the joiner, which lists the rosters anyway, restores those of all sites;
// otherwise the watchers of each site restore its own roster, and the head.
func (c *control) restoreObjects(l store.Listing) {
	if l.Era <= c.restoredEra || !c.mayAct(c.d.now()) || c.d.isManaged() && !c.isJoiner() {
		return
	}
	c.restoredEra = l.Era
	for _, s := range c.restoredSites() {
		k := rosterPrefix + s
		o := store.Object{Key: k, Version: store.Absent}
		if slices.ContainsFunc(l.Objects, func(o store.Object) bool { return o.Key == k }) {
			o = c.rosters[k]
		}
		if v := c.encodeRoster(s); string(v) != string(o.Value) {
			c.putRoster(o, v, true)
		}
	}
	if !c.d.isManaged() {
		c.start(func(x context.Context) {
			_, _, _ = c.d.readHead(x) // restores the head; whoever writes the next one tries again
		})
	}
}

// isJoiner reports whether this daemon is the one of a fleet with a managed configuration
// that lists the rosters periodically.
func (c *control) isJoiner() bool {
	return c.d.isManaged() && c.table.Rank("", "join", c.table.Self().Name) == 0
}

// restoredSites returns the sites whose rosters this daemon restores.
func (c *control) restoredSites() []string {
	if !c.d.isManaged() {
		return []string{c.table.Self().Site}
	}
	var l []string
	for _, r := range c.table.Live() {
		l = append(l, r.Site)
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// putRoster starts to write the value of the roster o, on condition of its version.
// After a conflict it reads the roster and contacts its instances. A write with restore
// that fails is tried again after the next listing.
func (c *control) putRoster(o store.Object, value []byte, restore bool) {
	sentIn := c.storeEra
	c.start(func(x context.Context) {
		p, err := c.d.store.Put(x, o.Key, o.Version, value)
		if err != nil {
			var e error
			p, e = c.d.store.Get(x, o.Key)
			if result.CodeOf(e) == result.NotFound {
				p = store.Object{Key: o.Key, Version: store.Absent}
			}
		}
		_ = c.d.do(x, func(c *control) {
			c.doubtEra(p.Era, sentIn)
			c.rosterWritten(o.Key, p, err)
			if restore && err != nil && result.CodeOf(err) != result.VersionConflict && c.restoredEra > 0 {
				c.restoredEra--
			}
		})
	})
}

// rosterWritten records that a write of the roster with the key ended with err, and that
// the store has the roster p since, whose key is empty if it is not known.
func (c *control) rosterWritten(key string, p store.Object, err error) {
	c.recordPlatformResult(err)
	if p.Key != "" && c.observeEra(p.Era) {
		c.rosters[key] = p
	}
	if result.CodeOf(err) != result.VersionConflict {
		c.d.event(c.x, event.RosterWritten, slog.String("Key", key))
		return
	}
	c.contactRoster(p)
	if key == rosterPrefix+c.table.Self().Site {
		c.nextRosterWrite = time.Time{}
	}
}

// logOlderConfig logs that the configuration object o, with that number and hash, is
// not the one in force before it was read, and does not replace it.
func (c *control) logOlderConfig(o store.Object, number uint64, hash string, before change.Release) {
	if number > before.Number || number == before.Number && hash == before.Content {
		return
	}
	c.d.event(c.x, event.ConfigOlder, slog.String("Key", o.Key), slog.String("Revision", o.Version), slog.Uint64("Number", number), slog.Uint64("InForce", before.Number))
}

// restoreHead writes the head h again, with its contents, in place of the head in o,
// which is older although h was written before: the store has lost h.
func (d *Daemon) restoreHead(x context.Context, o store.Object, h change.Head) error {
	for _, r := range []change.Release{h.InForce, h.Proposed.Release} {
		if r.Content == "" {
			continue
		}
		k, err := d.content(x, r.Content, "", nil)
		if err != nil {
			return err
		}
		if _, err := store.PutContent(x, d.store, k.data); err != nil {
			return err
		}
	}
	return d.writeHead(x, o, h)
}
