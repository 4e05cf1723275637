// Command figwheel-soak plays seeds of the soak against the figwheel program.
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
	a := kingpin.New("figwheel-soak", "Runs daemons as separate processes, injects faults and checks what callers and workers see. Exits with 1 if a promise was broken.")
	binary := a.Flag("binary", "The figwheel program.").Default("./figwheel").ExistingFile()
	dir := a.Flag("dir", "Where settings and logs of the daemons go; each seed gets a folder.").Required().String()
	seed := a.Flag("seed", "The first seed.").Default("1").Uint64()
	seeds := a.Flag("seeds", "How many to play, one after the other.").Default("1").Int()
	daemons := a.Flag("daemons", "Daemons and workers.").Default("6").Int()
	length := a.Flag("for", "Traffic under faults.").Default("10s").Duration()
	ports := a.Flag("ports", "The first port; ten for each daemon.").Default("12000").Int()
	kingpin.MustParse(a.Parse(os.Args[1:]))
	x, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := 0
	for i := range *seeds {
		o := soak.Options{Binary: *binary, Seed: *seed + uint64(i), Daemons: *daemons, Length: *length, PortBase: *ports, Out: os.Stdout}
		o.Dir = filepath.Join(*dir, strconv.FormatUint(o.Seed, 10))
		ok, err := play(x, o)
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

func play(x context.Context, o soak.Options) (bool, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return false, err
	}
	return soak.Run(x, o)
}
