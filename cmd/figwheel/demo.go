package main

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/demo"
	"figwheel/examples"
)

func demoCommand(a *kingpin.Application) command {
	c := a.Command("demo", "Run a whole mesh in this process, change it under load, and count what callers saw. Exit code 1 if a promise was broken.")
	d := c.Flag("deployment", "Which mesh.").Default(examples.Names()[0]).Enum(examples.Names()...)
	t := c.Flag("for", "How long the load runs.").Default("10s").Duration()
	s := c.Flag("seed", "Of the random choices.").Default("1").Uint64()
	j := c.Flag("json", "End with one JSON object in place of the table.").Bool()
	v := c.Flag("log", "Show the daemons' logs on standard error.").Bool()
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		l := slog.New(slog.DiscardHandler)
		if *v {
			l = slog.New(slog.NewJSONHandler(os.Stderr, nil))
		}
		r, err := demo.Run(x, demo.Options{Deployment: *d, For: *t, Seed: *s, Out: o, Log: l})
		if err != nil {
			return err
		}
		if *j {
			err = writeJSON(o, r)
		} else {
			err = r.Write(o)
		}
		if err == nil && !r.Kept() {
			return exitError(exitRefused)
		}
		return err
	}}
}
