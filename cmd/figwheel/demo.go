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
	c := a.Command("demo", "Run a whole mesh in this process, change its configuration under load, and report the results of the calls. Exits with code 1 if a guarantee was violated.")
	d := c.Flag("deployment", "Name of the example deployment to run.").Default(examples.Names()[0]).Enum(examples.Names()...)
	t := c.Flag("for", "Duration of the load.").Default("10s").Duration()
	s := c.Flag("seed", "Seed of the random choices.").Default("1").Uint64()
	j := c.Flag("json", "Print the report as one JSON object instead of a table.").Bool()
	v := c.Flag("log", "Write the logs of the daemons to standard error.").Bool()
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
		if err == nil && !r.GuaranteesHeld() {
			return exitError(exitRefused)
		}
		return err
	}}
}
