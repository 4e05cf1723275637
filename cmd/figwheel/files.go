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

func filesOf(c *kingpin.CmdClause) files {
	return files{
		base:     c.Arg("base", "The base file.").Required().String(),
		overlays: c.Arg("overlays", "The overlays, one file a site, or a directory of them.").Strings(),
	}
}

// bundle reads the files. They are named by their last path element, so that
// the same files make the same content wherever they are submitted from.
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

// checked reads the files and checks them; problems have been shown when the
// error is an exit code.
func (f files) checked(o io.Writer, asJSON bool) (site.Configuration, error) {
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

func readFile(p string) (site.File, error) {
	d, err := os.ReadFile(p)
	if err != nil {
		return site.File{}, result.Wrap(result.FileUnreadable, err, "cannot read")
	}
	return site.File{Name: filepath.Base(p), Text: string(d)}, nil
}

// writeJSON writes v as one line.
func writeJSON(o io.Writer, v any) error { return json.NewEncoder(o).Encode(v) }
