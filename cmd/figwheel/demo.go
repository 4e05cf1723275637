package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

func demoCommand(a *kingpin.Application) command {
	c := a.Command("demo", "Run a whole mesh in this process, change it under load, and count what callers saw.")
	return command{c.FullCommand(), func(_ context.Context, _ io.Writer) error { return nil }}
}
