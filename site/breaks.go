package site

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// Bounds of a break and of the search for the next one.
const (
	breakLengthMin = time.Minute
	breakLengthMax = 24 * time.Hour
	breakSearch    = 15 * 24 * time.Hour
)

// Break is a recurring time in which supervisors may change configuration.
type Break struct {
	Days   []time.Weekday
	Start  time.Duration // since midnight of the zone
	Length time.Duration
	Zone   *time.Location
}

// String returns days, start, length and zone.
func (b Break) String() string {
	d := make([]string, 0, len(b.Days))
	for _, w := range b.Days {
		d = append(d, w.String()[:3])
	}
	h, m := int(b.Start.Hours()), int(b.Start.Minutes())%60
	return fmt.Sprintf("%s %02d:%02d +%s %s", strings.Join(d, ","), h, m, b.Length, b.Zone)
}

// on returns the start of the break on the day of t, shifted by n days, and
// whether the break takes place on that day.
func (b Break) on(t time.Time, n int) (time.Time, bool) {
	t = t.In(b.Zone)
	s := time.Date(t.Year(), t.Month(), t.Day()+n, int(b.Start.Hours()), int(b.Start.Minutes())%60, 0, 0, b.Zone)
	return s, slices.Contains(b.Days, s.Weekday())
}

// Breaks are the breaks of one site; none means that it is always open.
type Breaks []Break

// end returns when the break around t ends; it is zero outside a break.
// Breaks that overlap or touch count as one.
func (b Breaks) end(t time.Time) time.Time {
	e := t
	for {
		n := e
		for _, k := range b {
			for d := -1; d <= 0; d++ {
				s, ok := k.on(e, d)
				f := s.Add(k.Length)
				if ok && !s.After(e) && f.After(n) {
					n = f
				}
			}
		}
		if n.Equal(e) || n.Sub(t) > breakSearch {
			break
		}
		e = n
	}
	if e.Equal(t) {
		return time.Time{}
	}
	return e
}

// Window is what the breaks of several sites say about one moment.
type Window struct {
	Open bool
	End  time.Time // of the break, zero when there is no end
	Next time.Time // start of the next break, zero when none is found
}

// Common returns the window of the moment t for the sites that have the
// breaks bs: open only while every one of them is open.
func Common(bs []Breaks, t time.Time) Window {
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

// nextCommon tries the start of every break: a common window can only begin
// where one of its breaks begins.
func nextCommon(bs []Breaks, t time.Time) time.Time {
	var r time.Time
	for _, b := range bs {
		for _, k := range b {
			for d := 0; d <= int(breakSearch.Hours()/24); d++ {
				s, ok := k.on(t, d)
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

func weekday(s string) (time.Weekday, bool) {
	for w := time.Sunday; w <= time.Saturday; w++ {
		if w.String() == s {
			return w, true
		}
	}
	return 0, false
}
