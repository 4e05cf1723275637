// Command standin-3 plays the cases of the third review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case takes.
const longest = 112 * time.Second

// The results of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// cases are the cases by name. Without trouble a case does the same without the
// disruption.
var cases = map[string]func(f *fleet, trouble bool) (int, error){}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-3 CASE RECORD")
		return cantRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.say("the case cannot run: %v", err)
		return cantRun
	}
	defer f.end()
	go func() {
		c := make(chan os.Signal, 1)
		signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case s := <-c:
			r.say("the case cannot run: it got %v", s)
		case <-time.After(longest):
			r.say("the case cannot run: it takes over %v", longest)
		}
		f.end()
		r.close()
		os.Exit(cantRun)
	}()
	n, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case cannot run: %v", err)
		return cantRun
	}
	return n
}
