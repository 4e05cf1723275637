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
	"figwheel/platform"
	"figwheel/result"
)

const (
	controlPrefix = "control/"
	rosterPrefix  = controlPrefix + "roster/"

	bootWaitMin = 50 * time.Millisecond
	bootWaitMax = 3 * time.Second

	watchers       = 2 // of each site
	watchTime      = 5 * time.Minute
	watchWaitMin   = 100 * time.Millisecond
	watchWaitMax   = 5 * time.Second
	rosterTime     = 2 * time.Second
	rosterNamesMax = 64
	joinPeers      = 3
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
		l, err := d.store.List(x, controlPrefix)
		if err == nil {
			err = d.do(x, func(c *control) { c.listed(l) })
		}
		if err == nil {
			return
		}
		_ = d.do(x, func(c *control) {
			c.platformAnswered(err)
			for _, a := range c.d.settings.Seeds {
				if a != c.d.settings.PeerAddress {
					c.exchange("", a, 0)
				}
			}
			c.spreadNews()
		})
		w = backoff(r, w, bootWaitMin, bootWaitMax)
		pause(x, w)
	}
}

// listed takes in the control objects of the platform.
func (c *control) listed(l platform.Listing) {
	c.platformAnswered(nil)
	c.platformUp = true
	for _, o := range l.Objects {
		c.object(o)
	}
	c.advance()
}

func (c *control) object(o platform.Object) {
	switch {
	case o.Key == change.HeadKey:
		h, err := change.DecodeHead(o.Value)
		if err == nil && c.observe(h) {
			c.eager = true
		}
	case strings.HasPrefix(o.Key, rosterPrefix):
		c.rosters[o.Key] = o
		c.join(o)
	}
}

// join gets in touch with some of the roster if nobody in it is known yet.
func (c *control) join(o platform.Object) {
	var r roster
	if json.Unmarshal(o.Value, &r) != nil {
		return
	}
	s := c.table.Self()
	r.Instances = slices.DeleteFunc(r.Instances, func(e rosterEntry) bool { return e.Name == s.Name })
	for _, e := range r.Instances {
		if k, _, ok := c.table.Get(e.Name); ok && k.Live() {
			return
		}
	}
	c.random.Shuffle(len(r.Instances), func(i, j int) {
		r.Instances[i], r.Instances[j] = r.Instances[j], r.Instances[i]
	})
	for _, e := range r.Instances[:min(joinPeers, len(r.Instances))] {
		c.exchange(e.Name, e.PeerAddress, 0)
	}
}

// tendWatch watches the platform while this daemon is one of the first of its
// site by rendezvous hashing. Nothing is handed over: two watch at a time, and
// one too many does no harm.
func (c *control) tendWatch() {
	s := c.table.Self()
	k := c.table.Rank(s.Site, "watch", s.Name)
	if c.watching || !c.platformUp || k < 0 || k >= watchers {
		return
	}
	c.watching = true
	c.start(func(x context.Context) {
		c.d.event(x, event.WatchStarted)
		c.d.watch(x)
		c.d.event(x, event.WatchEnded)
		_ = c.d.do(x, func(c *control) { c.watching = false })
	})
}

// watch follows the control objects until another daemon of the site ranks
// before this one. It lists first, so that a watch that broke misses nothing.
func (d *Daemon) watch(x context.Context) {
	var w time.Duration
	r := d.random()
	for x.Err() == nil && d.isWatcher(x) {
		y, stop := context.WithTimeout(x, watchTime)
		err := d.watchOnce(y)
		ended := y.Err() != nil
		stop()
		if ended {
			w = 0
			continue
		}
		_ = d.do(x, func(c *control) { c.platformAnswered(err) })
		w = backoff(r, w, watchWaitMin, watchWaitMax)
		pause(x, w)
	}
}

func (d *Daemon) isWatcher(x context.Context) bool {
	var k int
	err := d.do(x, func(c *control) {
		s := c.table.Self()
		k = c.table.Rank(s.Site, "watch", s.Name)
	})
	return err == nil && k >= 0 && k < watchers
}

func (d *Daemon) watchOnce(x context.Context) error {
	l, err := d.store.List(x, controlPrefix)
	if err != nil {
		return err
	}
	if err := d.do(x, func(c *control) { c.listed(l) }); err != nil {
		return err
	}
	return d.store.Watch(x, controlPrefix, l.Revision, func(e platform.Event) error {
		return d.do(x, func(c *control) { c.object(e.Object) })
	})
}

// tendRoster lets the first daemon of the site keep its roster, under the
// condition that nobody else wrote it meanwhile.
func (c *control) tendRoster(now time.Time) {
	s := c.table.Self()
	if !c.platformUp || now.Before(c.rosterAt) || c.table.Rank(s.Site, "roster", s.Name) != 0 {
		return
	}
	k := rosterPrefix + s.Site
	v := c.roster(s.Site)
	o := c.rosters[k]
	if string(o.Value) == string(v) {
		return
	}
	// The random part keeps daemons that boot together from colliding again.
	c.rosterAt = now.Add(rosterTime + time.Duration(c.random.Int64N(int64(rosterTime))))
	c.start(func(x context.Context) {
		p, err := c.d.store.Put(x, k, o.Version, v)
		if err != nil {
			p, _ = c.d.store.Get(x, k)
		}
		_ = c.d.do(x, func(c *control) {
			c.platformAnswered(err)
			if p.Key != "" {
				c.rosters[k] = p
			}
			if result.CodeOf(err) == result.VersionConflict {
				c.rosterAt = time.Time{}
				c.join(p)
				return
			}
			c.d.event(c.x, event.RosterWritten, slog.String("Key", k))
		})
	})
}

// roster returns the roster of the site as this daemon sees it.
func (c *control) roster(site string) []byte {
	var r roster
	for _, m := range c.table.Live() {
		if m.Site == site && len(r.Instances) < rosterNamesMax {
			r.Instances = append(r.Instances, rosterEntry{m.Name, m.PeerAddress})
		}
	}
	d, _ := json.Marshal(r)
	return d
}
