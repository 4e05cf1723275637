package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/result"
	"figwheel/store"
)

const (
	controlPrefix = "control/"
	rosterPrefix  = controlPrefix + "roster-"

	bootBackoffMin = 50 * time.Millisecond
	bootBackoffMax = 3 * time.Second

	listBackoffMin       = 500 * time.Millisecond
	listBackoffMax       = 10 * time.Second
	joinerListBackoffMax = 5 * time.Second // bounds how long parts of the fleet that do not know each other stay apart

	watchersPerSite  = 2
	watchTimeout     = 5 * time.Minute
	watchBackoffMin  = 100 * time.Millisecond
	watchBackoffMax  = 5 * time.Second
	rosterInterval   = 2 * time.Second
	deliveryGrace    = 500 * time.Millisecond // for a delivery to bring a watched head before it is gossiped
	rosterEntriesMax = 64
	joinPeers        = 3
	joinIntervalMin  = 500 * time.Millisecond // least time between two attempts to join
	aloneWait        = 3 * time.Second        // if no instance of the rosters answers within it, none is alive
	emptyRosterWait  = 300 * time.Millisecond // replaces aloneWait if there are no rosters
)

// roster is the value of the platform object that lists daemons of a site, for
// others to join them.
type roster struct {
	Instances []rosterEntry
}

type rosterEntry struct {
	Name        string
	PeerAddress string
}

// boot reads the control objects from the platform: the head and the rosters. It
// retries until that succeeds or x ends, and exchanges updates with the seeds
// and known instances meanwhile.
func (d *Daemon) boot(x context.Context) {
	var w time.Duration
	r := d.newRandom()
	for x.Err() == nil {
		t := d.now()
		l, err := d.store.List(x, controlPrefix)
		if err == nil {
			read := false
			err = d.do(x, func(c *control) {
				c.mergeListing(l, t)
				read = c.controlObjectsRead
			})
			if err == nil && !read {
				err = errLate(controlPrefix, l.Era)
			}
		}
		if err == nil {
			return
		}
		_ = d.do(x, func(c *control) {
			c.recordPlatformResult(err)
			c.contactSeeds()
			c.gossip()
		})
		w = backoff(r, w, bootBackoffMin, bootBackoffMax)
		pause(x, w)
	}
}

// mergeListing merges a listing of the control objects that was requested at the
// time t, unless it is of an older era.
func (c *control) mergeListing(l store.Listing, t time.Time) {
	c.recordPlatformResult(nil)
	if !c.observeEra(l.Era) {
		return
	}
	c.listedAt = t
	for _, o := range l.Objects {
		c.mergeObject(o)
	}
	c.restoreObjects(l)
	if !c.controlObjectsRead {
		c.controlObjectsRead = true
		w := emptyRosterWait
		if len(c.rosters) > 0 {
			w = aloneWait
		}
		c.mayActAloneAt = c.d.now().Add(w + time.Duration(c.random.Int64N(int64(w))))
		c.nextList = c.mayActAloneAt
	}
	c.advance()
}

// forwardWatchedHead gossips a head that this daemon got from the platform,
// unless a delivery brings it within deliveryGrace. A delivery shows that the
// coordinator is alive and reaches all instances, and gossip by every watcher
// would cost more than the delivery itself.
func (c *control) forwardWatchedHead(now time.Time) {
	if c.watchedHeadAt.IsZero() || now.Sub(c.watchedHeadAt) < deliveryGrace {
		return
	}
	c.watchedHeadAt = time.Time{}
	if c.deliveredSequence < c.known.Head.Sequence {
		c.gossipRequested = true
	}
}

// mayAct reports whether this daemon may watch the platform and write the roster
// for its site. A daemon that knows no peers ranks first in its own table, so if
// many daemons started together, all of them would watch and write rosters at
// once. Such a daemon therefore waits until it knows a peer, or until a random
// time after which none can be alive, and lists once more before it acts: if all
// of them start on an empty store, the first one writes and the others find its
// roster. Random delays to desynchronise contenders are from the related paper;
// docs/MEASUREMENTS.md has the platform calls that they save.
func (c *control) mayAct(now time.Time) bool {
	return c.controlObjectsRead && (c.hasPeers() || now.After(c.mayActAloneAt) && !c.listedAt.Before(c.mayActAloneAt))
}

// joinRosters contacts instances of the rosters that are not known to be live. A
// daemon without known peers does so to join the fleet. The watchers of each
// site, or one joiner in a fleet with a managed configuration, do so to join
// parts of the fleet that do not know each other, as after a simultaneous start
// or a network partition.
func (c *control) joinRosters(now time.Time) {
	joiner := c.isJoiner()
	if c.hasPeers() && !c.watching && !joiner || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinIntervalMin + time.Duration(c.random.Int64N(int64(joinIntervalMin))))
	for _, o := range c.rosters {
		c.contactRoster(o)
	}
	if !c.hasPeers() {
		c.contactSeeds()
		c.relist(now, listBackoffMax)
	} else if joiner {
		c.relist(now, joinerListBackoffMax) // no daemon watches the rosters
	}
}

// contactSeeds exchanges updates with the seeds of the settings.
func (c *control) contactSeeds() {
	for _, a := range c.settings.Seeds {
		if a != c.d.settings.PeerAddress {
			c.exchange("", a, 0)
		}
	}
}

// relist lists the control objects again if the backoff since the last listing
// has passed: rosters may have been written since. The backoff grows up to high,
// because a daemon without known peers may be the only one.
func (c *control) relist(now time.Time, high time.Duration) {
	if !c.controlObjectsRead || now.Before(c.nextList) {
		return
	}
	c.listWait = backoff(c.random, c.listWait, listBackoffMin, high)
	c.nextList = now.Add(c.listWait)
	sentIn := c.storeEra
	c.start(func(x context.Context) {
		l, err := c.d.store.List(x, controlPrefix)
		_ = c.d.do(x, func(c *control) {
			c.recordPlatformResult(err)
			if err == nil {
				c.doubtEra(l.Era, sentIn)
				c.mergeListing(l, now)
			}
		})
	})
}

// mergeObject merges a control object: the head or a roster. It ignores one that cannot be
// read, which another writer may have left, and one of an older era.
func (c *control) mergeObject(o store.Object) {
	if !c.observeEra(o.Era) {
		return
	}
	switch {
	case o.Key == change.HeadKey:
		h, err := change.DecodeHead(o.Value)
		if err = cmp.Or(o.Fault, err); err != nil {
			c.logUnreadable(o, err)
			return
		}
		if c.mergeHead(h) {
			c.watchedHeadAt = c.d.now()
		}
	case strings.HasPrefix(o.Key, rosterPrefix):
		if _, err := decodeRoster(o); err != nil {
			c.logUnreadable(o, err)
			if o.Key != rosterPrefix+c.table.Self().Site {
				return
			}
			o.Value = nil // this daemon may replace it
		}
		c.rosters[o.Key] = o
		c.contactRoster(o)
	case o.Fault != nil:
		c.logUnreadable(o, o.Fault)
	}
}

// logUnreadable logs that the object o is ignored, once for each of its versions.
func (c *control) logUnreadable(o store.Object, err error) {
	s := o.Key + " " + o.Version
	if c.loggedFaults[s] || len(c.loggedFaults) >= loggedFaultsMax {
		return
	}
	c.loggedFaults[s] = true
	c.d.event(c.x, event.ObjectUnreadable, slog.String("Key", o.Key), slog.String("Version", o.Version), slog.String("Cause", err.Error()))
}

// decodeRoster returns the roster in o. Its error has the code BadAnswer.
func decodeRoster(o store.Object) (roster, error) {
	var r roster
	err := o.Fault
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	if err == nil && len(r.Instances) > rosterEntriesMax {
		err = result.New(result.BadAnswer, "%d instances, the limit is %d", len(r.Instances), rosterEntriesMax)
	}
	if err != nil {
		return roster{}, result.Wrap(result.BadAnswer, err, "roster %s", o.Key)
	}
	return r, nil
}

// contactRoster exchanges updates with up to joinPeers random instances of the
// roster in o that are not known to be live.
func (c *control) contactRoster(o store.Object) {
	r, err := decodeRoster(o)
	if err != nil {
		return // logged when it was read
	}
	s := c.table.Self()
	l := slices.DeleteFunc(r.Instances, func(e rosterEntry) bool {
		k, _, ok := c.table.Get(e.Name)
		return e.Name == s.Name || ok && k.Live()
	})
	c.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, e := range l[:min(joinPeers, len(l))] {
		c.exchange(e.Name, e.PeerAddress, 0)
	}
}

// startWatch starts to watch the platform if this daemon ranks among the first
// watchersPerSite of its site by rendezvous hashing and no watch runs yet.
// Watchers do not coordinate when ranks change: there are two, and an additional
// one does no harm.
func (c *control) startWatch(now time.Time) {
	s := c.table.Self()
	k := c.table.Rank(s.Site, "watch", s.Name)
	// A watch costs a call of the platform. It is worth that only once the other
	// instances of the site are known, and with them this daemon's rank.
	if c.d.isManaged() || c.watching || !c.mayAct(now) || !c.hasPeers() && now.Before(c.mayActAloneAt.Add(aloneWait)) || k < 0 || k >= watchersPerSite {
		return
	}
	c.watching = true
	c.start(func(x context.Context) {
		defer func() {
			_ = c.d.do(x, func(c *control) { c.watching = false })
		}()
		c.d.event(x, event.WatchStarted)
		c.d.watch(x)
		c.d.event(x, event.WatchEnded)
	})
}

// watch watches the control objects until this daemon no longer ranks among the
// watchers of its site, which it checks whenever a watch ends. Each watch lists
// first, so that no change is missed between two of them.
func (d *Daemon) watch(x context.Context) {
	var w time.Duration
	r := d.newRandom()
	for x.Err() == nil && d.isWatcher(x) {
		y, stop := context.WithTimeout(x, watchTimeout)
		err := d.watchOnce(y)
		ended := y.Err() != nil
		stop()
		if ended {
			w = 0
			continue
		}
		_ = d.do(x, func(c *control) { c.recordPlatformResult(err) })
		w = backoff(r, w, watchBackoffMin, watchBackoffMax)
		pause(x, w)
	}
}

// isWatcher reports whether this daemon ranks among the watchers of its site.
func (d *Daemon) isWatcher(x context.Context) bool {
	var k int
	err := d.do(x, func(c *control) {
		s := c.table.Self()
		k = c.table.Rank(s.Site, "watch", s.Name)
	})
	return err == nil && k >= 0 && k < watchersPerSite
}

// watchOnce lists the control objects and watches them until the watch ends.
func (d *Daemon) watchOnce(x context.Context) error {
	t := d.now()
	var sentIn uint64
	_ = d.do(x, func(c *control) { sentIn = c.storeEra })
	l, err := d.store.List(x, controlPrefix)
	if err != nil {
		return err
	}
	err = d.do(x, func(c *control) {
		c.doubtEra(l.Era, sentIn)
		c.mergeListing(l, t)
	})
	if err != nil {
		return err
	}
	return d.store.Watch(x, controlPrefix, l.Revision, func(e store.Event) error {
		return d.do(x, func(c *control) { c.mergeObject(e.Object) })
	})
}

// writeRoster writes the roster of the site if this daemon ranks first there and
// the roster has changed. The write is conditional on the version that was read
// last.
func (c *control) writeRoster(now time.Time) {
	s := c.table.Self()
	if !c.mayAct(now) || now.Before(c.nextRosterWrite) || c.table.Rank(s.Site, "roster", s.Name) != 0 {
		return
	}
	k := rosterPrefix + s.Site
	v := c.encodeRoster(s.Site)
	o := c.rosters[k]
	if string(o.Value) == string(v) {
		return
	}
	// The random part prevents daemons that start together from conflicting again.
	c.nextRosterWrite = now.Add(rosterInterval + time.Duration(c.random.Int64N(int64(rosterInterval))))
	o.Key = k
	c.putRoster(o, v, false)
}

// encodeRoster returns the encoded roster of the site: up to rosterEntriesMax of
// its live instances.
func (c *control) encodeRoster(site string) []byte {
	var r roster
	for _, m := range c.table.Live() {
		if m.Site == site && len(r.Instances) < rosterEntriesMax {
			r.Instances = append(r.Instances, rosterEntry{m.Name, m.PeerAddress})
		}
	}
	d, _ := json.Marshal(r)
	return d
}
