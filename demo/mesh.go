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

// Each kind of traffic has a loopback address of its own, so that control
// traffic can be counted at the listeners, outside the daemons.
const (
	callHost     = "127.0.0.1:0"
	peerHost     = "127.0.0.2"
	platformHost = "127.0.0.3:0"

	stageLimit = 5 * time.Second
	drainLimit = 10 * time.Second
	headerTime = 10 * time.Second
)

var demoError = errs.Class("demo")

// Mesh is the running mesh.
type Mesh struct {
	Store     *platformtest.Store
	Instances []*Instance

	peerMeter     peer.Meter
	platformMeter peer.Meter
	platformURL   string
	server        *http.Server
	log           *slog.Logger
	seed          uint64
	ended         chan error
	running       int
}

// Instance is one daemon and the worker beside it.
type Instance struct {
	Name     string
	Site     string
	Worker   *upstreamtest.Worker
	Settings settings.Settings

	stop  context.CancelFunc
	ended chan error
}

// NewMesh starts the platform and an instance for each worker of d.
func NewMesh(x context.Context, d examples.Deployment, log *slog.Logger, seed uint64) (*Mesh, error) {
	m := &Mesh{Store: &platformtest.Store{}, log: log, seed: seed, ended: make(chan error)}
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
			if err := m.start(x, k); err != nil {
				return nil, err
			}
			m.Instances = append(m.Instances, k)
		}
	}
	return m, nil
}

func (m *Mesh) startPlatform() error {
	l, err := net.Listen("tcp", platformHost)
	if err != nil {
		return demoError.Wrap(err)
	}
	m.platformURL = "http://" + l.Addr().String()
	m.server = &http.Server{Handler: platformtest.Handler{Store: m.Store}, ReadHeaderTimeout: headerTime}
	m.task(func() error { return m.server.Serve(m.platformMeter.Listener(l)) })
	return nil
}

// task runs f and reports its end to Close.
func (m *Mesh) task(f func() error) {
	m.running++
	go func() { m.ended <- f() }()
}

// listen counts the control traffic of the addresses that have it.
func (m *Mesh) listen(a string) (net.Listener, error) {
	l, err := net.Listen("tcp", a)
	if err != nil || !strings.HasPrefix(a, peerHost) {
		return l, err
	}
	return m.peerMeter.Listener(l), nil
}

// start starts the daemon and the worker of a new instance.
func (m *Mesh) start(x context.Context, k *Instance) error {
	k.Settings = settings.Settings{
		Instance:        k.Name,
		Site:            k.Site,
		Platform:        m.platformURL,
		CallAddress:     callHost,
		LinkAddress:     callHost,
		PeerAddress:     peerHost + ":0",
		UpstreamAddress: callHost,
		OperatorAddress: callHost,
		StageLimit:      settings.Duration(stageLimit),
		DrainLimit:      settings.Duration(drainLimit),
	}
	d, err := m.startDaemon(x, k)
	if err != nil {
		return err
	}
	k.Settings = d.Settings() // with the addresses that it got; they stay
	l, err := net.Listen("tcp", callHost)
	if err != nil {
		return demoError.Wrap(err)
	}
	m.task(func() error { return k.Worker.Run(x, l, k.Settings.UpstreamAddress) })
	return nil
}

func (m *Mesh) startDaemon(x context.Context, k *Instance) (*daemon.Daemon, error) {
	m.seed++
	d, err := daemon.New(daemon.Options{
		Settings: k.Settings,
		Store:    platform.Client{Base: m.platformURL},
		Log:      m.log,
		Now:      time.Now,
		Seed:     m.seed,
		Listen:   m.listen,
	})
	if err != nil {
		return nil, err
	}
	y, stop := context.WithCancel(x)
	k.stop = stop
	k.ended = make(chan error, 1)
	go func() { k.ended <- d.Run(y) }()
	return d, nil
}

// Restart lets the daemon of k leave and starts it again at its addresses.
func (m *Mesh) Restart(x context.Context, k *Instance) error {
	k.stop()
	if err := <-k.ended; err != nil {
		return demoError.Wrap(err)
	}
	_, err := m.startDaemon(x, k)
	return err
}

// Close ends what x did not end yet and waits for everything.
func (m *Mesh) Close() error {
	var g errs.Group
	for _, k := range m.Instances {
		k.stop()
	}
	for _, k := range m.Instances {
		g.Add(<-k.ended)
	}
	_ = m.server.Close()
	for range m.running {
		if err := <-m.ended; !errors.Is(err, http.ErrServerClosed) {
			g.Add(err)
		}
	}
	return g.Err()
}

// ControlBytes returns the bytes that daemons sent and received for control:
// each byte between daemons counts twice, at both ends.
func (m *Mesh) ControlBytes() int64 {
	const ends = 2
	return ends*(m.peerMeter.In()+m.peerMeter.Out()) + m.platformMeter.In() + m.platformMeter.Out()
}
