package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/hop"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

// configReadTimeout bounds the time without progress of a read of the managed
// configuration.
const configReadTimeout = time.Second

// configRankKey is the rendezvous hashing key of the reads of the configuration:
// the first change.Pollers daemons by rank read at a fixed interval.
const configRankKey = "config"

// pollConfig reads the managed configuration from the platform when a read is
// due at this daemon. When its newest confirmation is old, it exchanges updates
// with a daemon that is likely to have a newer one, see
// change.Poll.RefreshRanks.
func (c *control) pollConfig(now time.Time) {
	if !c.d.isManaged() || c.polling {
		return
	}
	if l := c.d.latestConfirmation.Load(); l != nil && l.Number == c.known.Head.Sequence {
		c.poll.Confirm(l.At) // confirmations reach a daemon faster by calls than by gossip
	}
	rank, live := c.table.Rank("", configRankKey, c.table.Self().Name), c.table.Count()
	if !c.hasPeers() {
		rank = change.Pollers // of daemons that start together, each would rank first
	}
	if n := c.poll.RefreshRanks(now, rank, live); n > 0 {
		if r, ok := c.table.AtRank(configRankKey, c.random.IntN(n)); ok && r.Name != c.d.settings.Instance {
			c.exchange(r.Name, r.PeerAddress, r.Incarnation)
		}
	}
	if !c.poll.Due(now, rank, live, c.pollJitter) {
		return
	}
	c.polling = true
	c.pollJitter = c.random.Float64()
	c.poll.ReadStarted(now)
	c.start(func(x context.Context) {
		var err error = result.New(result.BadAnswer, "the read of the configuration panicked")
		defer func() {
			_ = c.d.do(x, func(c *control) { c.recordPoll(now, err) })
		}()
		err = c.d.readConfig(x)
	})
}

// recordPoll records that a read which began at the time t ended with err.
func (c *control) recordPoll(t time.Time, err error) {
	c.polling = false
	c.recordPlatformResult(err)
	c.poll.ReadEnded(t, err == nil)
	if err == nil {
		c.confirm(t)
		c.configRead = true
		c.advance()
	}
}

// changeReader is implemented by stores that tell what was written after a revision without
// waiting, as platform.Client does. The error is HistoryGone if a list is needed instead.
type changeReader interface {
	Changes(x context.Context, prefix, from string, bytesMax int64) (store.Listing, error)
}

const (
	// configBytesLarge is the size of the configuration, in bytes, from which only its changes
	// are read: the interval of the pollers would take all of a slow link for reading it again.
	configBytesLarge = 32 << 10
	// changesBytesShare bounds the changes that are read, as a multiple of that size: of several
	// versions since the last read only the newest counts, and a list has no other.
	changesBytesShare = 1.5
)

// readConfig reads the managed configuration from the platform once and applies
// it.
func (d *Daemon) readConfig(x context.Context) error {
	var before change.Release
	var sentIn uint64
	var from string
	var size int
	_ = d.do(x, func(c *control) {
		before, sentIn, from, size = c.known.Head.InForce, c.storeEra, c.configRevision, c.configBytes
		c.configRevision = "" // a read that fails is followed by one of the whole
	})
	y, stop := hop.WithPace(x, configReadTimeout)
	defer stop()
	r := d.store.changes()
	if r == nil || size < configBytesLarge {
		o, err := d.store.Get(y, d.edge.ConfigKey)
		if err != nil {
			return err
		}
		_ = d.do(x, func(c *control) { c.doubtEra(o.Era, sentIn) })
		return d.applyConfig(x, o, before)
	}
	var l store.Listing
	var err error
	if from != "" {
		l, err = r.Changes(y, d.edge.ConfigKey, from, int64(changesBytesShare*float64(size)))
	}
	if from == "" || result.CodeOf(err) == result.HistoryGone {
		from = ""
		l, err = d.store.List(y, d.edge.ConfigKey) // has the revision to continue from
	}
	if err != nil {
		return err
	}
	_ = d.do(x, func(c *control) { c.doubtEra(l.Era, sentIn) })
	if err := d.applyConfigListing(x, l, before, from != ""); err != nil {
		return err
	}
	return d.do(x, func(c *control) { c.configRevision = l.Revision })
}

// applyConfigListing applies the configuration object in l, as applyConfig does. With changes, l has
// only what has changed.
func (d *Daemon) applyConfigListing(x context.Context, l store.Listing, before change.Release, changes bool) error {
	i := slices.IndexFunc(l.Objects, func(o store.Object) bool { return o.Key == d.edge.ConfigKey })
	switch {
	case i >= 0 && l.Objects[i].Fault != nil:
		return l.Objects[i].Fault
	case i >= 0:
		return d.applyConfig(x, l.Objects[i], before)
	case !changes:
		return result.New(result.NotFound, "object %s does not exist", d.edge.ConfigKey)
	}
	late := false
	_ = d.do(x, func(c *control) { late = !c.observeEra(l.Era) })
	if late {
		return errLate(d.edge.ConfigKey, l.Era)
	}
	return nil
}

// applyConfig decodes the configuration object o and merges it as the head. The
// release before was in force when o was read. It returns an error if the object
// cannot be decoded or is of an older era; the known configuration then stays.
func (d *Daemon) applyConfig(x context.Context, o store.Object, before change.Release) error {
	known, late := false, false
	_ = d.do(x, func(c *control) {
		known, late = o.Version == c.configVersion, !c.observeEra(o.Era)
		c.configBytes = len(o.Value)
	})
	if late {
		return errLate(o.Key, o.Era)
	}
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
		c.logOlderConfig(o, t.Number, h, before)
		if c.contents[h] == nil && (t.Number > c.serving.Number() || c.known.References(h)) {
			k := newContent(h, b)
			k.config = t
			c.contents[h] = k
		}
		if c.mergeHead(managedHead(t.Number, h)) {
			c.gossipRequested = true
		}
	})
}

// loggedFaultsMax bounds how many different configuration faults are logged.
// Each is logged once.
const loggedFaultsMax = 256

// logFaults logs the faults of the configuration object o that were not logged
// before.
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

// managedHead returns the head of a managed configuration, which was accepted
// before it was written. Its sequence is the number of the configuration.
func managedHead(number uint64, hash string) change.Head {
	return change.Head{Sequence: number, InForce: change.Release{Number: number, Content: hash}}
}

// headAge returns the age of the newest confirmation of the known head as it is
// sent to peers: in milliseconds plus 1, or 0 if there is none or it is older
// than change.ConfirmationAgeMax.
func (c *control) headAge(now time.Time) uint32 {
	a, ok := c.poll.Age(now)
	if !ok || a > change.ConfirmationAgeMax {
		return 0
	}
	return uint32(a.Milliseconds()) + 1
}

// mergeConfirmation merges the age of the confirmation of h that a peer sent at
// the time now, in the form of headAge. It ignores an age of another head than
// the known one.
func (c *control) mergeConfirmation(h change.Head, age uint32, now time.Time) {
	if age > 0 && h.Sequence == c.known.Head.Sequence {
		c.confirm(now.Add(-time.Duration(age-1) * time.Millisecond))
	}
}

// confirm records that the known head was the newest at the time t.
func (c *control) confirm(t time.Time) {
	c.poll.Confirm(t)
	c.d.confirm(change.Confirmation{Number: c.known.Head.Sequence, At: t})
}

// confirm stores the confirmation n for calls unless a newer one is stored.
func (d *Daemon) confirm(n change.Confirmation) {
	for {
		o := d.latestConfirmation.Load()
		if o != nil && !n.After(*o) || d.latestConfirmation.CompareAndSwap(o, &n) {
			return
		}
	}
}

// ConfirmationAgeMs implements caller.Daemon. It returns the age in
// milliseconds plus 1, empty if the served release is not the confirmed one or
// the confirmation is older than change.ConfirmationAgeMax.
func (d *Daemon) ConfirmationAgeMs(now time.Time) string {
	l := d.latestConfirmation.Load()
	if !d.isManaged() || l == nil || l.Number != d.View().Snapshot.Number() {
		return ""
	}
	a := now.Sub(l.At)
	if a > change.ConfirmationAgeMax {
		return ""
	}
	return strconv.FormatInt(max(0, a.Milliseconds())+1, 10) // rounded up
}

// ObserveConfirmation implements caller.Daemon. The age counts from the time t
// at which the request was sent, because the time that its answer took is not
// known.
func (d *Daemon) ObserveConfirmation(release, age string, t time.Time) {
	v := d.View()
	ms, err := strconv.ParseUint(age, 10, 32)
	if err != nil || !d.isManaged() || release != v.Release() {
		return // the age is malformed or of another release than the served one
	}
	d.confirm(change.Confirmation{Number: v.Snapshot.Number(), At: t.Add(-time.Duration(ms) * time.Millisecond)})
}

// errManaged returns the error for requests that a daemon with a managed
// configuration does not accept; key is the platform's object to write instead.
func errManaged(key string) *result.Error {
	return result.New(result.Managed, "the configuration is the platform's object %s; write it there", key)
}

// checkNotManaged returns an error if the configuration is managed, nil
// otherwise.
func (d *Daemon) checkNotManaged() *result.Error {
	if d.isManaged() {
		return errManaged(d.edge.ConfigKey)
	}
	return nil
}
