package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/operator"
	"figwheel/operator/operatorpb"
	"figwheel/platform"
	"figwheel/result"
	"figwheel/site"
)

// checkFlags are the flags and arguments of the command check.
type checkFlags struct {
	site, managed, against, daemon *string
	json, strict                   *bool
	files                          files
}

func checkCommand(a *kingpin.Application) command {
	c := a.Command("check", "Check a configuration before it is sent: show errors, entries that can never match, limits that contradict each other and, if asked to, what differs from the version in force. Exit code 1 if there are errors.")
	f := checkFlags{
		site:    c.Flag("site", "Show the merged configuration of this site, with the source file of each value.").String(),
		managed: c.Flag("managed", "Check this managed configuration, in the JSON of the platform, instead of a base file and overlays.").String(),
		against: c.Flag("against", "With --managed: show what differs from the managed configuration in this file.").String(),
		daemon:  c.Flag("daemon", "Without --managed: show what differs from the version in force at the daemon with this operator address.").String(),
		json:    c.Flag("json", "Print one JSON object.").Bool(),
		strict:  c.Flag("strict", "Exit with code 1 also if there are only warnings.").Bool(),
		files:   optionalFilesOf(c),
	}
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		if (*f.managed == "") == (*f.files.base == "") || *f.managed != "" && (*f.site != "" || *f.daemon != "") || *f.managed == "" && *f.against != "" {
			return result.New(result.Usage, "give a base file, with --site and --daemon if wanted, or --managed, with --against if wanted")
		}
		if *f.managed != "" {
			return checkManaged(o, f)
		}
		return checkFiles(x, o, f)
	}}
}

// siteFindings are the findings of one site, or of all sites if Site is empty.
type siteFindings struct {
	Site     string `json:",omitempty"`
	Findings []site.Finding
}

// checkFiles checks a base file and overlays.
func checkFiles(x context.Context, o io.Writer, f checkFlags) error {
	g, err := f.files.readAndCheck(o, *f.json)
	if err != nil {
		return err
	}
	if *f.site != "" && !g.Has(*f.site) {
		return result.New(result.UnknownSite, "the base lists no site %s; sites are %s", *f.site, strings.Join(g.Sites(), ", "))
	}
	var l []siteFindings
	t := g.Tables()
	for _, s := range slices.Sorted(maps.Keys(t)) {
		if v := t[s].Findings(); len(v) > 0 {
			l = append(l, siteFindings{s, v})
		}
	}
	var number uint64
	var changes []site.Diff
	if *f.daemon != "" {
		r, err := operator.NewClient(*f.daemon).Source(x, &operatorpb.SourceRequest{})
		if err != nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *f.daemon)
		}
		old, err := inForce(r)
		if err != nil {
			return err
		}
		number, changes = r.GetNumber(), old.Diff(g)
	}
	if *f.json {
		err := writeJSON(o, struct {
			Organisation string
			Sites        []string
			Lines        []site.Line
			Findings     []siteFindings `json:",omitempty"`
			On           uint64         `json:",omitempty"`
			Changes      []site.Diff    `json:",omitempty"`
		}{g.Organisation(), g.Sites(), g.Lines(*f.site), l, number, changes})
		if err != nil {
			return err
		}
		return findingsExit(l, *f.strict)
	}
	_, _ = fmt.Fprintf(o, "%s: %d sites (%s), no problems\n", g.Organisation(), len(g.Sites()), strings.Join(g.Sites(), ", "))
	showFindings(o, l)
	if err := showLines(o, "", g.Lines(*f.site)); err != nil {
		return err
	}
	if *f.daemon != "" {
		if err := showDiff(o, false, number, changes); err != nil {
			return err
		}
	}
	return findingsExit(l, *f.strict)
}

// checkManaged checks a managed configuration, which is the same at all sites.
func checkManaged(o io.Writer, f checkFlags) error {
	t, v, err := readManaged(*f.managed)
	if err != nil {
		return err
	}
	l := []siteFindings{{"", append(v, t.Findings()...)}}
	var old site.Table
	var changes []site.Change
	if *f.against != "" {
		if old, _, err = readManaged(*f.against); err != nil {
			return err
		}
		changes = t.Changes(old)
	}
	if *f.json {
		err := writeJSON(o, struct {
			Number   uint64
			Findings []site.Finding
			On       uint64        `json:",omitempty"`
			Changes  []site.Change `json:",omitempty"`
		}{t.Number, l[0].Findings, old.Number, changes})
		if err != nil {
			return err
		}
		return findingsExit(l, *f.strict)
	}
	_, _ = fmt.Fprintf(o, "version %d: %d routes, %d services, %d accounts, %d findings\n", t.Number, len(t.Routes), len(t.Services), len(t.Accounts), len(l[0].Findings))
	showFindings(o, l)
	if *f.against != "" {
		if err := showChanges(o, old.Number, changes); err != nil {
			return err
		}
	}
	return findingsExit(l, *f.strict)
}

// readManaged returns the managed configuration in the file at the path p, and the parts
// of it that could not be decoded as written.
func readManaged(p string) (site.Table, []site.Finding, error) {
	d, err := readFile(p)
	if err != nil {
		return site.Table{}, nil, err
	}
	t, faults, err := platform.DecodeConfig([]byte(d.Text))
	var l []site.Finding
	for _, f := range faults {
		l = append(l, site.FindingOf(d.Name, f))
	}
	return t, l, err
}

// showFindings prints one line for each finding.
func showFindings(o io.Writer, l []siteFindings) {
	for _, s := range l {
		for _, f := range s.Findings {
			if s.Site != "" {
				_, _ = fmt.Fprintf(o, "site %s: ", s.Site)
			}
			_, _ = fmt.Fprintln(o, f)
		}
	}
}

// showChanges prints the changes to the version with the number.
func showChanges(o io.Writer, number uint64, l []site.Change) error {
	if len(l) == 0 {
		_, _ = fmt.Fprintf(o, "no changes to version %d\n", number)
		return nil
	}
	_, _ = fmt.Fprintf(o, "on version %d:\n", number)
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	for _, c := range l {
		if c.Old != "" {
			_, _ = fmt.Fprintf(w, "  - %s\t%s\n", c.Key, c.Old)
		}
		if c.New != "" {
			_, _ = fmt.Fprintf(w, "  + %s\t%s\n", c.Key, c.New)
		}
	}
	return w.Flush()
}

// findingsExit returns the exitError for findings that are errors or, if strict is set,
// for any.
func findingsExit(l []siteFindings, strict bool) error {
	for _, s := range l {
		if slices.ContainsFunc(s.Findings, func(f site.Finding) bool { return f.Error || strict }) {
			return exitError(exitRefused)
		}
	}
	return nil
}
