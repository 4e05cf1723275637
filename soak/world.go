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
)

const (
	host        = "h.example"
	restartTime = 300 * time.Millisecond // until a process that ended is started again
	crashTime   = 800 * time.Millisecond // that a worker is down
	workTime    = 20 * time.Millisecond
	slots       = 6
	sites       = 2
)

var services = []string{"s-0", "s-1"}

// node is one daemon, its worker and its way to the store.
type node struct {
	name     string
	service  string
	call     string // its address for callers
	settings string // path of its settings file
	upstream string
	worker   *platformtest.Worker
	address  string // of the worker
	link     *Proxy

	crash atomic.Pointer[context.CancelFunc] // of the worker's present start

	mu   sync.Mutex
	cmd  *exec.Cmd
	boot int
	seen uint64 // version that this boot was seen to serve
	end  bool   // this boot was sent a signal that ends it
}

// world is everything that a run consists of.
type world struct {
	binary string
	dir    string
	store  *platformtest.Store
	runs   *platformtest.Runs
	nodes  []*node
	check  *Checker

	all     sync.WaitGroup
	config  sync.Mutex
	version uint64
	object  string       // version of the configuration's object
	active  map[Kind]int // faults of the store that are going on
}

// faults returns those of the store that are going on; config is held.
func (w *world) faults() platformtest.Faults {
	return platformtest.Faults{Down: w.active[StoreDown] > 0, Refuses: w.active[StoreRefuses] > 0, LoseAnswers: w.active[StoreLoses] > 0}
}

// switchStore begins or ends a fault of the store.
func (w *world) switchStore(k Kind, by int) {
	w.config.Lock()
	defer w.config.Unlock()
	w.active[k] += by
	w.store.SetFaults(w.faults())
}

// signal sends a signal to the daemon's process, if there is one.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.end = n.end || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = n.cmd.Process.Signal(s) // it may just have ended
	}
}

// told tells whether this boot was sent a signal that ends it.
func (n *node) told() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.end
}

// state returns the boot of the daemon and the newest version seen of it.
func (n *node) state() (boot int, seen uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boot, n.seen
}

// saw notes that the boot was seen to serve a version.
func (n *node) saw(boot int, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if boot == n.boot && version > n.seen {
		n.seen = version
	}
}

// newWorld starts the store and lays out the nodes; nothing of them runs yet.
func newWorld(x context.Context, o Options) (*world, error) {
	w := &world{binary: o.Binary, dir: o.Dir, store: &platformtest.Store{}, runs: &platformtest.Runs{}, active: make(map[Kind]int)}
	w.check = newChecker(w.runs)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: platformtest.Handler{Store: w.store}, ReadHeaderTimeout: time.Minute}
	w.all.Go(func() { _ = s.Serve(l) })
	context.AfterFunc(x, func() { _ = s.Close() })
	if err := w.change(); err != nil {
		return nil, err
	}
	for i := range o.Daemons {
		n, err := w.layOut(i, l.Addr().String(), o.PortBase)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// layOut writes the settings of one node. Its ports lie below those that the
// kernel gives to connections.
func (w *world) layOut(i int, platformAddress string, base int) (*node, error) {
	p, err := NewProxy(platformAddress)
	if err != nil {
		return nil, err
	}
	at := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", base+i*10+k) }
	n := &node{name: fmt.Sprintf("i-%d", i), service: services[i%len(services)], call: at(0), upstream: at(3), address: at(6), link: p}
	n.worker = &platformtest.Worker{Service: n.service, Zone: fmt.Sprintf("site-%d", i/len(services)%sites), Slots: slots, Work: workTime, Runs: w.runs}
	n.settings = filepath.Join(w.dir, n.name+".yaml")
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
`, n.name, n.worker.Zone, n.service, p.Address(), n.call, at(1), at(2), n.upstream, at(4), at(5), n.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start runs every node until x ends.
func (w *world) start(x context.Context) {
	for _, n := range w.nodes {
		w.all.Go(func() { n.link.Run(x) })
		w.all.Go(func() { w.runWorker(x, n) })
		w.all.Go(func() { w.runDaemon(x, n) })
	}
}

// runWorker starts the worker again and again.
func (w *world) runWorker(x context.Context, n *node) {
	for x.Err() == nil {
		l, err := net.Listen("tcp", n.address)
		if err != nil {
			wait(x, crashTime)
			continue
		}
		y, crash := context.WithCancel(x)
		n.crash.Store(&crash)
		_ = n.worker.Run(y, l, n.upstream) // it ends by a crash
		crash()
		wait(x, crashTime)
	}
}

// runDaemon starts the daemon's process again whenever it has ended.
func (w *world) runDaemon(x context.Context, n *node) {
	f, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.check.violated(Recover, "no log: %v", err)
		return
	}
	defer func() { _ = f.Close() }()
	for x.Err() == nil {
		c := exec.Command(w.binary, "daemon", "--settings", n.settings)
		c.Stdout, c.Stderr = f, f
		n.mu.Lock()
		err := c.Start()
		n.cmd, n.seen, n.end = c, 0, false
		n.boot++
		n.mu.Unlock()
		if err != nil {
			w.check.violated(Recover, "%s does not start: %v", n.name, err)
			return
		}
		ended := make(chan string, 1)
		go func() { ended <- fmt.Sprint(c.Wait()) }()
		select {
		case how := <-ended:
			if !n.told() {
				w.check.violated(Alive, "%s: %s", n.name, how)
			}
		case <-x.Done():
			_ = c.Process.Kill()
			<-ended
		}
		wait(x, restartTime)
	}
}

// change writes the next version of the configuration, as operators do.
func (w *world) change() error {
	w.config.Lock()
	defer w.config.Unlock()
	w.version++
	b, err := platformtest.Config(w.version, host,
		platformtest.Route{PathPrefix: "/twice/", Service: services[w.version%2], Repeats: true},
		platformtest.Route{PathPrefix: "/once/", Service: services[(w.version+1)%2]},
	)
	if err != nil {
		return err
	}
	w.store.SetFaults(platformtest.Faults{}) // operators reach the store whoever else does not
	o, err := w.store.Put(context.Background(), platform.ConfigKey, w.object, b)
	w.store.SetFaults(w.faults())
	if err != nil {
		return errors.Join(errors.New("the configuration was not taken"), err)
	}
	w.object = o.Version
	w.check.accept(w.version, time.Now())
	return nil
}

// wait waits for t or the end of x.
func wait(x context.Context, t time.Duration) {
	k := time.NewTimer(t)
	defer k.Stop()
	select {
	case <-k.C:
	case <-x.Done():
	}
}
