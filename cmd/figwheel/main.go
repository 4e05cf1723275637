// Command figwheel runs the daemon beside each worker and is the command line for
// supervisors and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
	_ "time/tzdata" // breaks need a time zone database, which an instance may lack

	"github.com/alecthomas/kingpin/v2"

	"figwheel/result"
)

// Exit codes of the command line.
const (
	exitOK      = iota
	exitRefused // also any error without a code of its own
	exitUsage
	exitConflict
	exitUnknown
	exitUnreachable
)

// command is a subcommand. Its flags are bound when it is registered.
type command struct {
	name string
	run  func(x context.Context, o io.Writer) error
}

// exitError is the exit code for an outcome that has already been printed.
type exitError int

// Error implements error.
func (e exitError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

func main() {
	x, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := run(x, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(c)
}

// run executes a command line, with o as standard output and e as standard error,
// and returns the exit code.
func run(x context.Context, args []string, o, e io.Writer) int {
	a := kingpin.New("figwheel", "Distributes the configuration of a service mesh and forwards its calls accordingly.\n\nExit codes: 0 done or accepted, 1 refused, 2 wrong usage, 3 conflict, 4 outcome unknown, 5 daemon unreachable.")
	a.UsageWriter(o).ErrorWriter(e)
	a.HelpFlag.Short('h')
	terminated := -1
	a.Terminate(func(c int) { terminated = c })
	cs := []command{
		daemonCommand(a),
		checkCommand(a),
		diffCommand(a),
		submitCommand(a),
		statusCommand(a),
		watchCommand(a),
		auditCommand(a),
		keyHashCommand(a, os.Stdin),
		demoCommand(a),
		standinPlatformCommand(a),
		standinWorkerCommand(a),
	}
	n, err := a.Parse(args)
	if terminated >= 0 {
		return terminated
	}
	if err != nil {
		_, _ = fmt.Fprintf(e, "%v; try figwheel --help\n", result.Wrap(result.Usage, err, "command line"))
		return exitUsage
	}
	for _, c := range cs {
		if c.name == n {
			return exitCode(c.run(x, o), e)
		}
	}
	return exitUsage
}

// exitCode returns the exit code for err. It prints err to e unless that has
// already been done, that is, unless err is an exitError.
func exitCode(err error, e io.Writer) int {
	if err == nil {
		return exitOK
	}
	var c exitError
	if errors.As(err, &c) {
		return int(c)
	}
	_, _ = fmt.Fprintf(e, "%s %v\n", time.Now().Format(time.TimeOnly), err)
	switch result.CodeOf(err) {
	case result.Unreachable:
		return exitUnreachable
	case result.BadSettings, result.Usage, result.FileUnreadable:
		return exitUsage
	}
	return exitRefused
}
