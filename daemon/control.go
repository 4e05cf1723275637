package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"figwheel/caller"
	"figwheel/change"
	"figwheel/contract"
	"figwheel/event"
	"figwheel/instance"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/store"
	"figwheel/upstream"
)

// Times of the control loop.
const (
	tickTime     = 250 * time.Millisecond
	probeTime    = time.Second
	eagerTime    = 5 * time.Millisecond // in which news gathers before it is spread
	eagerRestMin = 50 * time.Millisecond
	eagerRest    = time.Millisecond // between two spreads, for each instance of the fleet
)

// control is the state that the control goroutine owns.
type control struct {
	d      *Daemon
	x      context.Context // of the tasks that it starts
	random *rand.Rand

	settings     settings.Settings // as they were reloaded last
	table        *instance.Table
	links        map[string]*link.Peer
	announcement upstream.Announcement
	announced    time.Time
	history      upstream.History
	draining     bool
	gone         bool

	known change.Known

	newsFrom  string    // address of the daemon whose news is being taken in
	delivered uint64    // sequence of the newest head that a delivery brought
	watchedAt time.Time // when the platform told of a head that others may not know

	serving  *site.Snapshot
	contents map[string]*content
	earlier  []*content // dropped ones, the oldest first
	fetching map[string]bool

	platformUp  bool // the control objects were read from the platform
	configKnown bool // so was the configuration that others write

	poll          change.Poll // of that configuration
	polling       bool
	pollJitter    float64
	configVersion string          // of its object when it was read last
	workerUnready bool            // the worker said so after the start, and has not announced itself since
	faults        map[string]bool // of configurations, that were logged
	reachable     bool            // the platform answered last time
	answered      map[string]bool
	rosters       map[string]store.Object
	rosterAt      time.Time
	aloneAt       time.Time // from when a daemon without known peers acts
	joinAt        time.Time // when the rosters are gone through next
	listedAt      time.Time // when the rosters were asked for that are known
	listAt        time.Time // when a daemon without known peers lists them next
	listWait      time.Duration
	watching      bool
	finishing     map[string]bool

	probed   time.Time
	repairAt time.Time // before which no repair starts
	eager    bool
	dirty    bool
	changed  chan struct{}

	suspects       poison.List // requests that crash workers
	suspectRepeats map[poison.Fingerprint]int

	running int
	ended   chan struct{}
}

func newControl(x context.Context, d *Daemon) *control {
	n := d.now()
	s := d.settings
	return &control{
		d:        d,
		settings: s,
		x:        x,
		random:   d.random(),
		table: instance.New(instance.Record{
			Name:        s.Instance,
			Incarnation: uint64(n.UnixMilli()),
			Site:        s.Site,
			PeerAddress: s.PeerAddress,
			LinkAddress: s.LinkAddress,
			State:       instance.Starting,
		}, n),
		links:     make(map[string]*link.Peer),
		contents:  make(map[string]*content),
		faults:    make(map[string]bool),
		fetching:  make(map[string]bool),
		answered:  make(map[string]bool),
		rosters:   make(map[string]store.Object),
		finishing: make(map[string]bool),
		reachable: true,
		changed:   make(chan struct{}),
		ended:     make(chan struct{}),

		suspectRepeats: make(map[poison.Fingerprint]int),
	}
}

// loop runs until x ends, and then until every task that it started has
// reported its end.
func (c *control) loop(x context.Context, done chan<- struct{}) {
	defer close(done)
	k := time.NewTicker(tickTime)
	defer k.Stop()
	e := time.NewTimer(eagerTime)
	defer e.Stop()
	var spread time.Time // when news was last spread
	pending := false     // whether it is about to be
	c.start(c.d.boot)
	for x.Err() == nil {
		select {
		case <-x.Done():
		case f := <-c.d.requests:
			c.d.guard("request", func() { f(c) })
		case <-k.C:
			c.d.guard("tick", func() { c.tick(c.d.now()) })
		case <-e.C:
			spread = c.d.now()
			pending = false
			c.spreadNews()
		case a := <-c.d.lost:
			c.workerUnreachable(a, c.d.now())
		case f := <-c.d.innocent:
			if s, ok := c.suspects.Get(f); ok {
				s.Cleared = true
				c.suspect([]poison.Suspect{s}, "answered")
			}
		case <-c.ended:
			c.running--
		}
		if c.eager && !pending {
			pending = true
			e.Reset(max(eagerTime, spread.Add(c.rest()).Sub(c.d.now())))
		}
		c.eager = false
		c.publish()
	}
	close(c.d.stopped)
	for c.running > 0 {
		<-c.ended
		c.running--
	}
}

// start runs f as a task that reports its end to the loop.
func (c *control) start(f func(x context.Context)) {
	c.running++
	go func() {
		c.d.guard("task", func() { f(c.x) })
		c.ended <- struct{}{}
	}()
}

func (c *control) tick(now time.Time) {
	c.lapse(now)
	c.suspects = c.suspects.Recent(now)
	for _, r := range c.table.Expire(now) {
		c.d.event(c.x, event.InstanceDead, slog.String("Name", r.Name), slog.String("Site", r.Site))
		c.news()
	}
	if now.Sub(c.probed) >= probeTime {
		c.probed = now
		if r, ok := c.table.Probe(c.random); ok {
			c.exchange(r.Name, r.PeerAddress, r.Incarnation)
		}
	}
	c.advance()
	c.passOn(now)
	c.tendJoin(now)
	c.tendConfig(now)
	c.tendWatch(now)
	c.tendRoster(now)
	c.tendProposal(now)
}

// rest returns the time between two spreads of news. A herd that returns makes
// as much news as there are instances and all of them pass it on; the rest
// bounds what that costs each of them, whatever the size of the fleet. A single
// piece of news finds everybody rested and crosses the fleet at once.
func (c *control) rest() time.Duration {
	return max(eagerRestMin, eagerRest*time.Duration(c.table.Count()))
}

// news marks that the view is out of date and that others should hear why.
func (c *control) news() {
	c.eager = true
	c.dirty = true
}

// lapse forgets a worker that stopped announcing itself and answers nothing.
func (c *control) lapse(now time.Time) {
	t := cmp.Or(time.Duration(c.settings.WorkerLapse), upstream.LapseTime)
	if c.announcement.Service == "" || now.Sub(c.announced) < t || c.d.worker.SilentFor(now) < t {
		return
	}
	c.workerLost(now, "silent")
}

// workerLost keeps calls away until the worker is heard of again.
func (c *control) workerLost(now time.Time, cause string) {
	if c.announcement.State == instance.Left.String() {
		return
	}
	c.d.event(c.x, event.WorkerLost, slog.String("Service", c.announcement.Service), slog.String("ID", c.announcement.ID), slog.String("Cause", cause), slog.Duration("SilentFor", now.Sub(c.announced)))
	c.workerCrashed(now, cause)
	c.announcement.State = instance.Left.String()
	c.describe(now)
}

// announce takes over what the worker says of itself. After a start of this
// daemon nothing is known of what an earlier process acknowledged: if the worker
// has just said that it is not ready, the first announcement that it is may be
// a late one of a worker that is leaving, and the next one decides.
func (c *control) announce(a upstream.Announcement, now time.Time) error {
	a, err := c.history.Take(a)
	if err != nil {
		c.d.event(c.x, event.AnnouncementRefused, slog.String("ID", a.ID), slog.String("State", a.State), slog.String("Cause", err.Error()))
		return err
	}
	if c.workerUnready {
		c.workerUnready = false
		if a.State == instance.Ready.String() {
			c.d.event(c.x, event.AnnouncementDoubted, slog.String("ID", a.ID), slog.Uint64("Sequence", a.Sequence))
			return nil
		}
	}
	o := c.announcement
	if o.State == instance.Ready.String() && a.OtherStart(o) {
		c.workerCrashed(now, "started again") // it never said that it leaves
	}
	c.announcement = a
	c.announced = now
	if a.ID != o.ID || a.State != o.State || a.Service != o.Service || a.Address != o.Address || a.Slots != o.Slots {
		c.d.event(c.x, event.WorkerAnnounced, slog.String("Service", a.Service), slog.String("ID", a.ID), slog.String("State", a.State), slog.String("Address", a.Address), slog.Uint64("Sequence", a.Sequence))
		c.describe(now)
	}
	return nil
}

// describe brings the own record up to date: ready only with a worker that is
// ready and a configuration that knows its service.
func (c *control) describe(now time.Time) {
	r := c.table.Self()
	a := c.announcement
	var s *site.Service
	if c.serving != nil {
		s, _ = c.serving.Service(a.Service)
	}
	c.d.worker.Set(a, s, now)
	r.Service = a.Service
	r.State = c.state(s)
	r.Slots = uint32(max(0, a.Slots))
	if s != nil && s.Slots > 0 && (a.Slots == 0 || s.Slots < a.Slots) {
		r.Slots = uint32(s.Slots)
	}
	if c.table.SetSelf(r, now) {
		c.news()
	}
}

func (c *control) state(s *site.Service) instance.State {
	switch {
	case c.gone:
		return instance.Left
	case c.draining || c.announcement.State == instance.Draining.String():
		return instance.Draining
	case c.announcement.State != instance.Ready.String() || s == nil:
		return instance.Starting
	}
	return instance.Ready
}

// left makes the last record of this instance.
func (c *control) left() {
	c.gone = true
	c.describe(c.d.now())
}

// publish replaces the view if something it shows has changed.
func (c *control) publish() {
	if !c.dirty {
		return
	}
	c.dirty = false
	l := make(map[string][]link.Candidate)
	s := c.table.Self()
	for _, r := range c.table.All() {
		if !r.Serves(r.Service) || r.Service == "" {
			continue
		}
		l[r.Service] = append(l[r.Service], link.Candidate{
			Name:     r.Name,
			Address:  r.LinkAddress,
			Slots:    int64(r.Slots),
			Local:    r.Name == s.Name,
			SameSite: r.Site == s.Site,
			Peer:     c.link(r.Name),
		})
	}
	m := make(map[string]link.Candidates, len(l))
	for n, v := range l {
		m[n] = link.NewCandidates(v)
	}
	v := caller.NewView(c.serving, m)
	v.Suspects = c.suspects
	c.d.worker.SetSuspects(c.suspects)
	v.Retries = contract.Retries{Percent: cmp.Or(c.settings.RetryPercent, settings.RetryPercentDefault), RerunPercent: c.settings.RerunPercent, Burst: c.retryBurst()}
	c.d.view.Store(v)
	close(c.changed)
	c.changed = make(chan struct{})
}

// retryBurst is this daemon's part of what all daemons may retry at once.
func (c *control) retryBurst() int {
	if b := c.settings.RetryBurst; b > 0 {
		return max(1, b/max(1, c.table.Count()))
	}
	return settings.RetryBurstAlone
}

// readyNames returns the instances that get calls.
func (c *control) readyNames() []string {
	var n []string
	for _, r := range c.table.All() {
		if r.Service != "" && r.Serves(r.Service) {
			n = append(n, r.Name)
		}
	}
	return n
}

func (c *control) link(name string) *link.Peer {
	p, ok := c.links[name]
	if !ok {
		p = &link.Peer{}
		c.links[name] = p
	}
	return p
}

// platformAnswered notes whether the platform answered and logs the change.
func (c *control) platformAnswered(err error) {
	up := err == nil || result.CodeOf(err) == result.VersionConflict || result.CodeOf(err) == result.NotFound
	if up == c.reachable || c.x.Err() != nil || c.draining {
		return
	}
	c.reachable = up
	if up {
		c.d.event(c.x, event.PlatformBack)
		return
	}
	c.d.event(c.x, event.PlatformLost, slog.String("Cause", err.Error()))
}
