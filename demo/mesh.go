package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"figwheel/daemon"
	"figwheel/examples"
	"figwheel/peer"
	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/settings"
	"figwheel/site"
	"figwheel/upstream/upstreamtest"
)

// Calls, traffic between daemons and traffic to the platform use different
// loopback addresses, so that the control traffic can be counted at the
// listeners, outside the daemons.
const (
	callAddress     = "127.0.0.1:0"
	peerHost        = "127.0.0.2"
	platformAddress = "127.0.0.3:0"

	stageLimit    = 5 * time.Second
	drainLimit    = 10 * time.Second
	headerTimeout = 10 * time.Second
)

var demoError = errs.Class("demo")

// Mesh is a running mesh: the platform and the instances.
type Mesh struct {
	Store     *platformtest.Store
	Instances []*Instance

	peerMeter     peer.Meter
	platformMeter peer.Meter
	platformURL   string
	server        *http.Server
	log           *slog.Logger
	seed          uint64
	taskEnded     chan error // one error for each task
	taskCount     int
}

// Instance is one daemon and the worker beside it.
type Instance struct {
	Name     string
	Site     string
	Worker   *upstreamtest.Worker
	Settings settings.Settings

	stopDaemon  context.CancelFunc
	daemonEnded chan error
}

// NewMesh starts the platform and an instance for each worker of d. The instances
// run until x ends, after which Close must be called.
func NewMesh(x context.Context, d examples.Deployment, log *slog.Logger, seed uint64) (*Mesh, error) {
	m := &Mesh{Store: &platformtest.Store{}, log: log, seed: seed, taskEnded: make(chan error)}
	if err := m.startPlatform(); err != nil {
		return nil, err
	}
	f, p := site.Check(d.Bundle, time.Now())
	if len(p) > 0 {
		return nil, demoError.New("%s", p[0])
	}
	s := f.Sites()
	for _, g := range d.Groups {
		for i := range g.Workers {
			n := s[i%len(s)]
			k := &Instance{
				Name:   fmt.Sprintf("%s-%s-%d", n, g.Service, i/len(s)+1),
				Site:   n,
				Worker: &upstreamtest.Worker{Service: g.Service, Slots: g.Slots, Work: workTime},
			}
			k.Worker.Name = k.Name
			if err := m.startInstance(x, k); err != nil {
				return nil, err
			}
			m.Instances = append(m.Instances, k)
		}
	}
	return m, nil
}

// startPlatform starts the stand-in for the platform.
func (m *Mesh) startPlatform() error {
	l, err := net.Listen("tcp", platformAddress)
	if err != nil {
		return demoError.Wrap(err)
	}
	m.platformURL = "http://" + l.Addr().String()
	m.server = &http.Server{Handler: platformtest.Handler{Store: m.Store}, ReadHeaderTimeout: headerTimeout}
	m.startTask(func() error { return m.server.Serve(m.platformMeter.Listener(l)) })
	return nil
}

// startTask runs f in a goroutine, for whose end Close waits.
func (m *Mesh) startTask(f func() error) {
	m.taskCount++
	go func() { m.taskEnded <- f() }()
}

// listen returns a listener on the address a. It counts the traffic if a is an
// address for other daemons.
func (m *Mesh) listen(a string) (net.Listener, error) {
	l, err := net.Listen("tcp", a)
	if err != nil || !strings.HasPrefix(a, peerHost) {
		return l, err
	}
	return m.peerMeter.Listener(l), nil
}

// startInstance starts the daemon and the worker of a new instance.
func (m *Mesh) startInstance(x context.Context, k *Instance) error {
	k.Settings = settings.Settings{
		Instance:        k.Name,
		Site:            k.Site,
		Platform:        m.platformURL,
		CallAddress:     callAddress,
		LinkAddress:     callAddress,
		PeerAddress:     peerHost + ":0",
		UpstreamAddress: callAddress,
		OperatorAddress: callAddress,
		StageLimit:      settings.Duration(stageLimit),
		DrainLimit:      settings.Duration(drainLimit),
	}
	d, err := m.startDaemon(x, k)
	if err != nil {
		return err
	}
	k.Settings = d.Settings() // with the ports that it was given, which a restart uses again
	l, err := net.Listen("tcp", callAddress)
	if err != nil {
		return demoError.Wrap(err)
	}
	m.startTask(func() error { return k.Worker.Run(x, l, k.Settings.UpstreamAddress) })
	return nil
}

// startDaemon starts a daemon with the settings of k.
func (m *Mesh) startDaemon(x context.Context, k *Instance) (*daemon.Daemon, error) {
	m.seed++
	d, err := daemon.New(daemon.Options{
		Settings: k.Settings,
		Store:    &platform.Client{Base: m.platformURL},
		Log:      m.log,
		Now:      time.Now,
		Seed:     m.seed,
		Listen:   m.listen,
	})
	if err != nil {
		return nil, err
	}
	y, stop := context.WithCancel(x)
	k.stopDaemon = stop
	k.daemonEnded = make(chan error, 1)
	go func() { k.daemonEnded <- d.Run(y) }()
	return d, nil
}

// Restart shuts the daemon of k down and starts it again at the same addresses.
func (m *Mesh) Restart(x context.Context, k *Instance) error {
	k.stopDaemon()
	if err := <-k.daemonEnded; err != nil {
		return demoError.Wrap(err)
	}
	_, err := m.startDaemon(x, k)
	return err
}

// Close stops the daemons and the platform and waits until they and the workers
// have ended. It returns their errors. The context given to NewMesh must have
// ended, since it is what stops the workers.
func (m *Mesh) Close() error {
	var g errs.Group
	for _, k := range m.Instances {
		k.stopDaemon()
	}
	for _, k := range m.Instances {
		g.Add(<-k.daemonEnded)
	}
	_ = m.server.Close()
	for range m.taskCount {
		if err := <-m.taskEnded; !errors.Is(err, http.ErrServerClosed) {
			g.Add(err)
		}
	}
	return g.Err()
}

// ControlBytes returns the bytes of control traffic that daemons have sent and
// received. Each byte between daemons counts twice, once at each end.
func (m *Mesh) ControlBytes() int64 {
	const ends = 2
	return ends*(m.peerMeter.In()+m.peerMeter.Out()) + m.platformMeter.In() + m.platformMeter.Out()
}
