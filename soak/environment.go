package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/result"
)

const (
	host           = "h.example"
	restartDelay   = 300 * time.Millisecond // before a process that ended is started again
	workerDownTime = 800 * time.Millisecond // before a worker that crashed is started again
	workTime       = 20 * time.Millisecond
	slotsPerWorker = 6
	siteCount      = 2
)

var services = []string{"s-0", "s-1"}

// node is one daemon with its worker and its proxy to the store.
type node struct {
	name            string
	service         string
	callAddress     string // where callers reach the daemon
	settingsPath    string
	upstreamAddress string
	worker          *platformtest.Worker
	workerAddress   string
	storeProxy      *Proxy

	crashWorker atomic.Pointer[context.CancelFunc] // ends the worker's present run

	mu          sync.Mutex
	cmd         *exec.Cmd
	starts      int    // number of starts of the daemon so far
	versionSeen uint64 // newest version that the daemon was seen to serve since its last start
	stopping    bool   // since its last start, the daemon was sent a signal that ends it
	startedAt   time.Time
	outages     int       // number of active steps that take the daemon out of touch
	outageEnd   time.Time // when the last of them ended
}

// environment holds the store, the nodes and the checker of a run.
type environment struct {
	binary  string
	dir     string
	store   *platformtest.Store
	runs    *platformtest.Runs
	nodes   []*node
	checker *Checker
	ids     atomic.Int64 // number of requests of callers

	tasks             sync.WaitGroup
	mu                sync.Mutex
	configVersion     uint64
	objectVersion     string       // store version of the configuration object
	spareKeys         []time.Time  // when each spare key but the first came into the configuration in place of the one before it
	activeStoreFaults map[Kind]int // number of active faults of the store by kind
}

// storeFaults returns the active faults of the store. The caller must hold mu.
func (e *environment) storeFaults() platformtest.Faults {
	return platformtest.Faults{Down: e.activeStoreFaults[StoreDown] > 0, Refuses: e.activeStoreFaults[StoreRefuses] > 0, LoseAnswers: e.activeStoreFaults[StoreLoses] > 0}
}

// switchStoreFault starts a fault of the store, by 1, or ends it, by -1.
func (e *environment) switchStoreFault(k Kind, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeStoreFaults[k] += by
	e.store.SetFaults(e.storeFaults())
}

// signal sends s to the daemon's process, if it has been started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.stopping = n.stopping || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = n.cmd.Process.Signal(s) // the process may have ended already
	}
}

// isStopping reports whether, since its last start, the daemon was sent a signal
// that ends it.
func (n *node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// state returns the number of starts of the daemon so far and the newest version
// that it was seen to serve since the last one.
func (n *node) state() (starts int, seen uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts, n.versionSeen
}

// recordVersion notes that the daemon was seen to serve the version, unless its
// number of starts has changed.
func (n *node) recordVersion(starts int, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if starts == n.starts && version > n.versionSeen {
		n.versionSeen = version
	}
}

// newEnvironment starts the store with a first configuration and creates the
// nodes without starting them.
func newEnvironment(x context.Context, o Options) (*environment, error) {
	e := &environment{binary: o.Binary, dir: o.Dir, store: &platformtest.Store{}, runs: &platformtest.Runs{}, activeStoreFaults: make(map[Kind]int)}
	e.store.SetEra(1)
	e.checker = newChecker(e.runs)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: platformtest.Handler{Store: e.store}, ReadHeaderTimeout: time.Minute}
	e.tasks.Go(func() { _ = s.Serve(l) })
	context.AfterFunc(x, func() { _ = s.Close() })
	if err := e.writeConfig(true); err != nil {
		return nil, err
	}
	for i := range o.Daemons {
		n, err := e.newNode(i, l.Addr().String(), o.PortBase)
		if err != nil {
			return nil, err
		}
		e.nodes = append(e.nodes, n)
	}
	return e, nil
}

// newNode returns the node with the index i and writes its settings file. The
// ports from base on must lie below the kernel's range of ephemeral ports, so
// that no outgoing connection occupies one.
func (e *environment) newNode(i int, platformAddress string, base int) (*node, error) {
	p, err := NewProxy(platformAddress)
	if err != nil {
		return nil, err
	}
	at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", base+i*10+k) }
	n := &node{name: fmt.Sprintf("i-%d", i), service: services[i%len(services)], callAddress: at(0), upstreamAddress: at(3), workerAddress: at(6), storeProxy: p}
	n.worker = &platformtest.Worker{Service: n.service, Zone: fmt.Sprintf("site-%d", i/len(services)%siteCount), Slots: slotsPerWorker, Work: workTime, Runs: e.runs}
	n.settingsPath = filepath.Join(e.dir, n.name+".yaml")
	text := fmt.Sprintf(`Instance: %s
Site: %s
Interface: Platform
Service: %s
Platform: http://%s
CallAddress: %s
LinkAddress: %s
PeerAddress: %s
UpstreamAddress: %s
OperatorAddress: %s
ReadyAddress: %s
WorkerAddress: %s
DrainLimit: 5s
`, n.name, n.worker.Zone, n.service, p.Address(), n.callAddress, at(1), at(2), n.upstreamAddress, at(4), at(5), n.workerAddress)
	return n, os.WriteFile(n.settingsPath, []byte(text), 0o600)
}

// start starts all nodes, which run until x ends.
func (e *environment) start(x context.Context) {
	for _, n := range e.nodes {
		e.tasks.Go(func() { n.storeProxy.Run(x) })
		e.tasks.Go(func() { e.runWorker(x, n) })
		e.tasks.Go(func() { e.runDaemon(x, n) })
	}
}

// runWorker starts the worker and starts it again after each crash until x ends.
func (e *environment) runWorker(x context.Context, n *node) {
	for x.Err() == nil {
		l, err := net.Listen("tcp", n.workerAddress)
		if err != nil {
			wait(x, workerDownTime)
			continue
		}
		y, crash := context.WithCancel(x)
		n.crashWorker.Store(&crash)
		_ = n.worker.Run(y, l, n.upstreamAddress) // returns when crash is called or x ends
		crash()
		wait(x, workerDownTime)
	}
}

// logPath returns the path of the log of the daemon of n.
func (e *environment) logPath(n *node) string { return filepath.Join(e.dir, n.name+".log") }

// runDaemon starts the daemon's process and starts it again whenever it has
// ended, until x ends. An end without a signal that ends it is a violation.
func (e *environment) runDaemon(x context.Context, n *node) {
	f, err := os.OpenFile(e.logPath(n), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.checker.recordViolation(Recovery, "cannot open the log: %v", err)
		return
	}
	defer func() { _ = f.Close() }()
	for x.Err() == nil {
		c := exec.Command(e.binary, "daemon", "--settings", n.settingsPath)
		c.Stdout, c.Stderr = f, f
		n.mu.Lock()
		err := c.Start()
		n.cmd, n.versionSeen, n.stopping, n.startedAt = c, 0, false, time.Now()
		n.starts++
		n.mu.Unlock()
		if err != nil {
			e.checker.recordViolation(Recovery, "%s does not start: %v", n.name, err)
			return
		}
		ended := make(chan string, 1)
		go func() { ended <- fmt.Sprint(c.Wait()) }()
		select {
		case how := <-ended:
			if !n.isStopping() {
				e.checker.recordViolation(NoUnexpectedExit, "%s: %s", n.name, how)
			}
		case <-x.Done():
			_ = c.Process.Kill()
			<-ended
		}
		wait(x, restartDelay)
	}
}

// writeConfig writes the next version of the configuration to the store, as
// operators do, with a new spare key if changeKey is set.
func (e *environment) writeConfig(changeKey bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.configVersion++
	if changeKey {
		e.spareKeys = append(e.spareKeys, time.Time{})
	}
	if err := e.putConfig(); err != nil {
		return err
	}
	now := time.Now()
	if changeKey {
		e.spareKeys[len(e.spareKeys)-1] = now
	}
	e.checker.recordAccepted(e.configVersion, now)
	return nil
}

// restoreStore takes the store down for a time, lets it come back from a copy that was
// as old when it went down, and after the same time writes the configuration again.
func (e *environment) restoreStore(x context.Context, t time.Duration) error {
	copied := time.Now().Add(-t)
	e.switchStoreFault(StoreDown, 1)
	wait(x, t)
	err := e.loadCopy(copied)
	e.switchStoreFault(StoreDown, -1)
	wait(x, t)
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(err, e.putConfig())
}

// loadCopy restores the store from a copy of it from the time t.
func (e *environment) loadCopy(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.SetFaults(platformtest.Faults{})
	e.store.Restore(t)
	o, err := e.store.Get(context.Background(), platform.ConfigKey)
	e.store.SetFaults(e.storeFaults())
	e.objectVersion = o.Version // Absent if the copy is from before the first configuration
	if result.CodeOf(err) == result.NotFound {
		return nil
	}
	return err
}

// putConfig writes the configuration with the newest version to the store. The caller
// holds e.mu.
func (e *environment) putConfig() error {
	b, err := platformtest.Config(e.configVersion, host,
		platformtest.Route{PathPrefix: "/twice/", Service: services[e.configVersion%2], Repeats: true},
		platformtest.Route{PathPrefix: "/once/", Service: services[(e.configVersion+1)%2]},
	)
	if err != nil {
		return err
	}
	if b, err = withAccounts(b, len(e.spareKeys)); err != nil {
		return err
	}
	e.store.SetFaults(platformtest.Faults{}) // operators reach the store also during its faults
	o, err := e.store.Put(context.Background(), platform.ConfigKey, e.objectVersion, b)
	e.store.SetFaults(e.storeFaults())
	if err != nil {
		return errors.Join(errors.New("cannot write the configuration to the store"), err)
	}
	e.objectVersion = o.Version
	return nil
}

// wait returns when t has passed or x has ended.
func wait(x context.Context, t time.Duration) {
	k := time.NewTimer(t)
	defer k.Stop()
	select {
	case <-k.C:
	case <-x.Done():
	}
}
