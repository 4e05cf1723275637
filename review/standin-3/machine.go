package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine with a daemon and its worker.
type machine struct {
	name, zone, service string
	outbound, inbound   string
	ready, control      string
	peer, operator      string
	worker              *worker
	settings            string // path of the settings file
	cmd                 *exec.Cmd
	ended               chan struct{}
	rec                 *record
	log                 *os.File
}

// The ports of the cases are below those that the system gives to outgoing connections,
// which could take one before its process listens.
const (
	portMin = 14000
	portMax = 32000
)

var nextPort = portMin + rand.IntN(portMax-portMin)

// freeAddress returns an address with a free port that no earlier call has returned.
func freeAddress() string {
	for {
		if nextPort++; nextPort > portMax {
			nextPort = portMin
		}
		a := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
}

// renderSettings fills in the template of the deploy file.
func renderSettings(template string, m *machine, storeAddress string) string {
	r := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{region}}", "r1", "{{service}}", m.service,
		"{{app_addr}}", m.worker.address, "{{platform.address}}", storeAddress,
		"{{listen_addrs.outbound_addr}}", m.outbound, "{{listen_addrs.inbound_addr}}", m.inbound,
		"{{listen_addrs.ready_addr}}", m.ready, "{{listen_addrs.control_addr}}", m.control,
		"{{ip}}:{{port_range.0}}", m.peer, "{{ip}}:{{port_range.1}}", m.operator,
		"{{bounds.grace_s}}", "6", "{{bounds.budget_slack}}", "60", "{{limits.link_mbps}}", "1000",
	)
	return r.Replace(template)
}

// startDaemon starts the daemon with the command of the deploy file.
func (m *machine) startDaemon() error {
	m.cmd = exec.Command("target/figwheel", "daemon")
	m.cmd.Env = []string{"FIGWHEEL_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(m.cmd, m.ended)
	m.rec.add("daemon of %s starts, process %d", m.name, m.cmd.Process.Pid)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.rec.add("%v to the daemon of %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// isReady reports whether the daemon says that it is ready.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	p, err := c.Get("http://" + m.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// fleet is an installation.
type fleet struct {
	dir      string
	store    *store
	server   *http.Server
	address  string // of the store
	machines []*machine
	runs     *runs
	rec      *record
	ending   sync.Once
}

// newFleet starts the store. The caller adds machines.
func newFleet(rec *record) (*fleet, error) {
	d, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: d, store: newStore(), address: l.Addr().String(), runs: &runs{}, rec: rec}
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

// add adds a machine whose daemon and worker are not started.
func (f *fleet) add(zone, service string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, len(f.machines)+1), zone: zone, service: service, rec: f.rec}
	for _, a := range []*string{&m.outbound, &m.inbound, &m.ready, &m.control, &m.peer, &m.operator} {
		*a = freeAddress()
	}
	m.worker = &worker{service: service, zone: zone, address: freeAddress(), control: m.control, slots: 9, runs: f.runs, rec: f.rec}
	t, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(f.dir, m.name+".conf")
	if err := os.WriteFile(m.settings, []byte(renderSettings(string(t), m, f.address)), 0o600); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// start starts all workers and daemons and waits until all daemons are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.worker.start(); err != nil {
			return err
		}
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("the daemon of %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end ends all that was started and removes the folder.
func (f *fleet) end() { f.ending.Do(f.endAll) }

func (f *fleet) endAll() {
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
		m.worker.end()
		_ = m.log.Close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
