package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/upstream/upstreamtest"
)

const headerTimeout = 10 * time.Second

// standinPlatformCommand registers the command standin and its subcommand
// platform. It must be called before standinWorkerCommand.
func standinPlatformCommand(a *kingpin.Application) command {
	c := a.Command("standin", "Run a stand-in for the platform or for a worker, for manual tests.")
	p := c.Command("platform", "Run a stand-in for the platform's object API.")
	l := p.Flag("address", "Address to listen on.").Default("127.0.0.1:7400").String()
	return command{p.FullCommand(), func(x context.Context, o io.Writer) error {
		n, err := net.Listen("tcp", *l)
		if err != nil {
			return result.Wrap(result.CannotListen, err, "address %s", *l)
		}
		_, _ = fmt.Fprintf(o, "platform stand-in at http://%s; PUT /faults sets its faults\n", n.Addr())
		s := &http.Server{Handler: platformtest.Handler{Store: &platformtest.Store{}}, ReadHeaderTimeout: headerTimeout}
		done := make(chan error, 1)
		go func() { done <- s.Serve(n) }()
		select {
		case <-x.Done():
			_ = s.Close()
			return nil
		case err := <-done:
			return err
		}
	}}
}

// standinWorkerCommand registers the subcommand worker of standin.
func standinWorkerCommand(a *kingpin.Application) command {
	w := a.GetCommand("standin").Command("worker", "Run a stand-in for a worker beside a daemon.")
	l := w.Flag("address", "Address to listen on.").Default("127.0.0.1:0").String()
	u := w.Flag("daemon", "Upstream address of the daemon beside the worker.").Default("127.0.0.1:7404").String()
	s := w.Flag("service", "Name of the service of the worker.").Required().String()
	n := w.Flag("slots", "Number of slots of the worker.").Default("9").Int()
	t := w.Flag("work", "Time that the worker spends on each request.").Default("2ms").Duration()
	return command{w.FullCommand(), func(x context.Context, o io.Writer) error {
		c, err := net.Listen("tcp", *l)
		if err != nil {
			return result.Wrap(result.CannotListen, err, "address %s", *l)
		}
		_, _ = fmt.Fprintf(o, "worker of %s at %s\n", *s, c.Addr())
		k := &upstreamtest.Worker{Name: c.Addr().String(), Service: *s, Slots: *n, Work: *t}
		if err := k.Run(x, c, *u); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}}
}
