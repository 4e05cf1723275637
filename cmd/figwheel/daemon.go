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
	p := c.Flag("settings", "The settings file; docs/OPERATING.md has every field.").Required().String()
	k := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c.FullCommand(), func(x context.Context, _ io.Writer) error {
		s, err := settings.Load(*p, os.Environ())
		if err != nil || *k {
			return err
		}
		tuneCollector()
		l := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.Level()}))
		d, err := daemon.New(daemon.Options{
			Settings: s,
			Store:    platform.Client{Base: s.Platform},
			Log:      l,
			Now:      time.Now,
			Seed:     uint64(time.Now().UnixNano()),
		})
		if err != nil {
			return err
		}
		return d.Run(x)
	}}
}
