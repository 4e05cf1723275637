package daemon

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

// configReadTimeout bounds one read of the configuration.
const configReadTimeout = time.Second

// configRankKey orders the daemons by who reads the configuration.
const configRankKey = "config"

// pollConfig reads the platform's configuration when it is this daemon's turn.
func (c *control) pollConfig(now time.Time) {
	if !c.d.managed() || c.polling {
		return
	}
	if l := c.d.latestConfirmation.Load(); l != nil && l.Number == c.known.Head.Sequence {
		c.poll.Confirm(l.At) // calls carry it faster than membership does
	}
	rank, live := c.table.Rank("", configRankKey, c.table.Self().Name), c.table.Count()
	if !c.joined() {
		rank = change.Pollers // of a herd that starts, each would be the first
	}
	if n := c.poll.Ask(now, rank, live); n > 0 {
		if r, ok := c.table.First(configRankKey, c.random.IntN(n)); ok && r.Name != c.d.settings.Instance {
			c.exchange(r.Name, r.PeerAddress, r.Incarnation)
		}
	}
	if !c.poll.Due(now, rank, live, c.pollJitter) {
		return
	}
	c.polling = true
	c.pollJitter = c.random.Float64()
	c.poll.Began(now)
	c.start(func(x context.Context) {
		var err error = result.New(result.BadAnswer, "the read ended unexpectedly")
		defer func() {
			_ = c.d.do(x, func(c *control) { c.recordPoll(now, err) })
		}()
		err = c.d.readConfig(x)
	})
}

// recordPoll notes how a read ended that began at the time t.
func (c *control) recordPoll(t time.Time, err error) {
	c.polling = false
	c.recordPlatformResult(err)
	c.poll.Ended(t, err == nil)
	if err == nil {
		c.confirm(t)
		c.configRead = true
		c.advance()
	}
}

// readConfig reads the platform's configuration once.
func (d *Daemon) readConfig(x context.Context) error {
	y, stop := context.WithTimeout(x, configReadTimeout)
	defer stop()
	o, err := d.store.Get(y, d.edge.ConfigKey)
	if err != nil {
		return err
	}
	return d.applyConfig(x, o)
}

// applyConfig takes in what the platform holds as configuration. One that
// cannot be read never replaces one that could.
func (d *Daemon) applyConfig(x context.Context, o store.Object) error {
	known := false
	_ = d.do(x, func(c *control) { known = o.Version == c.configVersion })
	if known {
		return nil
	}
	t, faults, err := d.edge.DecodeConfig(o.Value)
	var b []byte
	if err == nil {
		b, err = t.Encode()
	}
	if err != nil {
		d.event(x, event.ConfigUnreadable, slog.String("Key", o.Key), slog.String("Revision", o.Version), slog.String("Cause", err.Error()))
		return err
	}
	h := site.Hash(b)
	return d.do(x, func(c *control) {
		c.configVersion = o.Version
		c.logFaults(o, faults)
		if c.contents[h] == nil {
			k := newContent(h, b)
			k.config = t
			c.contents[h] = k
		}
		if c.mergeHead(managedHead(t.Number, h)) {
			c.gossipRequested = true
		}
	})
}

// loggedFaultsMax bounds the faults of configurations that are logged, each once.
const loggedFaultsMax = 256

// logFaults logs those faults of the configuration o that earlier versions did
// not have.
func (c *control) logFaults(o store.Object, faults []error) {
	for _, f := range faults {
		s := f.Error()
		if c.loggedFaults[s] || len(c.loggedFaults) >= loggedFaultsMax {
			continue
		}
		c.loggedFaults[s] = true
		c.d.event(c.x, event.ConfigFault, slog.String("Key", o.Key), slog.String("Revision", o.Version), slog.String("Cause", s))
	}
}

// managedHead is the head of a configuration that was accepted elsewhere. Its
// number alone orders it.
func managedHead(number uint64, hash string) change.Head {
	return change.Head{Sequence: number, InForce: change.Release{Number: number, Content: hash}}
}

// headAge returns the age of the newest confirmation of what is known here as
// it is told others: milliseconds plus 1, 0 without one.
func (c *control) headAge(now time.Time) uint32 {
	a, ok := c.poll.Age(now)
	if !ok || a > change.TrustTime {
		return 0
	}
	return uint32(a.Milliseconds()) + 1
}

// mergeConfirmation takes in the age that another daemon told with the head h. It
// says nothing here unless that is the head that is known here.
func (c *control) mergeConfirmation(h change.Head, age uint32, now time.Time) {
	if age > 0 && h.Sequence == c.known.Head.Sequence {
		c.confirm(now.Add(-time.Duration(age-1) * time.Millisecond))
	}
}

// confirm notes that the head known here was the newest at the time t.
func (c *control) confirm(t time.Time) {
	c.poll.Confirm(t)
	c.d.confirm(change.Confirmation{Number: c.known.Head.Sequence, At: t})
}

func (d *Daemon) confirm(n change.Confirmation) {
	for {
		o := d.latestConfirmation.Load()
		if o != nil && !n.After(*o) || d.latestConfirmation.CompareAndSwap(o, &n) {
			return
		}
	}
}

// Age implements caller.Daemon.
func (d *Daemon) Age(now time.Time) string {
	l := d.latestConfirmation.Load()
	if !d.managed() || l == nil || l.Number != d.View().Snapshot.Number() {
		return ""
	}
	a := now.Sub(l.At)
	if a > change.TrustTime {
		return ""
	}
	return strconv.FormatInt(max(0, a.Milliseconds())+1, 10) // rounded up
}

// Confirmed implements caller.Daemon. The age counts from when the request was
// sent: how long its answer was on the way is not known.
func (d *Daemon) Confirmed(release, age string, t time.Time) {
	v := d.View()
	ms, err := strconv.ParseUint(age, 10, 32)
	if err != nil || !d.managed() || release != v.Release() {
		return // it says nothing of what is served here
	}
	d.confirm(change.Confirmation{Number: v.Snapshot.Number(), At: t.Add(-time.Duration(ms) * time.Millisecond)})
}

// errManaged refuses submissions where the configuration comes from elsewhere.
func errManaged(key string) *result.Error {
	return result.New(result.Managed, "the configuration is the platform's object %s; write it there", key)
}

// checkNotManaged refuses what only an own configuration allows.
func (d *Daemon) checkNotManaged() *result.Error {
	if d.managed() {
		return errManaged(d.edge.ConfigKey)
	}
	return nil
}
