package daemon

import (
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
	joinerListBackoffMax = 5 * time.Second // for parts of the fleet that met only among themselves

	watchersPerSite  = 2 // of each site
	watchTimeout     = 5 * time.Minute
	watchBackoffMin  = 100 * time.Millisecond
	watchBackoffMax  = 5 * time.Second
	rosterInterval   = 2 * time.Second
	deliveryGrace    = 500 * time.Millisecond // within which a delivery brings a new head
	rosterEntriesMax = 64
	joinPeers        = 3
	joinInterval     = 500 * time.Millisecond // between two tries to join
	aloneWait        = 3 * time.Second        // after which no instance of the rosters can be alive
	emptyRosterWait  = 300 * time.Millisecond // the same when the rosters are empty
)

// roster is the object by which the daemons of a site are found.
type roster struct {
	Instances []rosterEntry
}

type rosterEntry struct {
	Name        string
	PeerAddress string
}

// boot learns what is in force and who is there: from the platform, and while
// that does not answer from the seeds and whoever else is known.
func (d *Daemon) boot(x context.Context) {
	var w time.Duration
	r := d.random()
	for x.Err() == nil {
		t := d.now()
		l, err := d.store.List(x, controlPrefix)
		if err == nil {
			err = d.do(x, func(c *control) { c.mergeListing(l, t) })
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

// mergeListing takes in the control objects of the platform, which were asked for at
// the time t.
func (c *control) mergeListing(l store.Listing, t time.Time) {
	c.recordPlatformResult(nil)
	c.listedAt = t
	for _, o := range l.Objects {
		c.mergeObject(o)
	}
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

// forwardWatchedHead spreads a head that the platform told of, unless a delivery brings it
// to everybody anyway: then the coordinator lives, and saying it again from
// every watcher would cost more than the delivery itself.
func (c *control) forwardWatchedHead(now time.Time) {
	if c.watchedHeadAt.IsZero() || now.Sub(c.watchedHeadAt) < deliveryGrace {
		return
	}
	c.watchedHeadAt = time.Time{}
	if c.deliveredSequence < c.known.Head.Sequence {
		c.gossipRequested = true
	}
}

// mayAct tells whether this daemon may act for its site. One without known peers
// yet ranks first in its own eyes: a herd that starts at once would watch and
// write rosters as one. It waits for a random time until a peer is found or
// none can be alive, and lists once more before it does: of a herd that starts
// on an empty store, the first one writes and the others find its roster. (The
// random delay of contenders is the related paper's; docs/MEASUREMENTS.md has
// what it saves.)
func (c *control) mayAct(now time.Time) bool {
	return c.controlObjectsRead && (c.joined() || now.After(c.mayActAloneAt) && !c.listedAt.Before(c.mayActAloneAt))
}

// joinRosters gets in touch with those of the rosters that are not known to live.
// A daemon without known peers does so for itself. The watchers do so for their
// site: parts of the fleet that found each other only among themselves, after
// a herd or a cut, meet again through them.
func (c *control) joinRosters(now time.Time) {
	keeper := c.d.managed() && c.table.Rank("", "join", c.table.Self().Name) == 0
	if c.joined() && !c.watching && !keeper || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(joinInterval + time.Duration(c.random.Int64N(int64(joinInterval))))
	for _, o := range c.rosters {
		c.contactRoster(o)
	}
	if !c.joined() {
		c.contactSeeds()
		c.relist(now, listBackoffMax)
	} else if keeper {
		c.relist(now, joinerListBackoffMax) // the rosters are not watched
	}
}

// contactSeeds gets in touch with the seeds of the settings.
func (c *control) contactSeeds() {
	for _, a := range c.settings.Seeds {
		if a != c.d.settings.PeerAddress {
			c.exchange("", a, 0)
		}
	}
}

// relist lists the rosters again for a daemon without known peers: those of
// other sites may have been written since it started. It does so less and less
// often, at most every high, for it may be the only one there is.
func (c *control) relist(now time.Time, high time.Duration) {
	if !c.controlObjectsRead || now.Before(c.nextList) {
		return
	}
	c.listWait = backoff(c.random, c.listWait, listBackoffMin, high)
	c.nextList = now.Add(c.listWait)
	c.start(func(x context.Context) {
		l, err := c.d.store.List(x, controlPrefix)
		_ = c.d.do(x, func(c *control) {
			c.recordPlatformResult(err)
			if err == nil {
				c.mergeListing(l, now)
			}
		})
	})
}

func (c *control) mergeObject(o store.Object) {
	switch {
	case o.Key == change.HeadKey:
		h, err := change.DecodeHead(o.Value)
		if err == nil && c.mergeHead(h) {
			c.watchedHeadAt = c.d.now()
		}
	case strings.HasPrefix(o.Key, rosterPrefix):
		c.rosters[o.Key] = o
		c.contactRoster(o)
	}
}

// contactRoster gets in touch with some of the roster that are not known to live.
func (c *control) contactRoster(o store.Object) {
	var r roster
	if json.Unmarshal(o.Value, &r) != nil {
		return
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

// startWatch watches the platform while this daemon is one of the first of its
// site by rendezvous hashing. Nothing is handed over: two watch at a time, and
// one too many does no harm.
func (c *control) startWatch(now time.Time) {
	s := c.table.Self()
	k := c.table.Rank(s.Site, "watch", s.Name)
	// A watch is only worth its call once the others of the site are known.
	if c.d.managed() || c.watching || !c.mayAct(now) || !c.joined() && now.Before(c.mayActAloneAt.Add(aloneWait)) || k < 0 || k >= watchersPerSite {
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

// watch follows the control objects until another daemon of the site ranks
// before this one. It lists first, so that a watch that broke misses nothing.
func (d *Daemon) watch(x context.Context) {
	var w time.Duration
	r := d.random()
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

func (d *Daemon) isWatcher(x context.Context) bool {
	var k int
	err := d.do(x, func(c *control) {
		s := c.table.Self()
		k = c.table.Rank(s.Site, "watch", s.Name)
	})
	return err == nil && k >= 0 && k < watchersPerSite
}

func (d *Daemon) watchOnce(x context.Context) error {
	t := d.now()
	l, err := d.store.List(x, controlPrefix)
	if err != nil {
		return err
	}
	if err := d.do(x, func(c *control) { c.mergeListing(l, t) }); err != nil {
		return err
	}
	return d.store.Watch(x, controlPrefix, l.Revision, func(e store.Event) error {
		return d.do(x, func(c *control) { c.mergeObject(e.Object) })
	})
}

// writeRoster lets the first daemon of the site keep its roster, under the
// condition that no other daemon wrote it meanwhile.
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
	// The random part keeps daemons that boot together from colliding again.
	c.nextRosterWrite = now.Add(rosterInterval + time.Duration(c.random.Int64N(int64(rosterInterval))))
	c.start(func(x context.Context) {
		p, err := c.d.store.Put(x, k, o.Version, v)
		if err != nil {
			p, _ = c.d.store.Get(x, k)
		}
		_ = c.d.do(x, func(c *control) {
			c.recordPlatformResult(err)
			if p.Key != "" {
				c.rosters[k] = p
			}
			if result.CodeOf(err) == result.VersionConflict {
				c.nextRosterWrite = time.Time{}
				c.contactRoster(p)
				return
			}
			c.d.event(c.x, event.RosterWritten, slog.String("Key", k))
		})
	})
}

// encodeRoster returns the roster of the site as this daemon sees it.
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
