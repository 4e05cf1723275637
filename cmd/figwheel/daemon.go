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

// A daemon's heap is small and its calls are many: at the usual setting the
// collector runs all the time and delays one call in a hundred.
const (
	gcPercent        = 400
	memoryLimitBytes = 200 << 20
)

// tuneCollector gives memory for steadier calls, unless the environment says
// otherwise.
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
	p := c.Flag("settings", "The settings file; docs/OPERATIONS.md has every field.").Envar("FIGWHEEL_CONFIG").Required().String()
	k := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c.FullCommand(), func(x context.Context, _ io.Writer) error {
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP) // by default it ends the process
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
				_, _ = fmt.Fprintf(os.Stderr, "the log could not be written: %v\n", err)
			}
		}()
		l := slog.New(slog.NewJSONHandler(o, &slog.HandlerOptions{Level: s.Level()}))
		log.SetFlags(0)
		log.SetOutput(slog.NewLogLogger(l.Handler(), slog.LevelDebug).Writer()) // what libraries print
		d, err := daemon.New(daemon.Options{
			Settings: s,
			Store:    platform.Client{Base: s.Platform, HTTP: &http.Client{Transport: hop.NewTransport(0, platformDialTime, platformIdleTime)}},
			Log:      l,
			Now:      time.Now,
			Seed:     uint64(time.Now().UnixNano()),
			Edge:     edge(s),
		})
		if err != nil {
			return err
		}
		reloaded := make(chan struct{})
		go func() {
			defer close(reloaded)
			reload(z, d, *p, hup, l)
		}()
		err = d.Run(x)
		stop()
		<-reloaded
		return err
	}}
}

const (
	platformDialTime = 500 * time.Millisecond
	platformIdleTime = 30 * time.Second
)

// edge returns what the daemon speaks to those that are not daemons, nil for
// figwheel's own interface.
func edge(s settings.Settings) *daemon.Edge {
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

// reloadTime is how often the settings file is read: it may change without a
// signal.
const reloadTime = 2 * time.Second

// reload follows the settings file until x ends. Settings that are wrong change
// nothing.
func reload(x context.Context, d *daemon.Daemon, path string, hup <-chan os.Signal, l *slog.Logger) {
	t := time.NewTicker(reloadTime)
	defer t.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		event.Log(x, l, event.SettingsRefused, slog.String("Path", path), slog.String("Cause", err.Error()))
	}
	for {
		asked := false
		select {
		case <-x.Done():
			return
		case <-hup:
			asked = true
		case <-t.C:
		}
		var b []byte
		if b, err = os.ReadFile(path); err == nil && bytes.Equal(b, last) && !asked {
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
