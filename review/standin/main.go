package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup is what a case is given.
type setup struct {
	rec     *record
	d       *deployment
	trouble bool
}

// cases are the scripted cases by name, which their files add. Each returns whether the
// rule was broken.
var cases = map[string]func(s setup) (broken bool, err error){}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: review-case CASE ROOT RECORD")
		return exitNotRun
	}
	f, ok := cases[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Println("no such case")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	d, err := newDeployment(rec, root)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	stop := sync.OnceFunc(d.stop)
	defer stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		rec.result("the case was ended")
		stop()
		os.Exit(exitNotRun)
	}()
	broken, err := f(setup{rec, d, os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.result("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.result("the rule was broken")
		return exitBroken
	}
	rec.result("the rule held")
	return exitHeld
}
