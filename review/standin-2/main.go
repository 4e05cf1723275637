// Command standin-2 plays a case of the review: it starts a small installation of
// daemons as processes, with stand-ins for the platform, the workers and the clients.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	caseTimeMax = 112 * time.Second

	linkMbpsDefault = 1000
)

// errBroken says that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// stage is what a case is played on.
type stage struct {
	root     string // of the repository
	dir      string // temporary
	log      *recorder
	trouble  bool // whether the case has its disruption
	store    *store
	platform string // address of the store
	linkMbps float64
	machines []*machine
}

var cases = map[string]func(x context.Context, s *stage) error{
	"foreign-check-in":    foreignCheckIn,
	"foreign-after-leave": foreignAfterLeave,
	"late-delete":         lateDelete,
	"store-back":          storeBack,
	"thin-link":           thinLink,
}

// The daemons end with the thread that starts them, also if this process is killed.
func init() { runtime.LockOSThread() }

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		return exitCannot
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = f.Close() }()
	dir, err := os.MkdirTemp("", "figwheel-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer func() { _ = os.RemoveAll(dir) }()
	x, stop := context.WithTimeout(context.Background(), caseTimeMax)
	defer stop()
	x, restore := signal.NotifyContext(x, os.Interrupt, syscall.SIGTERM)
	defer restore()
	s := &stage{
		root:    os.Args[2],
		dir:     dir,
		log:     &recorder{began: time.Now(), file: f},
		trouble: os.Getenv("TROUBLE") != "0",

		linkMbps: linkMbpsDefault,
	}
	defer s.end()
	s.log.printf("case %s, disruption: %t", os.Args[1], s.trouble)
	if err = s.startStore(x); err == nil {
		err = cases[os.Args[1]](x, s)
	}
	if x.Err() != nil {
		err = x.Err() // the case was not played to its end
	}
	switch {
	case err == nil:
		s.log.printf("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.log.printf("%v", err)
		return exitBroken
	}
	s.log.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitCannot
}

// startStore starts the stand-in for the platform's store.
func (s *stage) startStore(x context.Context) error {
	s.store = newStore()
	a, err := s.serveStore(x, nil)
	s.platform = a
	return err
}

// serveStore serves the store at a further address, which it returns. What it sends there
// takes the time that the link to one machine takes, nil for none.
func (s *stage) serveStore(x context.Context, k *link) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := l.Addr().String()
	if k != nil {
		l = linkListener{l, k}
	}
	v := &http.Server{Handler: s.store}
	go func() { _ = v.Serve(l) }()
	go func() {
		<-x.Done()
		_ = v.Close()
	}()
	return a, nil
}

// addMachine adds a machine with a worker of the service.
func (s *stage) addMachine(name, zone, service string) (*machine, error) {
	m, err := newMachine(s.root, s.dir, name, zone, service, s.platform, s.linkMbps)
	if err != nil {
		return nil, err
	}
	m.worker = &worker{log: s.log, service: service, zone: zone, id: "i-" + name, control: m.control, slots: 9, work: 20 * time.Millisecond}
	s.machines = append(s.machines, m)
	return m, nil
}

// startAll starts the daemons and the workers, and waits until all daemons are ready.
func (s *stage) startAll(x context.Context) error { return s.startWith(x, x, nil) }

// startWith is startAll; the worker of the machine k ends with y.
func (s *stage) startWith(x, y context.Context, k *machine) error {
	for _, m := range s.machines {
		if err := m.start(s.root); err != nil {
			return err
		}
		z := x
		if m == k {
			z = y
		}
		if err := m.worker.start(z, m.app); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if !await(15*time.Second, m.isReady) {
			return fmt.Errorf("the daemon of %s is not ready", m.name)
		}
	}
	return nil
}

// end ends all daemons.
func (s *stage) end() {
	for _, m := range s.machines {
		m.kill()
	}
}
