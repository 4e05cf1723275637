package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/daemon"
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
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
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
		tuneCollector()
		l := slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: s.Level()}))
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
