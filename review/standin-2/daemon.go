package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the installation: a daemon, started as the deploy file
// says, and the worker beside it.
type machine struct {
	name    string
	zone    string
	service string
	worker  *worker

	outbound, inbound, ready, control, peer, operator, app string

	linkMbps float64

	settings string // path of the settings file
	output   string // path of the file that the daemon's output goes to

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// Ports for the daemons and workers, below those that the system gives to connections.
// Each process begins in a block of its own, so that cases may run beside each other.
const (
	portMin   = 10_000
	portMax   = 30_000
	portBlock = 50
)

// portsTaken counts the ports that were tried.
var portsTaken int

// freeAddresses returns n loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	first := os.Getpid() * portBlock
	var a []string
	for range portMax - portMin {
		s := net.JoinHostPort("127.0.0.1", strconv.Itoa(portMin+(first+portsTaken)%(portMax-portMin)))
		portsTaken++
		l, err := net.Listen("tcp", s)
		if err != nil {
			continue
		}
		_ = l.Close()
		if a = append(a, s); len(a) == n {
			return a, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// newMachine returns a machine whose settings file is made from the template of the
// deploy file.
func newMachine(root, dir, name, zone, service, platform string, linkMbps float64) (*machine, error) {
	a, err := freeAddresses(7)
	if err != nil {
		return nil, err
	}
	m := &machine{
		name: name, zone: zone, service: service,
		linkMbps: linkMbps,
		outbound: a[0], inbound: a[1], ready: a[2], control: a[3], peer: a[4], operator: a[5], app: a[6],
		settings: filepath.Join(dir, name+".yaml"),
		output:   filepath.Join(dir, name+".log"),
	}
	t, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml"))
	if err != nil {
		return nil, err
	}
	return m, os.WriteFile(m.settings, []byte(m.fill(string(t), platform)), 0o600)
}

// fill fills in the template of the settings. Machines of the platform have an
// address each and the same ports; these have the same address and a port each.
func (m *machine) fill(template, platform string) string {
	return strings.NewReplacer(
		"{{ip}}:{{port_range.0}}", m.peer,
		"{{ip}}:{{port_range.1}}", m.operator,
		"{{node}}", m.name,
		"{{zone}}", m.zone,
		"{{region}}", "region",
		"{{service}}", m.service,
		"{{app_addr}}", m.app,
		"{{platform.address}}", platform,
		"{{listen_addrs.outbound_addr}}", m.outbound,
		"{{listen_addrs.inbound_addr}}", m.inbound,
		"{{listen_addrs.ready_addr}}", m.ready,
		"{{listen_addrs.control_addr}}", m.control,
		"{{bounds.grace_s}}", "6",
		"{{bounds.budget_slack}}", "60",
		"{{limits.link_mbps}}", strconv.FormatFloat(m.linkMbps, 'f', 1, 64),
	).Replace(template)
}

// start starts the daemon. Its output is appended to a file.
func (m *machine) start(root string) error {
	o, err := os.OpenFile(m.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = o.Close() }()
	c := exec.Command(filepath.Join(root, "target", "figwheel"), "daemon")
	c.Dir = root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGWHEEL_CONFIG=" + m.settings}
	c.Stdout, c.Stderr = o, o
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // of the thread that main has locked
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	go func() {
		defer close(ended)
		_ = c.Wait()
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill kills the daemon and waits for its end.
func (m *machine) kill() {
	m.signal(os.Kill)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady reports whether the daemon answers that it is ready.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	p, err := c.Get("http://" + m.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}

// logged reports whether the daemon has logged the event.
func (m *machine) logged(event string) int {
	b, _ := os.ReadFile(m.output)
	return bytes.Count(b, []byte(`"msg":"`+event+`"`))
}

// recorder writes what happened to the record of a case.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

// printf writes one line with the time since the start.
func (r *recorder) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// pause waits for the time t, or until x ends.
func pause(x context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-x.Done():
	}
}

// await waits until f reports true, at most for the time t.
func await(t time.Duration, f func() bool) bool {
	for end := time.Now().Add(t); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// attemptID returns the n-th id of a client attempt.
func attemptID(prefix string, n int) string { return prefix + "-" + strconv.Itoa(n) }
