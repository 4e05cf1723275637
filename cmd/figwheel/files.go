package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/result"
	"figwheel/site"
)

// files are the arguments that name a base file and its overlays.
type files struct {
	base     *string
	overlays *[]string
}

// filesOf adds the arguments to the command c.
func filesOf(c *kingpin.CmdClause) files {
	return files{
		base:     c.Arg("base", "The base file.").Required().String(),
		overlays: c.Arg("overlays", "The overlays: one file per site, or a directory of them.").Strings(),
	}
}

// optionalFilesOf is filesOf for a command that can do without a base file.
func optionalFilesOf(c *kingpin.CmdClause) files {
	return files{
		base:     c.Arg("base", "The base file.").String(),
		overlays: c.Arg("overlays", "The overlays: one file per site, or a directory of them.").Strings(),
	}
}

// bundle reads the files. Each is named by the last element of its path, so that
// equal files give equal content from whichever directory they are submitted.
func (f files) bundle() (site.Bundle, error) {
	var b site.Bundle
	var err error
	b.Base, err = readFile(*f.base)
	if err != nil {
		return b, err
	}
	for _, p := range *f.overlays {
		l := []string{p}
		if s, err := os.Stat(p); err == nil && s.IsDir() {
			l, _ = filepath.Glob(filepath.Join(p, "*.yaml"))
		}
		for _, n := range l {
			o, err := readFile(n)
			if err != nil {
				return b, err
			}
			b.Overlays = append(b.Overlays, o)
		}
	}
	return b, nil
}

// readAndCheck reads the files and checks them. If they have problems, it prints
// these and returns an exitError.
func (f files) readAndCheck(o io.Writer, asJSON bool) (site.Configuration, error) {
	b, err := f.bundle()
	if err != nil {
		return site.Configuration{}, err
	}
	g, p := site.Check(b, time.Now())
	if len(p) > 0 {
		return g, showProblems(o, asJSON, p)
	}
	return g, nil
}

// readFile reads the file at the path p.
func readFile(p string) (site.File, error) {
	d, err := os.ReadFile(p)
	if err != nil {
		return site.File{}, result.Wrap(result.FileUnreadable, err, "cannot read the file")
	}
	return site.File{Name: filepath.Base(p), Text: string(d)}, nil
}

// writeJSON writes v as one line.
func writeJSON(o io.Writer, v any) error { return json.NewEncoder(o).Encode(v) }
