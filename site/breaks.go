package site

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// Bounds of the length of a break, and of the time in which the next common one is
// searched for.
const (
	breakLengthMin  = time.Minute
	breakLengthMax  = 24 * time.Hour
	breakSearchSpan = 15 * 24 * time.Hour
)

// Break is a recurring maintenance window, in which supervisors may change the
// configuration.
type Break struct {
	Days   []time.Weekday
	Start  time.Duration // local time of day in Zone, in hours and minutes since midnight
	Length time.Duration
	Zone   *time.Location
}

// String returns the days, start, length and zone.
func (b Break) String() string {
	d := make([]string, 0, len(b.Days))
	for _, w := range b.Days {
		d = append(d, w.String()[:3])
	}
	h, m := int(b.Start.Hours()), int(b.Start.Minutes())%60
	return fmt.Sprintf("%s %02d:%02d +%s %s", strings.Join(d, ","), h, m, b.Length, b.Zone)
}

// startOn returns the start of the break on the day n days after the day of t in
// the break's zone, and whether the break takes place on that day.
func (b Break) startOn(t time.Time, n int) (time.Time, bool) {
	t = t.In(b.Zone)
	s := time.Date(t.Year(), t.Month(), t.Day()+n, int(b.Start.Hours()), int(b.Start.Minutes())%60, 0, 0, b.Zone)
	return s, slices.Contains(b.Days, s.Weekday())
}

// Breaks are the breaks of one site. A site without breaks is always open.
type Breaks []Break

// end returns the end of the break that contains t, and the zero time if t is
// outside a break. Breaks that overlap or adjoin count as one. The end is at most
// breakSearchSpan after t, since breaks that cover the whole week have none.
func (b Breaks) end(t time.Time) time.Time {
	e := t
	for {
		n := e
		for _, k := range b {
			for d := -1; d <= 0; d++ {
				s, ok := k.startOn(e, d)
				f := s.Add(k.Length)
				if ok && !s.After(e) && f.After(n) {
					n = f
				}
			}
		}
		if n.Equal(e) || n.Sub(t) > breakSearchSpan {
			break
		}
		e = n
	}
	if e.Equal(t) {
		return time.Time{}
	}
	return e
}

// Window states whether several sites are open for changes at one time, by their
// breaks.
type Window struct {
	Open bool
	End  time.Time // end of the common break if Open, zero if it has no end
	Next time.Time // start of the next common break if not Open, zero if none is found
}

// CommonWindow returns the window at the time t for sites with the breaks bs, one
// element for each site. It is open only while every site is open.
func CommonWindow(bs []Breaks, t time.Time) Window {
	var c []Breaks
	for _, b := range bs {
		if len(b) > 0 {
			c = append(c, b)
		}
	}
	if e, ok := commonEnd(c, t); ok {
		return Window{Open: true, End: e}
	}
	return Window{Next: nextCommon(c, t)}
}

// commonEnd returns the end of the first break to end among those that contain t,
// zero if bs is empty, and false if some site is not in a break at t.
func commonEnd(bs []Breaks, t time.Time) (time.Time, bool) {
	var e time.Time
	for _, b := range bs {
		f := b.end(t)
		if f.IsZero() {
			return time.Time{}, false
		}
		if e.IsZero() || f.Before(e) {
			e = f
		}
	}
	return e, true
}

// nextCommon returns the start of the next common break after t, and the zero
// time if there is none within breakSearchSpan. It tries the start of every
// break, because a common break can only start when one of its breaks starts.
func nextCommon(bs []Breaks, t time.Time) time.Time {
	var r time.Time
	for _, b := range bs {
		for _, k := range b {
			for d := 0; d <= int(breakSearchSpan.Hours()/24); d++ {
				s, ok := k.startOn(t, d)
				if !ok || !s.After(t) || (!r.IsZero() && !s.Before(r)) {
					continue
				}
				if _, o := commonEnd(bs, s); o {
					r = s
				}
			}
		}
	}
	return r
}

// breaks decodes a list of breaks. It reports invalid entries and leaves them out.
func (d *decoder) breaks(n *yaml.Node) Breaks {
	var r Breaks
	d.items(n, func(v *yaml.Node) {
		var w Value[[]string]
		var s, z Value[string]
		var l Value[time.Duration]
		d.fields(v, d.list("Days", &w), d.text("Start", &s), d.duration("Length", breakLengthMin, breakLengthMax, &l), d.text("TimeZone", &z))
		if !w.IsSet() || !s.IsSet() || !l.IsSet() || !z.IsSet() {
			d.fail(v, result.Missing, "a break has Days, Start, Length and TimeZone")
			return
		}
		b := Break{Length: l.V}
		b.Days = d.days(v, w.V)
		c, err := time.Parse("15:04", s.V)
		if err != nil {
			d.problems = append(d.problems, Problem{result.BadValue, s.At, fmt.Sprintf("Start takes a time such as 12:30, not %q", s.V)})
			return
		}
		b.Start = time.Duration(c.Hour())*time.Hour + time.Duration(c.Minute())*time.Minute
		b.Zone, err = time.LoadLocation(z.V)
		if err != nil || z.V == "" || z.V == "Local" {
			d.problems = append(d.problems, Problem{result.BadValue, z.At, fmt.Sprintf("TimeZone takes a name such as Europe/London, not %q", z.V)})
			return
		}
		r = append(r, b)
	})
	return r
}

// days returns the weekdays named in s and reports invalid names at n.
func (d *decoder) days(n *yaml.Node, s []string) []time.Weekday {
	var r []time.Weekday
	for _, t := range s {
		w, ok := weekday(t)
		if !ok {
			d.fail(n, result.BadValue, "%q is not a day; days are Monday to Sunday", t)
			continue
		}
		r = append(r, w)
	}
	if len(s) == 0 {
		d.fail(n, result.Missing, "a break needs at least one day")
	}
	return r
}

// weekday returns the day with the English name s, and false if there is none.
func weekday(s string) (time.Weekday, bool) {
	for w := time.Sunday; w <= time.Saturday; w++ {
		if w.String() == s {
			return w, true
		}
	}
	return 0, false
}
