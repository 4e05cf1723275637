package daemon

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/platform/platformtest"
	"figwheel/result"
	"figwheel/site"
)

// breaks returns files with a break of site-0 on Mondays from 12:00 to 12:30 and
// one of site-1 from 12:20 to 13:00. The digits of the edition set the queue
// lengths of the two sites.
func breaks(edition string) site.Bundle {
	return site.Bundle{
		Base: site.File{Name: "base.yaml", Text: `
Organisation: o
Sites: [site-0, site-1]
Breaks:
  - {Days: [Monday], Start: "12:00", Length: 30m, TimeZone: UTC}
Services:
  s: {Deadline: 1s, Slots: 2, Connections: 4}
`},
		Overlays: []site.File{
			{Name: "0.yaml", Text: "Site: site-0\nServices:\n  s: {Queue: 1" + strings.Repeat("0", strings.Count(edition, "0")) + "}\n"},
			{Name: "1.yaml", Text: "Site: site-1\nBreaks:\n  - {Days: [Monday], Start: \"12:20\", Length: 40m, TimeZone: UTC}\nServices:\n  s: {Queue: 1" + strings.Repeat("0", strings.Count(edition, "1")) + "}\n"},
		},
	}
}

// TestBreaks guards against changes outside the breaks of the sites that they
// affect. It moves the clock of a fleet through a Monday and submits editions in
// which a further digit 0 changes site-0 and a further digit 1 changes site-1.
func TestBreaks(t *testing.T) {
	t.Parallel()
	midnight := time.Date(2024, 12, 9, 0, 0, 0, 0, time.UTC) // a Monday that has passed
	began := time.Now()
	var offset atomic.Int64 // time of the day minus the time since began
	f := &fleet{t: t, store: &platformtest.Store{}, now: func() time.Time {
		return midnight.Add(time.Duration(offset.Load()) + time.Since(began))
	}}
	at := func(h, m, s int) {
		offset.Store(int64(time.Duration(h)*time.Hour+time.Duration(m)*time.Minute+time.Duration(s)*time.Second) - int64(time.Since(began)))
	}
	at(9, 0, 0)
	f.startAll(2, 4)
	cases := []struct {
		name       string
		h, m, s    int
		edition    string
		step       string
		code       result.Code
		text       string
		killSecond bool // kills a daemon of site-1 before the submission
	}{
		{"the first version, outside any break", 9, 0, 0, "", stepInForce, 0, "", false},
		{"outside any break", 9, 10, 0, "0", stepRefused, result.OutsideBreak, "2024-12-09T12:00:00Z", false},
		{"in the break of the site that changes", 12, 1, 0, "0", stepInForce, 0, "", false},
		{"both sites change, the second outside its break", 12, 2, 0, "01", stepRefused, result.OutsideBreak, "2024-12-09T12:20:00Z", false},
		{"both sites change, both in their breaks", 12, 21, 0, "001", stepInForce, 0, "", false},
		{"the second site changes, only it in its break", 12, 40, 0, "0011", stepInForce, 0, "", false},
		{"not staged by the end of the break", 12, 59, 58, "00111", stepRefused, result.DeadlinePassed, "13:00:00Z", true},
	}
	for i, c := range cases {
		at(c.h, c.m, c.s)
		if c.killSecond {
			f.kill(3)
		}
		p := last(f.submission(0, submission{id: "c" + string(rune('a'+i)), bundle: breaks(c.edition), began: f.now()}))
		var code result.Code
		var text string
		if p.err != nil {
			code, text = p.err.Code, p.err.Text
		}
		if p.step != c.step || code != c.code || !strings.Contains(text, c.text) {
			t.Errorf("%s: %s %v", c.name, p.step, p.err)
		}
	}
	f.waitServing(4)
}
