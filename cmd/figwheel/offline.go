package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/operator"
	"figwheel/operator/operatorpb"
	"figwheel/result"
	"figwheel/site"
)

// showProblems prints the problems and returns an exitError.
func showProblems(o io.Writer, asJSON bool, p []site.Problem) error {
	if asJSON {
		if err := writeJSON(o, struct{ Problems []site.Problem }{p}); err != nil {
			return err
		}
		return exitError(exitRefused)
	}
	for _, v := range p {
		_, _ = fmt.Fprintln(o, v)
	}
	_, _ = fmt.Fprintf(o, "%d problems\n", len(p))
	return exitError(exitRefused)
}

// showLines prints the lines as a table, each row with the mark before it.
func showLines(o io.Writer, mark string, l []site.Line) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	for _, v := range l {
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\n", mark, v.Key, v.Value, v.At)
	}
	return w.Flush()
}

func diffCommand(a *kingpin.Application) command {
	c := a.Command("diff", "Show what a submission would change at each site.")
	d := daemonFlag(c)
	j := c.Flag("json", "Print one JSON object.").Bool()
	f := filesOf(c)
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		g, err := f.readAndCheck(o, *j)
		if err != nil {
			return err
		}
		r, err := operator.NewClient(*d).Source(x, &operatorpb.SourceRequest{})
		if err != nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *d)
		}
		old, err := inForce(r)
		if err != nil {
			return err
		}
		return showDiff(o, *j, r.GetNumber(), old.Diff(g))
	}}
}

// inForce returns the configuration of the files in r, the zero value if no
// version is in force.
func inForce(r *operatorpb.SourceResponse) (site.Configuration, error) {
	if r.GetNumber() == 0 {
		return site.Configuration{}, nil
	}
	b := site.Bundle{Base: site.File{Name: r.GetBase().GetName(), Text: r.GetBase().GetText()}}
	for _, f := range r.GetOverlays() {
		b.Overlays = append(b.Overlays, site.File{Name: f.GetName(), Text: f.GetText()})
	}
	g, p := site.Check(b, time.Now())
	if len(p) > 0 {
		return g, result.New(p[0].Code, "the files in force are invalid: %s", p[0])
	}
	return g, nil
}

// showDiff prints the differences l between the version in force, which has the
// number, and the checked files.
func showDiff(o io.Writer, asJSON bool, number uint64, l []site.Diff) error {
	if asJSON {
		return writeJSON(o, struct {
			On    uint64
			Sites []site.Diff
		}{number, l})
	}
	if len(l) == 0 {
		_, _ = fmt.Fprintf(o, "no changes to version %d\n", number)
	}
	for _, s := range l {
		_, _ = fmt.Fprintf(o, "site %s, on version %d:\n", s.Site, number)
		if err := showLines(o, "  - ", s.Removed); err != nil {
			return err
		}
		if err := showLines(o, "  + ", s.Added); err != nil {
			return err
		}
	}
	return nil
}
