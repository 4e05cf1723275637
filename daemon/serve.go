package daemon

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/event"
	"figwheel/hop"
	"figwheel/operator"
	"figwheel/peer"
	"figwheel/result"
	"figwheel/upstream"
)

const (
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	headerBytesMax     = 64 << 10
	linkDialTimeout    = 500 * time.Millisecond
	linkIdleTimeout    = 30 * time.Second
	leaveNoticeDelay   = 300 * time.Millisecond // for the draining state to reach the other instances
	drainPollInterval  = 10 * time.Millisecond
	leaveNoticeTimeout = 500 * time.Millisecond  // within the time from the drain limit until the process is killed
	notReadyAnswersMin = 2                       // a daemon gets no new callers after so many answers that it is not ready
	notReadyTimeout    = 2500 * time.Millisecond // for those answers; readiness is polled once a second
	announceTimeMax    = notReadyTimeout + leaveNoticeDelay
)

// listeners are the open addresses of a daemon, one for each kind of client.
type listeners struct {
	call     net.Listener
	link     net.Listener
	peer     net.Listener
	upstream net.Listener
	operator net.Listener
	ready    net.Listener // nil without an address
}

// listen opens the addresses of the settings with open, net.Listen for TCP if
// that is nil, and stores the opened addresses in the settings.
func (d *Daemon) listen(open func(string) (net.Listener, error)) error {
	if open == nil {
		c := net.ListenConfig{KeepAliveConfig: hop.KeepAlive()}
		open = func(a string) (net.Listener, error) { return c.Listen(context.Background(), "tcp", a) }
	}
	l := []struct {
		address *string
		to      *net.Listener
	}{
		{&d.settings.CallAddress, &d.listeners.call},
		{&d.settings.LinkAddress, &d.listeners.link},
		{&d.settings.PeerAddress, &d.listeners.peer},
		{&d.settings.UpstreamAddress, &d.listeners.upstream},
		{&d.settings.OperatorAddress, &d.listeners.operator},
		{&d.settings.ReadyAddress, &d.listeners.ready},
	}
	for _, v := range l {
		if *v.address == "" {
			continue
		}
		n, err := open(*v.address)
		if err != nil {
			d.closeListeners()
			return result.Wrap(result.CannotListen, err, "address %s", *v.address)
		}
		*v.to = n
		*v.address = n.Addr().String()
	}
	return nil
}

func (d *Daemon) closeListeners() {
	l := d.listeners
	for _, n := range []net.Listener{l.call, l.link, l.peer, l.upstream, l.operator, l.ready} {
		if n != nil {
			_ = n.Close()
		}
	}
}

// servers are the HTTP servers of a daemon. The servers in work carry calls.
type servers struct {
	daemon  *Daemon
	work    []*server
	control []*server
	idle    idleConnections // of the servers in work
	group   errgroup.Group
}

type server struct {
	*http.Server
	listener    *drainingListener
	connections *connections
	idleTimeout func() time.Duration // of a server in work; nil is the constant idleTimeout
}

// expireIdle closes connections of the servers in work that have been idle for too
// long, until x ends. It closes done when it returns. It is not left to
// http.Server.IdleTimeout, which cannot change while the server runs, and closes a
// connection also when a request has arrived and was not read.
func (s *servers) expireIdle(x context.Context, done chan<- struct{}) {
	defer close(done)
	for pause(x, idleCheckInterval) {
		now := time.Now()
		for _, v := range s.work {
			t := idleTimeout
			if v.idleTimeout != nil {
				t = v.idleTimeout()
			}
			v.connections.closeExpired(now, t)
		}
	}
}

// callerIdleTimeout returns how long a caller's connection may be idle: the limit of
// the configuration, or idleTimeout if that sets none.
func (d *Daemon) callerIdleTimeout() time.Duration {
	return cmp.Or(d.View().Snapshot.Limits().IdleTime, idleTimeout)
}

// finish stops listening, waits until every request is answered, and closes each
// connection between two requests. It returns when all are closed or x ends.
func (s *server) finish(x context.Context) {
	s.listener.drain()
	for !s.connections.closeIdle(time.Now()) && pause(x, drainPollInterval) {
		continue
	}
}

// startWork starts a server like start, for an address at which callers or other
// daemons send requests. The function cut may be nil, see caller.Listener.
func (s *servers) startWork(a net.Listener, h http.Handler, cut func(caller.Cut)) *server {
	return s.startConnections(a, h, caller.Listener{Cut: cut})
}

// startConnections is startWork with the fields of v, whose Listener it sets.
func (s *servers) startConnections(a net.Listener, h http.Handler, v caller.Listener) *server {
	l := newDrainingListener(a)
	c := &connections{}
	s.idle.add(c)
	v.Listener = l
	return s.serve(l, keptListener{v}, h, 0, c, connContext)
}

// connContext is caller.ConnContext for connections of a keptListener.
func connContext(x context.Context, c net.Conn) context.Context {
	if k, ok := c.(*keptConn); ok {
		c = k.Conn
	}
	return caller.ConnContext(x, c)
}

// start starts a server that serves the connections of a with h.
func (s *servers) start(a net.Listener, h http.Handler) *server {
	l := newDrainingListener(a)
	return s.serve(l, l, h, idleTimeout, &connections{}, nil)
}

// serve starts a server that serves the connections of o with h and tracks them in c.
// The listener o accepts its connections from l. net/http closes a connection that has
// been idle for the time idle, 0 for none. The function x may be nil, see
// http.Server.ConnContext.
func (s *servers) serve(l *drainingListener, o net.Listener, h http.Handler, idle time.Duration, c *connections, x func(context.Context, net.Conn) context.Context) *server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	v := &http.Server{
		Handler:           s.daemon.logPanics(h),
		Protocols:         &p,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idle,
		MaxHeaderBytes:    headerBytesMax,
		ConnState:         c.setState,
		ConnContext:       x,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
	}
	s.group.Go(func() error {
		defer close(l.acceptEnded)
		if err := v.Serve(&acceptListener{Listener: o, daemon: s.daemon, idle: &s.idle}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return &server{Server: v, listener: l, connections: c}
}

// logPanics returns a handler that logs panics of h and then aborts the request,
// which makes net/http close the connection.
func (d *Daemon) logPanics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				d.logPanic(r.Method+" "+r.URL.Path, p)
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// serve starts the servers of all listeners.
func (d *Daemon) serve() *servers {
	t := hop.NewTransport(0, linkDialTimeout, linkIdleTimeout)
	s := &servers{daemon: d}
	s.idle.limit = connectionsMax()
	e := d.edge.Headers
	h := &caller.Handler{
		Daemon:           d,
		Worker:           &d.worker,
		Transport:        t,
		Record:           recorder{d},
		Quota:            d.quotas.node,
		Offers:           &d.offers,
		Now:              d.now,
		Random:           d.randomPool(),
		Headers:          e,
		ForwardedWaitMax: contract.ForwardedWaitMax(time.Duration(d.settings.DrainLimit)),
	}
	calls := s.startConnections(d.listeners.call, h, caller.Listener{
		Cut:   d.recordCut,
		Ahead: caller.Ahead{Handler: d.logPanics(h), May: h.MayServeAhead, Depth: d.settings.PipelineDepth},
	})
	calls.idleTimeout = d.callerIdleTimeout
	s.work = []*server{
		calls,
		s.startWork(d.listeners.link, &caller.LinkHandler{Daemon: d, Worker: &d.worker, Now: d.now, Headers: e, Abandoned: d.logAbandoned}, nil),
	}
	p := http.NewServeMux()
	p.Handle(peer.NewHandler(d))
	p.Handle(peer.NewQuotaHandler(quotaService{d}))
	o := http.NewServeMux()
	o.Handle(operator.NewHandler(operators{d}))
	o.Handle("/metrics", d.metrics.Handler())
	s.control = []*server{
		s.start(d.meter.Listener(d.listeners.peer), p),
		s.start(d.listeners.upstream, d.edge.Workers(d.takeAnnouncement, d.now)),
		s.start(d.listeners.operator, o),
	}
	if d.listeners.ready != nil {
		s.control = append(s.control, s.start(d.listeners.ready, d.readyHandler()))
	}
	return s
}

// takeAnnouncement applies an announcement of the worker. It returns an error if
// the announcement is rejected or the daemon is stopping.
func (d *Daemon) takeAnnouncement(a upstream.Announcement, now time.Time) error {
	var r error
	err := d.do(context.Background(), func(c *control) { r = c.applyAnnouncement(a, now) })
	return errors.Join(err, r)
}

// recorder implements caller.Recorder: it counts calls and logs decisions.
type recorder struct{ d *Daemon }

// RecordCall implements caller.Recorder. It adds the call to the metrics.
func (r recorder) RecordCall(service string, c result.Code, o contract.Outcome, took time.Duration) {
	r.d.metrics.RecordCall(service, c, o, took)
}

// RecordDecision implements caller.Recorder. It counts the calls of client accounts, and logs all failed calls, and
// answered calls up to the limit of lines a second.
func (r recorder) RecordDecision(v caller.Decision) {
	if v.Account != "" {
		r.d.metrics.RecordAccount(v.Account, v.Code != result.QuotaExceeded)
	}
	i := event.Answered
	if v.Code != 0 {
		i = event.Failed
	} else if !r.d.callLogLimiter.AllowN(r.d.now(), 1) {
		return
	}
	l := []slog.Attr{
		slog.String("RequestID", v.RequestID),
		slog.String("Route", v.Route),
		slog.String("Service", v.Service),
		slog.Int("Rank", v.Rank),
		slog.String("Version", v.Version),
		slog.Any("Asked", v.Asked),
		slog.Int("Sent", v.Sent),
		slog.String("Code", v.Code.String()),
		slog.String("Outcome", v.Outcome.String()),
		slog.Int("Status", v.Status),
		slog.String("Text", v.Text),
		slog.String("Stage", string(v.Stage)),
		slog.Duration("InStage", v.InStage),
		slog.Duration("Took", v.Took),
		slog.String("LimitMs", v.Limit),
		slog.Duration("Left", v.Left),
	}
	if v.Account != "" {
		l = append(l, slog.String("Account", v.Account))
	}
	r.d.event(context.Background(), i, l...)
}

// randomPool returns a pool of sources of random numbers, so that each call uses
// one of its own.
func (d *Daemon) randomPool() *sync.Pool {
	return &sync.Pool{New: func() any { return d.newRandom() }}
}

// Run serves until x ends. Then it drains: it takes no new work, lets requests in
// flight finish and announces to peers that this instance has left. It returns
// the errors of the servers and of the metrics.
func (d *Daemon) Run(x context.Context) error {
	y, stop := context.WithCancel(context.WithoutCancel(x))
	defer stop()
	done := make(chan struct{})
	c := newControl(y, d)
	go c.loop(y, done)
	s := d.serve()
	expiryEnded := make(chan struct{})
	go s.expireIdle(y, expiryEnded)
	quotasEnded := make(chan struct{})
	go d.runQuotas(y, quotasEnded)
	d.event(y, event.Started, slog.String("Site", d.settings.Site), slog.String("CallAddress", d.settings.CallAddress), slog.String("OperatorAddress", d.settings.OperatorAddress))
	select {
	case <-x.Done():
		d.leave(y, s)
	case <-d.killed:
	}
	stop()
	<-done
	<-expiryEnded
	<-quotasEnded
	for _, v := range slices.Concat(s.work, s.control) {
		_ = v.Close()
	}
	d.peers.Close()
	err := errors.Join(s.group.Wait(), d.metrics.Close(context.WithoutCancel(x)))
	d.event(context.WithoutCancel(x), event.Ended)
	return err
}

// leave drains the daemon within the drain limit of the settings. The order
// matters. First, callers are directed to other daemons; meanwhile the worker
// serves requests of other daemons as before. Then the other daemons learn that
// this instance is draining and send it no more requests. From then on a request is
// taken only if it ends before the limit; the address of callers stays open because
// the worker sends its own calls to it. Last, the servers are closed, which have no
// requests by then. Before the limit, the requests that wait are given up and listening
// stops, in time for an answer to each request that was sent; one that runs is left to
// its worker until the limit.
func (d *Daemon) leave(y context.Context, s *servers) {
	limit := time.Duration(d.settings.DrainLimit)
	x, stop := context.WithTimeout(y, limit)
	defer stop()
	now := d.now()
	e := contract.Drain{End: now.Add(limit), AnnouncedAt: now.Add(announceTimeMax)}
	d.worker.SetDrain(e, now)
	defer time.AfterFunc(max(0, limit-contract.AnswerTime), d.worker.EndWaits).Stop()
	d.event(x, event.Draining, slog.Int("InFlight", d.worker.InFlight()))
	d.awaitNotReadyAnswers(x)
	_ = d.do(x, func(c *control) {
		c.draining = true
		c.updateSelf(c.d.now())
	})
	pause(x, leaveNoticeDelay)
	if now = d.now(); now.Before(e.AnnouncedAt) {
		e.AnnouncedAt = now
	}
	d.worker.SetDrain(e, now)
	for w := d.worker.Waits(); d.worker.InFlight() > 0 && pause(w, drainPollInterval); {
		continue
	}
	var g sync.WaitGroup
	for _, v := range s.work {
		g.Go(func() { v.finish(x) })
	}
	g.Wait()
	for _, v := range s.work {
		g.Go(func() { _ = v.Close() }) // may linger, see caller.Connection
	}
	d.announceLeft(y)
	g.Wait()
}

// awaitNotReadyAnswers makes the readiness handler answer that this daemon is not
// ready, and waits until that answer was given notReadyAnswersMin times, after
// which new callers are directed elsewhere. It waits at most notReadyTimeout, and
// not at all without a readiness address.
func (d *Daemon) awaitNotReadyAnswers(x context.Context) {
	before := d.notReadyAnswers.Load()
	d.draining.Store(true)
	if d.listeners.ready == nil {
		return
	}
	for end := d.now().Add(notReadyTimeout); d.notReadyAnswers.Load() < before+notReadyAnswersMin && d.now().Before(end) && pause(x, drainPollInterval); {
		continue
	}
}

// announceLeft sends the Left state of this instance to some peers, so that the
// others need not detect its end by probes.
func (d *Daemon) announceLeft(x context.Context) {
	x, stop := context.WithTimeout(x, leaveNoticeTimeout)
	defer stop()
	var n int
	sent := make(chan struct{}, gossipPeers)
	_ = d.do(x, func(c *control) {
		c.markLeft()
		q := c.exchangeRequest()
		for _, r := range c.table.RandomLive(c.random, gossipPeers, "") {
			n++
			go func() {
				_, _ = d.peers.Exchange(x, r.PeerAddress, q)
				sent <- struct{}{}
			}()
		}
	})
	for range n {
		<-sent
	}
}
