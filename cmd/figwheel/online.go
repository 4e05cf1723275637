package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"figwheel/operator"
	"figwheel/operator/operatorpb"
	"figwheel/result"
)

const operatorAddressDefault = "127.0.0.1:7405"

// daemonFlag adds the flag for the operator address to the command c.
func daemonFlag(c *kingpin.CmdClause) *string {
	return c.Flag("daemon", "Operator address of any daemon.").Default(operatorAddressDefault).Envar("FIGWHEEL_DAEMON").String()
}

// submitFlags are the flags and arguments of the command submit.
type submitFlags struct {
	daemon, id, as, reason *string
	on                     *uint64
	json                   *bool
	files                  files
}

func submitCommand(a *kingpin.Application) command {
	c := a.Command("submit", "Submit a base file and overlays, and show the progress of the change until it is in force at every site.")
	f := submitFlags{
		daemon: daemonFlag(c),
		id:     c.Flag("change", "Id of the change; submit again with the same id to learn its outcome.").String(),
		as:     c.Flag("as", "Name of the submitter; defaults to the name of the current user.").String(),
		reason: c.Flag("reason", "Reason for the change, recorded in the audit trail.").String(),
		on:     c.Flag("on", "Reject the submission unless this version is in force.").Uint64(),
		json:   c.Flag("json", "Print each step as one JSON object.").Bool(),
		files:  filesOf(c),
	}
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error { return submit(x, o, f) }}
}

// submit submits the files, prints each step and returns when the submission has
// ended.
func submit(x context.Context, o io.Writer, f submitFlags) error {
	b, err := f.files.bundle()
	if err != nil {
		return err
	}
	q := &operatorpb.SubmitRequest{
		ChangeID:  *f.id,
		Submitter: *f.as,
		Reason:    *f.reason,
		OnNumber:  *f.on,
		Base:      &operatorpb.File{Name: b.Base.Name, Text: b.Base.Text},
	}
	for _, v := range b.Overlays {
		q.Overlays = append(q.Overlays, &operatorpb.File{Name: v.Name, Text: v.Text})
	}
	if q.ChangeID == "" {
		q.ChangeID = strings.ToLower(rand.Text()[:12])
	}
	if u, err := user.Current(); q.Submitter == "" && err == nil {
		q.Submitter = u.Username
	}
	s, err := operator.NewClient(*f.daemon).Submit(x, q)
	if err != nil {
		return result.Wrap(result.Unreachable, err, "daemon %s", *f.daemon)
	}
	defer func() { _ = s.Close() }()
	var last *operatorpb.SubmitResponse
	for s.Receive() {
		last = s.Msg()
		if err := showStep(o, *f.json, last); err != nil {
			return err
		}
	}
	return submitResult(o, q.ChangeID, last, s.Err())
}

// submitResult returns nil if the last step r says that the change is in force or
// changed nothing. Otherwise it returns an exitError, or an error if the daemon
// could not be reached. If the outcome is unknown, it prints how to submit the
// change again. The error err is that of the stream of steps.
func submitResult(o io.Writer, id string, r *operatorpb.SubmitResponse, err error) error {
	switch r.GetStep() {
	case "InForce", "Unchanged":
		return nil
	case "Refused":
		for _, p := range r.GetProblems() {
			if result.Code(p.GetCode()) == result.Conflict {
				return exitError(exitConflict)
			}
		}
		return exitError(exitRefused)
	}
	var n *net.OpError
	if r == nil && errors.As(err, &n) && n.Op == "dial" {
		return result.Wrap(result.Unreachable, err, "no connection; nothing was submitted")
	}
	// A daemon that ended after it had read the submission may have carried it out.
	_, _ = fmt.Fprintf(o, "outcome unknown; submit again with --change %s\n", id)
	return exitError(exitUnknown)
}

// showStep prints one step of a submission with the progress of each site.
func showStep(o io.Writer, asJSON bool, r *operatorpb.SubmitResponse) error {
	if asJSON {
		return writeJSON(o, r)
	}
	_, _ = fmt.Fprintf(o, "%6d ms  %-10s", r.GetElapsedMs(), r.GetStep())
	if r.GetNumber() > 0 {
		_, _ = fmt.Fprintf(o, "  version %d", r.GetNumber())
	}
	if r.GetStep() == "Proposed" {
		_, _ = fmt.Fprintf(o, "  change %s", r.GetChangeID())
	}
	for _, s := range r.GetSites() {
		n := s.GetStaged()
		if r.GetStep() == "Activating" {
			n = s.GetInForce()
		}
		_, _ = fmt.Fprintf(o, "  %s %d/%d", s.GetSite(), n, s.GetLive())
	}
	_, _ = fmt.Fprintln(o)
	for _, p := range r.GetProblems() {
		_, _ = fmt.Fprintf(o, "           %s\n", p.GetText())
	}
	return nil
}

func statusCommand(a *kingpin.Application) command {
	c := a.Command("status", "Show the version in force and the progress of each site.")
	d := daemonFlag(c)
	j := c.Flag("json", "Print one JSON object.").Bool()
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		r, err := operator.NewClient(*d).Status(x, &operatorpb.StatusRequest{})
		if err != nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *d)
		}
		return showStatus(o, *j, r)
	}}
}

// showStatus prints the status with one row for each site.
func showStatus(o io.Writer, asJSON bool, r *operatorpb.StatusResponse) error {
	if asJSON {
		return writeJSON(o, r)
	}
	_, _ = fmt.Fprintf(o, "version %d of change %s, as %s sees it\n", r.GetNumber(), r.GetChangeID(), r.GetInstance())
	if !r.GetPlatformReachable() {
		_, _ = fmt.Fprintln(o, "the platform does not answer: nothing can be changed")
	}
	if r.GetProposedNumber() > 0 {
		_, _ = fmt.Fprintf(o, "version %d of change %s is being staged\n", r.GetProposedNumber(), r.GetProposedChangeID())
	}
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SITE\tLIVE\tIN FORCE\tBEHIND")
	for _, s := range r.GetSites() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", s.GetSite(), s.GetLive(), s.GetInForce(), strings.Join(s.GetBehind(), " "))
	}
	return w.Flush()
}

func watchCommand(a *kingpin.Application) command {
	c := a.Command("watch", "Show the status whenever it changes.")
	d := daemonFlag(c)
	j := c.Flag("json", "Print each status as one JSON object.").Bool()
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		s, err := operator.NewClient(*d).Watch(x, &operatorpb.WatchRequest{})
		if err != nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *d)
		}
		defer func() { _ = s.Close() }()
		for s.Receive() {
			if err := showStatus(o, *j, s.Msg().GetStatus()); err != nil {
				return err
			}
		}
		if err := s.Err(); err != nil && x.Err() == nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *d)
		}
		return nil
	}}
}

func auditCommand(a *kingpin.Application) command {
	c := a.Command("audit", "Show the audit trail: the time, submitter, sites and outcome of each change.")
	d := daemonFlag(c)
	n := c.Flag("last", "Maximum number of records.").Default("50").Uint32()
	j := c.Flag("json", "Print each record as one JSON object.").Bool()
	return command{c.FullCommand(), func(x context.Context, o io.Writer) error {
		r, err := operator.NewClient(*d).Audit(x, &operatorpb.AuditRequest{Limit: *n})
		if err != nil {
			return result.Wrap(result.Unreachable, err, "daemon %s", *d)
		}
		return showAudit(o, *j, r.GetRecords())
	}}
}

// showAudit prints the audit records.
func showAudit(o io.Writer, asJSON bool, l []*operatorpb.AuditRecord) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	for _, a := range l {
		if asJSON {
			if err := writeJSON(o, a); err != nil {
				return err
			}
			continue
		}
		var p []string
		for _, v := range a.GetProblems() {
			p = append(p, v.GetText())
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\tversion %d\t%s\t%d ms\t%s\t%s\n", a.GetTime(), a.GetChangeID(), a.GetStep(), a.GetNumber(), a.GetSubmitter(), a.GetElapsedMs(), strings.Join(a.GetSitesChanged(), ","), strings.Join(append(p, a.GetReason()), "; "))
	}
	return w.Flush()
}
