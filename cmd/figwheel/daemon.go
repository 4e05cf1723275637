package main

import (
	"cmp"
	"context"
	"io"
	"log"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/daemon"
	"figwheel/event"
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
			<-written // without standard output there is nowhere to say so
		}()
		l := slog.New(slog.NewJSONHandler(o, &slog.HandlerOptions{Level: s.Level()}))
		log.SetFlags(0)
		log.SetOutput(slog.NewLogLogger(l.Handler(), slog.LevelDebug).Writer()) // what libraries print
		d, err := daemon.New(daemon.Options{
			Settings: s,
			Store:    platform.Client{Base: s.Platform},
			Log:      l,
			Now:      time.Now,
			Seed:     uint64(time.Now().UnixNano()),
			Edge:     edge(s),
		})
		if err != nil {
			return err
		}
		return d.Run(x)
	}}
}

// edge returns what the daemon speaks to those that are not daemons, nil for
// figwheel's own interface.
func edge(s settings.Settings) *daemon.Edge {
	if s.Interface != settings.PlatformInterface {
		return nil
	}
	return &daemon.Edge{
		Headers:      platform.Headers(),
		Workers:      platform.Workers,
		ReadyPath:    platform.ReadyPath,
		HoldBack:     true,
		ConfigKey:    platform.ConfigKey,
		DecodeConfig: platform.DecodeConfig,
	}
}
