package change

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"figwheel/result"
)

// Ack is what one delivery down the tree found about one site.
type Ack struct {
	Site    string
	Staged  int
	InForce int
}

// Refusal is one instance's reason not to stage.
type Refusal struct {
	Instance string
	Site     string
	Code     result.Code
	Text     string
}

// Report is what a round of delivery found.
type Report struct {
	Acks      []Ack
	Refusals  []Refusal
	Behind    []string // live, but neither staged nor refused
	Unreached []string // could not be called
}

// Staged returns how many instances of the site have staged.
func (r Report) Staged(site string) int {
	for _, a := range r.Acks {
		if a.Site == site {
			return a.Staged
		}
	}
	return 0
}

// staged returns how many instances have staged.
func (r Report) staged() int {
	var n int
	for _, a := range r.Acks {
		n += a.Staged
	}
	return n
}

// Add returns the sum of two reports.
func (r Report) Add(o Report) Report {
	m := slices.Clone(r.Acks)
	for _, a := range o.Acks {
		i := slices.IndexFunc(m, func(b Ack) bool { return b.Site == a.Site })
		if i < 0 {
			m = append(m, a)
			continue
		}
		m[i].Staged += a.Staged
		m[i].InForce += a.InForce
	}
	slices.SortFunc(m, func(a, b Ack) int { return cmp.Compare(a.Site, b.Site) })
	f := slices.Concat(r.Refusals, o.Refusals)
	slices.SortFunc(f, func(a, b Refusal) int { return cmp.Compare(a.Instance, b.Instance) })
	return Report{
		Acks:      m,
		Refusals:  f,
		Behind:    slices.Concat(r.Behind, o.Behind),
		Unreached: slices.Concat(r.Unreached, o.Unreached),
	}
}

// Verdict is what a coordinator does next.
type Verdict int

// The verdicts.
const (
	Wait Verdict = iota
	Accept
	Refuse
)

// Decide returns the verdict on p at the time now. The report r is that of
// the live instances, of which there are that many: one that the report does
// not speak of has not staged. Sites are those that the configuration lists. One
// refusal refuses the whole change, and so does the deadline. Until then an
// instance that is live and silent is waited for; one that died is not in r.
func Decide(now time.Time, p Proposal, sites []string, live int, r Report) (Verdict, *result.Error) {
	if len(r.Refusals) > 0 {
		f := r.Refusals[0]
		return Refuse, result.New(result.StageRefused, "%s at site %s refused: %s: %s", f.Instance, f.Site, f.Code, f.Text)
	}
	var m []string
	for _, s := range sites {
		if r.Staged(s) == 0 {
			m = append(m, s)
		}
	}
	w := len(m) > 0 || len(r.Behind)+len(r.Unreached) > 0 || r.staged() < live
	if !w && now.Before(p.Deadline) {
		return Accept, nil
	}
	if now.Before(p.Deadline) {
		return Wait, nil
	}
	if len(m) > 0 {
		return Refuse, result.New(result.SiteUnreachable, "no instance reached at site %s", strings.Join(m, ", "))
	}
	late := someOf(slices.Concat(r.Behind, r.Unreached))
	if late == "" {
		late = fmt.Sprintf(": %d of %d instances reported it, the last round ended %s too late", r.staged(), live, now.Sub(p.Deadline).Round(time.Millisecond))
	}
	return Refuse, result.New(result.DeadlinePassed, "not staged by %s%s", p.Deadline.UTC().Format(time.RFC3339), late)
}

func someOf(n []string) string {
	const shown = 5
	if len(n) == 0 {
		return ""
	}
	if len(n) > shown {
		return fmt.Sprintf(": %s and %d more are behind", strings.Join(n[:shown], ", "), len(n)-shown)
	}
	return ": " + strings.Join(n, ", ") + " behind"
}

// Deadline returns when a proposal made at now has to be staged everywhere:
// after the limit, or at the end e of the break if that comes first.
func Deadline(now time.Time, limit time.Duration, e time.Time) time.Time {
	d := now.Add(limit)
	if !e.IsZero() && e.Before(d) {
		return e
	}
	return d
}

// TakesOver tells whether a daemon of the given rank among those that may
// finish a proposal does so at now: at once when the coordinator is gone, the
// next rank a while later, so that mostly one acts. More than one is harmless.
func TakesOver(now time.Time, p Proposal, live bool, rank int, gone time.Time) bool {
	const perRank = time.Second
	if live {
		return now.After(p.Deadline.Add(time.Duration(rank+1) * perRank))
	}
	return !now.Before(gone.Add(time.Duration(rank) * perRank))
}
