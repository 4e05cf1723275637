package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/daemon"
	"figwheel/platform"
	"figwheel/settings"
)

func daemonCommand(a *kingpin.Application) command {
	c := a.Command("daemon", "Run the daemon of one instance.")
	p := c.Flag("settings", "The settings file; docs/OPERATING.md has every field.").Required().String()
	k := c.Flag("check", "Check the settings and stop.").Bool()
	return command{c.FullCommand(), func(x context.Context, _ io.Writer) error {
		s, err := settings.Load(*p, os.Environ())
		if err != nil || *k {
			return err
		}
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
