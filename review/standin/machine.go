package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine with a daemon of the project.
type machine struct {
	name     string
	ip       string
	zone     string
	service  string
	values   map[string]string // what the platform fills into the template
	root     string            // of the repository
	dir      string
	settings string
	run      []string
	rec      *record
	cmd      *exec.Cmd
	ended    chan error
}

// deployment is a store and machines, all on loopback addresses.
type deployment struct {
	rec      *record
	root     string
	dir      string
	store    *platformStore
	machines []*machine
	runs     *runs
	base     int

	mu      sync.Mutex
	workers []*worker
	stopped bool
}

// runPattern finds the command of the daemon in the deploy file.
var runPattern = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// newDeployment starts a store. The machines get loopback addresses of their own and the
// same ports.
func newDeployment(rec *record, root string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "figwheel-review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, root: root, dir: dir, store: s, runs: &runs{}}
	if d.base, err = freePorts(); err != nil {
		return nil, err
	}
	return d, nil
}

// freePorts returns the first of ten ports that are free on the loopback addresses of the
// machines.
func freePorts() (int, error) {
	for base := 21000 + os.Getpid()%500*10; base < 32000; base += 10 {
		free := true
		for i := 1; i <= 6 && free; i++ {
			for p := range 10 {
				l, err := net.Listen("tcp", fmt.Sprintf("127.77.0.%d:%d", i, base+p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// addMachine adds a machine in the zone for a worker of the service. It does not start
// it.
func (d *deployment) addMachine(zone, service string) (*machine, error) {
	n := len(d.machines) + 1
	ip := fmt.Sprintf("127.77.0.%d", n)
	at := func(k int) string { return fmt.Sprintf("%s:%d", ip, d.base+k) }
	b, err := os.ReadFile(filepath.Join(d.root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	c := runPattern.FindSubmatch(b)
	if c == nil {
		return nil, errors.New("no run command in deploy/system.toml")
	}
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: ip, zone: zone, service: service, root: d.root, dir: d.dir, rec: d.rec,
		run: strings.Fields(string(c[1])),
		values: map[string]string{
			"node": fmt.Sprintf("sidecar-%s-%d", zone, n), "zone": zone, "region": "bac-trung-bo", "service": service, "ip": ip,
			"app_addr": at(6), "platform.address": d.store.address,
			"listen_addrs.outbound_addr": at(0), "listen_addrs.inbound_addr": at(1), "listen_addrs.ready_addr": at(2), "listen_addrs.control_addr": at(3),
			"port_range.0": fmt.Sprint(d.base + 4), "port_range.1": fmt.Sprint(d.base + 5),
			"bounds.grace_s": "6", "bounds.budget_slack": "60", "limits.link_mbps": "1000.0",
		},
	}
	m.settings = filepath.Join(d.dir, m.name+".yaml")
	d.machines = append(d.machines, m)
	return m, m.render()
}

// placeholder is one value in the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)

// render writes the settings file from the template of the deploy file.
func (m *machine) render() error {
	b, err := os.ReadFile(filepath.Join(m.root, "deploy/settings.yaml"))
	if err != nil {
		return err
	}
	t := placeholder.ReplaceAllStringFunc(string(b), func(s string) string { return m.values[s[2:len(s)-2]] })
	n := m.settings + ".new"
	if err := os.WriteFile(n, []byte(t), 0o600); err != nil {
		return err
	}
	return os.Rename(n, m.settings)
}

// start starts the daemon.
func (m *machine) start() error {
	f, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(m.root, m.run[0]), m.run[1:]...)
	c.Dir = m.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGWHEEL_CONFIG=" + m.settings}
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the script is killed
	if err := c.Start(); err != nil {
		return err
	}
	m.cmd = c
	m.ended = make(chan error, 1)
	go func() {
		err := c.Wait()
		_ = f.Close()
		m.rec.line("daemon of %s has ended: %v", m.name, err)
		m.ended <- err
	}()
	m.rec.line("daemon of %s starts", m.name)
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.rec.line("daemon of %s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// kill ends the daemon at once and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
	m.cmd = nil
}

func (m *machine) callAddress() string    { return m.values["listen_addrs.outbound_addr"] }
func (m *machine) controlAddress() string { return m.values["listen_addrs.control_addr"] }
func (m *machine) workerAddress() string  { return m.values["app_addr"] }

// isReady asks the daemon whether it takes requests.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Get("http://" + m.values["listen_addrs.ready_addr"] + "/api/readiness")
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (m *machine) awaitReady(t time.Duration) error {
	for end := time.Now().Add(t); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.isReady() {
			m.rec.line("daemon of %s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, t)
}

// addWorker starts a worker on the machine.
func (d *deployment) addWorker(m *machine, id, service string) (*worker, error) {
	k := newWorker(id, service, m.zone, m.workerAddress(), m.controlAddress(), d.rec, d.runs)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers = append(d.workers, k)
	return k, k.start()
}

// startAgain starts the i-th worker again, as another boot with another id, some
// seconds after each of its crashes.
func (d *deployment) startAgain(m *machine, k *worker, i int) {
	for n := 2; ; n++ {
		<-k.end.Done()
		time.Sleep(workerDownTime)
		d.mu.Lock()
		if d.stopped {
			d.mu.Unlock()
			return
		}
		k = newWorker(fmt.Sprintf("i-%d-%d", i, n), k.service, m.zone, m.workerAddress(), m.controlAddress(), d.rec, d.runs)
		d.workers = append(d.workers, k)
		_ = k.start()
		d.mu.Unlock()
	}
}

// start starts all daemons and waits until they are ready.
func (d *deployment) start() error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all that was started.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, k := range d.workers {
		k.stopFn()
		if k.server != nil {
			_ = k.server.Close()
		}
	}
	for _, m := range d.machines {
		m.kill()
	}
	d.store.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// route is one route of a configuration.
type route struct {
	prefix, service, kind string
	timeout               float64
}

// config returns a configuration as the on-call engineer writes it.
func config(version int, services []string, routes ...route) map[string]any {
	var rules, clusters []any
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "route_kind": r.kind, "goal_s": 1.2, "priority": 2,
			"match":        map[string]any{"path_prefix": r.prefix},
			"route_action": map[string]any{"service": r.service, "timeout_s": r.timeout, "max_attempts": 2},
		})
	}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls_mode": false})
	}
	return map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"hostname": hostName, "rule_set": rules}},
		"clusters":  clusters,
	}
}
