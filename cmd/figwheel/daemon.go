package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/daemon"
	"figwheel/event"
	"figwheel/hop"
	"figwheel/platform"
	"figwheel/settings"
)

// A daemon has a small heap and a high rate of calls: at Go's default settings
// the garbage collector runs continuously and delays one call in a hundred.
const (
	gcPercent        = 400 // heap growth between two collections
	memoryLimitBytes = 200 << 20
)

// tuneCollector sets the heap growth between two collections to percent, or to
// gcPercent if percent is 0, and the memory limit to memoryLimitBytes. It leaves
// alone what the environment sets by GOGC and GOMEMLIMIT.
func tuneCollector(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(cmp.Or(percent, gcPercent))
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

func daemonCommand(a *kingpin.Application) command {
	c := a.Command("daemon", "Run the daemon of one instance.")
	p := c.Flag("settings", "Path of the settings file; docs/OPERATIONS.md describes every field.").Envar("FIGWHEEL_CONFIG").Required().String()
	k := c.Flag("check", "Check the settings and exit.").Bool()
	return command{c.FullCommand(), func(x context.Context, _ io.Writer) error {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP) // the default action of SIGHUP ends the process
		defer signal.Stop(hup)
		s, err := settings.Load(*p, os.Environ())
		if err != nil || *k {
			return err
		}
		tuneCollector(s.CollectorPercent)
		o := event.NewWriter()
		written := make(chan error, 1)
		z, stop := context.WithCancel(context.WithoutCancel(x))
		go func() { written <- o.Run(z, os.Stdout) }()
		defer func() {
			stop()
			if err := <-written; err != nil {
				_, _ = fmt.Fprintf(os.Stderr, "cannot write the log: %v\n", err)
			}
		}()
		l := slog.New(slog.NewJSONHandler(o, &slog.HandlerOptions{Level: s.Level()}))
		log.SetFlags(0)
		log.SetOutput(slog.NewLogLogger(l.Handler(), slog.LevelDebug).Writer()) // for libraries that use package log
		d, err := daemon.New(daemon.Options{
			Settings: s,
			Store:    &platform.Client{Base: s.Platform, HTTP: &http.Client{Transport: hop.NewTransport(0, platformDialTimeout, platformIdleTimeout)}},
			Log:      l,
			Now:      time.Now,
			Seed:     uint64(time.Now().UnixNano()),
			Edge:     platformEdge(s),
		})
		if err != nil {
			return err
		}
		watchEnded := make(chan struct{})
		go func() {
			defer close(watchEnded)
			watchSettings(z, d, *p, hup, l)
		}()
		err = d.Run(x)
		stop()
		<-watchEnded
		return err
	}}
}

const (
	platformDialTimeout = 500 * time.Millisecond
	platformIdleTimeout = 30 * time.Second
)

// platformEdge returns the interface of the users' platform towards callers,
// workers and the writers of the configuration, nil if the settings select
// figwheel's own interface.
func platformEdge(s settings.Settings) *daemon.Edge {
	if s.Interface != settings.PlatformInterface {
		return nil
	}
	return &daemon.Edge{
		Headers:      platform.Headers(),
		Workers:      platform.Workers,
		AskWorker:    platform.AskWorker,
		ReadyPath:    platform.ReadyPath,
		HoldBack:     true,
		ConfigKey:    platform.ConfigKey,
		DecodeConfig: platform.DecodeConfig,
	}
}

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings applies the settings file whenever it has changed, and on every
// signal from hup, until x ends. Invalid settings are logged and not applied.
func watchSettings(x context.Context, d *daemon.Daemon, path string, hup <-chan os.Signal, l *slog.Logger) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		event.Log(x, l, event.SettingsRefused, slog.String("Path", path), slog.String("Cause", err.Error()))
	}
	for {
		signalled := false
		select {
		case <-x.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		var b []byte
		if b, err = os.ReadFile(path); err == nil && bytes.Equal(b, last) && !signalled {
			continue
		}
		var s settings.Settings
		if err == nil {
			last = b
			s, err = settings.Parse(b, os.Environ())
		}
		if err != nil {
			event.Log(x, l, event.SettingsRefused, slog.String("Path", path), slog.String("Cause", err.Error()))
			continue
		}
		d.Reload(x, s)
	}
}
