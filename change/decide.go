package change

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"figwheel/result"
)

// Ack counts the instances of one site that one delivery down the tree found
// to be up to date.
type Ack struct {
	Site    string
	Staged  int // instances that have staged the proposal
	InForce int // instances that serve at least the release in force
}

// Refusal is the reason why one instance refused to stage a proposal.
type Refusal struct {
	Instance string
	Site     string
	Code     result.Code
	Text     string
}

// Report is the result of one delivery round.
type Report struct {
	Acks     []Ack
	Refusals []Refusal
	// Behind names the instances that answered but have neither staged nor refused
	// the proposal or, if there is none, do not serve the release in force.
	Behind    []string
	Unreached []string // instances that could not be called
}

// Staged returns how many instances of the site have staged the proposal.
func (r Report) Staged(site string) int {
	for _, a := range r.Acks {
		if a.Site == site {
			return a.Staged
		}
	}
	return 0
}

// totalStaged returns how many instances of all sites have staged the proposal.
func (r Report) totalStaged() int {
	var n int
	for _, a := range r.Acks {
		n += a.Staged
	}
	return n
}

// Add returns the sum of r and o: counts are added by site, lists are joined.
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

// Verdict is the next step of a coordinator.
type Verdict int

// The verdicts.
const (
	Wait   Verdict = iota // deliver again
	Accept                // put the proposal in force
	Refuse                // end the change
)

// Decide returns the verdict on p at the time now, with the reason if it is
// Refuse. Report r covers the live instances, and live is their number: a live
// instance that is missing from r has not staged. Sites are those that the
// configuration lists; each needs at least one instance that has staged. A
// single refusal refuses the whole change, and so does an expired deadline.
// Until the deadline Decide waits for live instances that have not answered.
// Instances that are known to be dead are not in r and are not waited for.
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
	w := len(m) > 0 || len(r.Behind)+len(r.Unreached) > 0 || r.totalStaged() < live
	if !w && now.Before(p.Deadline) {
		return Accept, nil
	}
	if now.Before(p.Deadline) {
		return Wait, nil
	}
	if len(m) > 0 {
		return Refuse, result.New(result.SiteUnreachable, "no instance reached at site %s", strings.Join(m, ", "))
	}
	late := formatBehind(slices.Concat(r.Behind, r.Unreached))
	if late == "" {
		late = fmt.Sprintf(": %d of %d instances reported it staged, the last round ended %s after the deadline", r.totalStaged(), live, now.Sub(p.Deadline).Round(time.Millisecond))
	}
	return Refuse, result.New(result.DeadlinePassed, "not staged by %s%s", p.Deadline.UTC().Format(time.RFC3339), late)
}

// formatBehind returns the end of an error text that names the instances n as
// behind, of many only the first few. It is empty if n is empty.
func formatBehind(n []string) string {
	const shown = 5
	if len(n) == 0 {
		return ""
	}
	if len(n) > shown {
		return fmt.Sprintf(": %s and %d more are behind", strings.Join(n[:shown], ", "), len(n)-shown)
	}
	return ": " + strings.Join(n, ", ") + " behind"
}

// Deadline returns the time by which a proposal made at now has to be staged
// everywhere: after the limit, or at breakEnd if that comes first. A zero
// breakEnd means that no break ends.
func Deadline(now time.Time, limit time.Duration, breakEnd time.Time) time.Time {
	d := now.Add(limit)
	if !breakEnd.IsZero() && breakEnd.Before(d) {
		return breakEnd
	}
	return d
}

// TakesOver reports whether a daemon of the given rank, which counts from 0,
// finishes proposal p at now in place of its coordinator. Once the coordinator
// is lost, at lostAt, rank 0 takes over at once, and each further rank
// rankDelay later, so that usually only one daemon acts. More than one is
// harmless. If the coordinator is live, the ranks take over in the same way
// after the deadline, rank 0 rankDelay after it.
func TakesOver(now time.Time, p Proposal, coordinatorLive bool, rank int, lostAt time.Time) bool {
	const rankDelay = time.Second
	if coordinatorLive {
		return now.After(p.Deadline.Add(time.Duration(rank+1) * rankDelay))
	}
	return !now.Before(lostAt.Add(time.Duration(rank) * rankDelay))
}
