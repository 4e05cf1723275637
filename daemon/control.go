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

// Intervals of the control loop.
const (
	tickInterval              = 250 * time.Millisecond
	probeInterval             = time.Second
	gossipDelay               = 5 * time.Millisecond // collects updates before they are sent together
	gossipIntervalMin         = 50 * time.Millisecond
	gossipIntervalPerInstance = time.Millisecond // see gossipInterval
)

// control is the state that the control goroutine owns. Only that goroutine
// reads or writes it.
type control struct {
	d      *Daemon
	x      context.Context // for the tasks that control starts
	random *rand.Rand

	settings     settings.Settings // as of the last reload
	table        *instance.Table
	links        map[string]*link.Peer
	announcement upstream.Announcement
	announcedAt  time.Time
	history      upstream.History
	origin       string // service of the worker by the settings or a start of it, whichever changed last; empty if the settings name none
	draining     bool   // whether the drain shows in this instance's record; set after Daemon.draining
	hasLeft      bool

	known change.Known

	headSource        string    // address of the peer whose head is being merged, empty otherwise
	deliveredSequence uint64    // sequence of the newest head received by a delivery
	watchedHeadAt     time.Time // when the platform reported a head that is not forwarded yet, zero without one

	serving  *site.Snapshot
	contents map[string]*content // by hash
	previous []*content          // pruned contents, the oldest first; see prune
	fetching map[string]bool     // by hash, the contents that fetchInBackground is fetching

	controlObjectsRead bool // whether the control objects were listed since the start
	configRead         bool // whether the managed configuration was read since the start

	poll              change.Poll // schedule of reads of the managed configuration
	polling           bool
	pollJitter        float64                 // from 0 to 1, drawn for each read
	storeEra          uint64                  // newest era of the store that is known, 0 if it names none
	eraDoubts         int                     // answers in a row that show that it was odd, see doubtEra
	storeAnswered     bool                    // whether the store was read since the start
	restoredEra       uint64                  // era in which the objects of the daemons were last checked, see restoreObjects
	configVersion     string                  // version of the configuration object at the last read
	configBytes       int                     // its size
	configRevision    string                  // of the store, from which on its changes are to be read; empty if the whole is
	noticedAt         time.Time               // of the last notice of the worker
	noticedSent       int64                   // requests sent to the worker by then
	leavingWorker     *upstream.Announcement  // last one of a worker that has stated in an answer that it is leaving; nil if none has
	workerAsked       bool                    // whether askWorker has ended or is not possible
	workerBeingAsked  bool                    // whether a health check of the worker runs
	nextAsk           time.Time               // earliest time of the next health check after one without an answer
	confirmation      upstream.Confirmation   // of the worker's announcements since the start
	loggedFaults      map[string]bool         // texts of the configuration faults that were logged
	platformReachable bool                    // whether the last call of the platform was answered
	answeredPeers     map[string]bool         // names of the peers that answered an exchange since the start
	rosters           map[string]store.Object // by object key
	nextRosterWrite   time.Time               // earliest time of the next write of the own site's roster
	mayActAloneAt     time.Time               // from when a daemon without known peers may act, see mayAct
	nextJoin          time.Time               // earliest time of the next contact with instances of the rosters
	listedAt          time.Time               // when the request for the latest listing was sent
	nextList          time.Time               // earliest time of the next listing, see relist
	listWait          time.Duration           // last backoff between listings
	watching          bool
	settling          map[string]bool // IDs of the changes that this daemon is submitting or settling

	probedAt        time.Time
	nextReconcile   time.Time     // earliest time of the next reconciliation
	gossipRequested bool          // gossip is due after gossipDelay
	viewOutdated    bool          // the published view differs from the state
	viewReplaced    chan struct{} // closed when the view is replaced

	suspects         poison.List                // requests suspected of crashing workers
	suspectSendsLeft map[poison.Fingerprint]int // how often each suspect is still sent to peers

	runningTasks int
	taskEnded    chan struct{}
}

func newControl(x context.Context, d *Daemon) *control {
	n := d.now()
	s := d.settings
	return &control{
		d:        d,
		settings: s,
		x:        x,
		random:   d.newRandom(),
		table: instance.New(instance.Record{
			Name:        s.Instance,
			Incarnation: uint64(n.UnixMilli()),
			Site:        s.Site,
			PeerAddress: s.PeerAddress,
			LinkAddress: s.LinkAddress,
			State:       instance.Starting,
		}, n),
		origin:            s.Service,
		links:             make(map[string]*link.Peer),
		contents:          make(map[string]*content),
		loggedFaults:      make(map[string]bool),
		fetching:          make(map[string]bool),
		answeredPeers:     make(map[string]bool),
		rosters:           make(map[string]store.Object),
		settling:          make(map[string]bool),
		platformReachable: true,
		viewReplaced:      make(chan struct{}),
		taskEnded:         make(chan struct{}),

		suspectSendsLeft: make(map[poison.Fingerprint]int),
		noticedAt:        n,
		workerAsked:      !d.canAskWorker(),
	}
}

// loop runs the control goroutine until x ends, then waits until every task
// that it started has ended. It closes done when it returns.
func (c *control) loop(x context.Context, done chan<- struct{}) {
	defer close(done)
	k := time.NewTicker(tickInterval)
	defer k.Stop()
	e := time.NewTimer(gossipDelay)
	defer e.Stop()
	var gossiped time.Time // time of the last gossip
	pending := false       // whether the timer for the next one runs
	c.start(c.d.boot)
	for x.Err() == nil {
		select {
		case <-x.Done():
		case f := <-c.d.requests:
			c.d.guard("request", func() { f(c) })
		case <-k.C:
			c.d.guard("tick", func() { c.tick(c.d.now()) })
		case <-e.C:
			gossiped = c.d.now()
			pending = false
			c.gossip()
		case a := <-c.d.unreachableWorkers:
			c.workerUnreachable(a, c.d.now())
		case <-c.d.workerNotices:
			c.applyNotice(c.d.now())
		case f := <-c.d.clearedRequests:
			if s, ok := c.suspects.Get(f); ok {
				s.Cleared = true
				c.mergeSuspects([]poison.Suspect{s}, "answered")
			}
		case <-c.taskEnded:
			c.runningTasks--
		}
		if c.gossipRequested && !pending {
			pending = true
			e.Reset(max(gossipDelay, gossiped.Add(c.gossipInterval()).Sub(c.d.now())))
		}
		c.gossipRequested = false
		c.publish()
	}
	close(c.d.stopped)
	for c.runningTasks > 0 {
		<-c.taskEnded
		c.runningTasks--
	}
}

// start runs f in a goroutine of its own. The loop does not return before f
// has returned.
func (c *control) start(f func(x context.Context)) {
	c.runningTasks++
	go func() {
		c.d.guard("task", func() { f(c.x) })
		c.taskEnded <- struct{}{}
	}()
}

func (c *control) tick(now time.Time) {
	c.expireWorker(now)
	c.askWorkerAgain(now)
	c.suspects = c.suspects.Unexpired(now)
	for _, r := range c.table.Expire(now) {
		c.d.event(c.x, event.InstanceDead, slog.String("Name", r.Name), slog.String("Site", r.Site))
		c.markChanged()
	}
	if now.Sub(c.probedAt) >= probeInterval {
		c.probedAt = now
		if r, ok := c.table.Probe(c.random); ok {
			c.exchange(r.Name, r.PeerAddress, r.Incarnation)
		}
	}
	if !c.hasPeers() {
		c.updateQuotas(now) // the daemon may act alone after a time
	}
	c.advance()
	c.forwardWatchedHead(now)
	c.joinRosters(now)
	c.pollConfig(now)
	c.startWatch(now)
	c.writeRoster(now)
	c.takeOverProposal(now)
}

// gossipInterval returns the least time between two rounds of gossip. It grows
// with the fleet: instances that restart together produce as many updates as
// there are instances, and every instance forwards them, so the interval bounds
// the cost for each instance at any fleet size. A single update is not delayed,
// because the interval has then passed at every instance.
func (c *control) gossipInterval() time.Duration {
	return max(gossipIntervalMin, gossipIntervalPerInstance*time.Duration(c.table.Count()))
}

// markChanged marks the view as outdated and requests gossip of the change.
func (c *control) markChanged() {
	c.gossipRequested = true
	c.viewOutdated = true
}

// expireWorker marks the worker as lost when its last announcement and its last
// answer are both older than the worker lapse of the settings.
func (c *control) expireWorker(now time.Time) {
	t := c.workerLapse()
	if c.announcement.Service == "" || now.Sub(c.announcedAt) < t || c.d.worker.SilentFor(now) < t {
		return
	}
	c.workerLost(now, "silent")
}

// workerLapse returns the time without an announcement or an answer after which the
// worker is considered lost.
func (c *control) workerLapse() time.Duration {
	return cmp.Or(time.Duration(c.settings.WorkerLapse), upstream.LapseTimeDefault)
}

// workerLost marks the worker as left, so that it gets no calls until its next
// announcement. The cause goes into the log.
func (c *control) workerLost(now time.Time, cause string) {
	if c.announcement.State == instance.Left.String() {
		return
	}
	c.d.event(c.x, event.WorkerLost, slog.String("Service", c.announcement.Service), slog.String("ID", c.announcement.ID), slog.String("Cause", cause), slog.Duration("SilentFor", now.Sub(c.announcedAt)))
	if c.announcement.State == instance.Ready.String() { // one that leaves ends on its own
		c.workerCrashed(now, cause)
	}
	c.announcement.State = instance.Left.String()
	c.confirmation.Forget()
	c.updateSelf(now)
}

// applyAnnouncement applies the worker's announcement a. It returns an error if
// a is older than what is known or cannot come from the worker beside this daemon. An
// announcement that a start is ready which this process has not heard of is applied once
// the worker confirms it.
func (c *control) applyAnnouncement(a upstream.Announcement, now time.Time) error {
	if err := c.checkSource(a); err != nil {
		c.logRefused(a, err)
		return err
	}
	if c.needsConfirmation(a) && c.confirmation.Hold(a, now) {
		c.d.event(c.x, event.AnnouncementDoubted, slog.String("ID", a.ID), slog.Uint64("Sequence", a.Sequence), slog.String("Service", a.Service))
		c.askWorkerAgain(now)
		return nil
	}
	a, err := c.history.Apply(a)
	if err != nil {
		c.logRefused(a, err)
		return err
	}
	c.announce(a, now)
	return nil
}

// checkSource returns an error of code BadAnnouncement if the announcement a cannot come
// from the worker beside this daemon: it names another address than the settings, or
// a service that the worker cannot have.
func (c *control) checkSource(a upstream.Announcement) error {
	o := c.announcement
	switch {
	case a.State == instance.Left.String():
		return nil
	case c.d.canAskWorker() && a.Address != c.settings.WorkerAddress:
		return result.New(result.BadAnnouncement, "worker %s announces the address %s, the settings have %s", a.ID, a.Address, c.settings.WorkerAddress)
	case a.ID != "" && a.ID == o.ID && a.Service != o.Service && a.Service != c.settings.Service && !c.mayChangeService(a):
		return result.New(result.BadAnnouncement, "worker %s announces the service %s after %s", a.ID, a.Service, o.Service)
	}
	return nil
}

// mayChangeService reports whether a worker may announce a, with the id of the last
// announcement and another service than that and the settings. Its answer to a health check
// does not show which service it has, so that none may which is in use, and none may have a
// service that no configuration has.
func (c *control) mayChangeService(a upstream.Announcement) bool {
	o := c.announcement
	if o.Sequence > 0 && a.IsSameWorker(o) {
		return false
	}
	if !c.d.canAskWorker() || c.serving == nil {
		return true
	}
	_, known := c.serving.Service(a.Service)
	return known && (o.Sequence == 0 || o.State != instance.Ready.String())
}

// logRefused logs that the announcement a is refused with err.
func (c *control) logRefused(a upstream.Announcement, err error) {
	c.d.event(c.x, event.AnnouncementRefused, slog.String("ID", a.ID), slog.String("State", a.State), slog.String("Cause", err.Error()))
}

// announce applies the announcement a, which is current.
func (c *control) announce(a upstream.Announcement, now time.Time) {
	o := c.announcement
	if o.State == instance.Ready.String() && a.IsOtherStart(o) {
		c.workerCrashed(now, "started again") // the earlier start did not announce that it leaves
	}
	if a.State == instance.Ready.String() && c.hasLeavingWorker(a) {
		a.State = instance.Draining.String()
	}
	if c.origin != "" && a.State == instance.Ready.String() && (a.IsOtherStart(o) || a.Service != o.Service) {
		c.setOrigin(a.Service)
	}
	c.announcement = a
	c.announcedAt = now
	if a.ID != o.ID || a.State != o.State || a.Service != o.Service || a.Address != o.Address || a.Slots != o.Slots {
		c.d.event(c.x, event.WorkerAnnounced, slog.String("Service", a.Service), slog.String("ID", a.ID), slog.String("State", a.State), slog.String("Address", a.Address), slog.Uint64("Sequence", a.Sequence))
		c.updateSelf(now)
	}
}

// setOrigin sets the service that requests name as the one where they began.
func (c *control) setOrigin(service string) {
	c.origin = service
	c.viewOutdated = true
}

// updateSelf updates this instance's record. The instance is ready only if its
// worker is ready, the served configuration has the worker's service, and the worker
// was asked for what it states about itself: a daemon that restarts has lost what
// the worker stated in earlier answers.
func (c *control) updateSelf(now time.Time) {
	r := c.table.Self()
	a := c.announcement
	if !c.workerAsked && a.State == instance.Ready.String() {
		a.State = instance.Starting.String()
	}
	var s *site.Service
	if c.serving != nil {
		s, _ = c.serving.Service(a.Service)
	}
	c.d.worker.Set(a, s, now)
	r.Service = a.Service
	r.State = c.selfState(a, s)
	r.Slots = uint32(max(0, a.Slots))
	if s != nil && s.Slots > 0 && (a.Slots == 0 || s.Slots < a.Slots) {
		r.Slots = uint32(s.Slots)
	}
	if c.table.SetSelf(r, now) {
		c.markChanged()
	}
}

// selfState returns the state of this instance, whose worker announced a. The
// service s is that of the worker, nil if the served configuration does not have it.
func (c *control) selfState(a upstream.Announcement, s *site.Service) instance.State {
	switch {
	case c.hasLeft:
		return instance.Left
	case c.draining || a.State == instance.Draining.String():
		return instance.Draining
	case a.State != instance.Ready.String() || s == nil:
		return instance.Starting
	}
	return instance.Ready
}

// markLeft sets this instance's record to Left. It does not change after that.
func (c *control) markLeft() {
	c.hasLeft = true
	c.updateSelf(c.d.now())
}

// publish replaces the view that calls read if the state has changed.
func (c *control) publish() {
	if !c.viewOutdated {
		return
	}
	c.viewOutdated = false
	c.updateQuotas(c.d.now())
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
	v.Origin = c.origin
	c.d.worker.SetSuspects(c.suspects)
	v.Retries = contract.RetryLimits{Percent: cmp.Or(c.settings.RetryPercent, settings.RetryPercentDefault), RerunPercent: c.settings.RerunPercent, Burst: c.retryBurst()}
	c.d.view.Store(v)
	close(c.viewReplaced)
	c.viewReplaced = make(chan struct{})
}

// retryBurst returns this daemon's share of the retries that all daemons
// together may send at once, or the default if the settings do not limit those.
func (c *control) retryBurst() int {
	if b := c.settings.RetryBurst; b > 0 {
		return max(1, b/max(1, c.table.Count()))
	}
	return settings.RetryBurstDefault
}

// readyInstances returns the names of the instances that may get calls.
func (c *control) readyInstances() []string {
	var n []string
	for _, r := range c.table.All() {
		if r.Service != "" && r.Serves(r.Service) {
			n = append(n, r.Name)
		}
	}
	return n
}

// link returns the state of the link to the named instance.
func (c *control) link(name string) *link.Peer {
	p, ok := c.links[name]
	if !ok {
		p = &link.Peer{}
		c.links[name] = p
	}
	return p
}

// recordPlatformResult records whether the platform answered a call that ended
// with err, and logs a change. Version conflicts and missing objects are
// answers. While the daemon drains it records nothing.
func (c *control) recordPlatformResult(err error) {
	up := err == nil || result.CodeOf(err) == result.VersionConflict || result.CodeOf(err) == result.NotFound
	if up == c.platformReachable || c.x.Err() != nil || c.draining {
		return
	}
	c.platformReachable = up
	if up {
		c.d.event(c.x, event.PlatformBack)
		return
	}
	c.d.event(c.x, event.PlatformLost, slog.String("Cause", err.Error()))
}
