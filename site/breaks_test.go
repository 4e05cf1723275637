package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/site"
)

func loadZone(t *testing.T, n string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(n)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// TestCommonWindow guards against changes that are accepted while some site is
// outside its breaks, and against a wrong start of the next common break, in particular with
// breaks across midnight, in several zones or adjoining each other.
func TestCommonWindow(t *testing.T) {
	london, hanoi := loadZone(t, "Europe/London"), loadZone(t, "Asia/Ho_Chi_Minh")
	weekdays := []time.Weekday{time.Monday, time.Tuesday, time.Wednesday, time.Thursday, time.Friday}
	noon := site.Breaks{{Days: weekdays, Start: 12 * time.Hour, Length: 30 * time.Minute, Zone: london}}
	late := site.Breaks{{Days: weekdays, Start: 12*time.Hour + 15*time.Minute, Length: time.Hour, Zone: london}}
	night := site.Breaks{{Days: []time.Weekday{time.Friday}, Start: 23 * time.Hour, Length: 4 * time.Hour, Zone: hanoi}}
	chained := site.Breaks{noon[0], {Days: weekdays, Start: 12*time.Hour + 30*time.Minute, Length: 10 * time.Minute, Zone: london}}
	never := site.Breaks{{Days: []time.Weekday{time.Sunday}, Start: time.Hour, Length: time.Hour, Zone: london}}
	at := func(day, h, m int) time.Time { return time.Date(2026, 12, day, h, m, 0, 0, time.UTC) } // the 7th is a Monday
	cases := []struct {
		name   string
		breaks []site.Breaks
		now    time.Time
		want   site.Window
	}{
		{"none declared", nil, at(7, 9, 0), site.Window{Open: true}},
		{"none at one site", []site.Breaks{nil, nil}, at(7, 9, 0), site.Window{Open: true}},
		{"inside", []site.Breaks{noon, nil}, at(7, 12, 10), site.Window{Open: true, End: at(7, 12, 30)}},
		{"at its start", []site.Breaks{noon}, at(7, 12, 0), site.Window{Open: true, End: at(7, 12, 30)}},
		{"at its end", []site.Breaks{noon}, at(7, 12, 30), site.Window{Next: at(8, 12, 0)}},
		{"before", []site.Breaks{noon}, at(7, 9, 0), site.Window{Next: at(7, 12, 0)}},
		{"over a weekend", []site.Breaks{noon}, at(11, 13, 0), site.Window{Next: at(14, 12, 0)}},
		{"two sites, the first only", []site.Breaks{noon, late}, at(7, 12, 10), site.Window{Next: at(7, 12, 15)}},
		{"two sites, both", []site.Breaks{noon, late}, at(7, 12, 20), site.Window{Open: true, End: at(7, 12, 30)}},
		{"across midnight, in another zone", []site.Breaks{night}, at(11, 18, 0), site.Window{Open: true, End: at(11, 20, 0)}},
		{"adjoining breaks count as one", []site.Breaks{chained}, at(7, 12, 10), site.Window{Open: true, End: at(7, 12, 40)}},
		{"nothing in common", []site.Breaks{noon, never}, at(7, 12, 10), site.Window{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := site.CommonWindow(c.breaks, c.now)
			if d := cmp.Diff(c.want, g, cmp.Comparer(time.Time.Equal)); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestBreakFollowsTheClockOfItsZone guards against a break that starts an hour
// early or late in local time on the days when daylight saving time starts or
// ends.
func TestBreakFollowsTheClockOfItsZone(t *testing.T) {
	b := site.Breaks{{Days: []time.Weekday{time.Sunday}, Start: 12 * time.Hour, Length: time.Hour, Zone: loadZone(t, "Europe/London")}}
	for _, c := range []struct{ now, next time.Time }{
		{time.Date(2027, 3, 27, 0, 0, 0, 0, time.UTC), time.Date(2027, 3, 28, 11, 0, 0, 0, time.UTC)},
		{time.Date(2027, 10, 30, 0, 0, 0, 0, time.UTC), time.Date(2027, 10, 31, 12, 0, 0, 0, time.UTC)},
	} {
		if g := site.CommonWindow([]site.Breaks{b}, c.now).Next; !g.Equal(c.next) {
			t.Errorf("after %s: next %s, want %s", c.now, g, c.next)
		}
	}
}
