// Command figwheel-soak runs the soak of one or more seeds against the figwheel
// program.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/soak"
)

func main() {
	a := kingpin.New("figwheel-soak", "Runs daemons as separate processes, injects faults and checks the answers that callers receive and the requests that workers execute. Exits with code 1 if a guarantee was violated.")
	binary := a.Flag("binary", "Path of the figwheel program.").Default("./figwheel").ExistingFile()
	dir := a.Flag("dir", "Directory for the settings and logs of the daemons, with a subdirectory for each seed.").Required().String()
	seed := a.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := a.Flag("seeds", "Number of consecutive seeds to run, one after the other.").Default("1").Int()
	daemons := a.Flag("daemons", "Number of daemons, each with a worker.").Default("6").Int()
	length := a.Flag("for", "Duration of the traffic under faults.").Default("10s").Duration()
	ports := a.Flag("ports", "First port; each daemon has a range of ten.").Default("12000").Int()
	kingpin.MustParse(a.Parse(os.Args[1:]))
	x, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := 0
	for i := range *seeds {
		o := soak.Options{Binary: *binary, Seed: *seed + uint64(i), Daemons: *daemons, Length: *length, PortBase: *ports, Out: os.Stdout}
		o.Dir = filepath.Join(*dir, strconv.FormatUint(o.Seed, 10))
		ok, err := runSeed(x, o)
		if x.Err() != nil {
			_, _ = fmt.Fprintf(os.Stderr, "interrupted: seed %d was not run to its end\n", o.Seed)
			os.Exit(2)
		}
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		if !ok {
			code = 1
		}
	}
	os.Exit(code)
}

// runSeed creates the directory of the run and runs it. It reports whether every
// guarantee held.
func runSeed(x context.Context, o soak.Options) (bool, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return false, err
	}
	return soak.Run(x, o)
}
