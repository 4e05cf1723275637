package daemon

import (
	"context"
	"log/slog"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

const (
	configWaitMin = 50 * time.Millisecond
	configWaitMax = time.Second
)

// followConfig follows the platform's configuration. Each daemon does so for
// itself: the watch of another one may be late for reasons that do not show.
// What it misses comes from the others, by gossip and with the calls.
func (d *Daemon) followConfig(x context.Context) {
	var w time.Duration
	r := d.random()
	for x.Err() == nil {
		t := d.now()
		err := d.watchConfig(x)
		_ = d.do(x, func(c *control) { c.platformAnswered(err) })
		if d.now().Sub(t) > configWaitMax {
			w = 0 // the watch lasted
		}
		w = backoff(r, w, configWaitMin, configWaitMax)
		pause(x, w)
	}
}

// watchConfig reads the configuration and follows its changes until the watch
// breaks. It reads first, so that a watch that broke misses nothing.
func (d *Daemon) watchConfig(x context.Context) error {
	l, err := d.store.List(x, d.edge.ConfigKey)
	if err != nil {
		return err
	}
	for _, o := range l.Objects {
		d.configured(x, o)
	}
	_ = d.do(x, func(c *control) { c.configRead() })
	return d.store.Watch(x, d.edge.ConfigKey, l.Revision, func(e store.Event) error {
		d.configured(x, e.Object)
		return x.Err()
	})
}

// configured takes in what the platform holds as configuration. One that
// cannot be read never replaces one that could.
func (d *Daemon) configured(x context.Context, o store.Object) {
	t, err := d.edge.DecodeConfig(o.Value)
	var b []byte
	if err == nil {
		b, err = t.Encode()
	}
	if err != nil {
		d.event(x, event.ConfigUnreadable, slog.String("Key", o.Key), slog.String("Revision", o.Version), slog.String("Cause", err.Error()))
		return
	}
	h := site.Hash(b)
	_ = d.do(x, func(c *control) {
		if c.contents[h] == nil {
			c.contents[h] = &content{hash: h, data: b, config: t}
		}
		if c.observe(managedHead(t.Number, h)) {
			c.eager = true
		}
	})
}

// managedHead is the head of a configuration that was accepted elsewhere. Its
// number alone orders it.
func managedHead(number uint64, hash string) change.Head {
	return change.Head{Sequence: number, InForce: change.Release{Number: number, Content: hash}}
}

// configRead notes that the platform told what is in force.
func (c *control) configRead() {
	c.configKnown = true
	c.advance()
}

// refuseManaged refuses what only an own configuration allows.
func (d *Daemon) refuseManaged() *result.Error {
	if d.managed() {
		return errManaged(d.edge.ConfigKey)
	}
	return nil
}
