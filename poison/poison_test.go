package poison_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/poison"
)

var now = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// TestFingerprintDiffersByPart guards against equal fingerprints of requests
// that differ in one part, or in the boundary between two parts.
func TestFingerprintDiffersByPart(t *testing.T) {
	r := poison.Request{Method: "POST", Host: "h.example", URI: "/a/b?c", Origin: "s", Body: []byte("d")}
	seen := map[poison.Fingerprint]string{r.Fingerprint(): "the request"}
	for name, change := range map[string]func(r *poison.Request){
		"another method":     func(r *poison.Request) { r.Method = "PUT" },
		"another host":       func(r *poison.Request) { r.Host = "i.example" },
		"another path":       func(r *poison.Request) { r.URI = "/a/b" },
		"another caller":     func(r *poison.Request) { r.Origin = "t" },
		"another body":       func(r *poison.Request) { r.Body = nil },
		"a shifted boundary": func(r *poison.Request) { r.Origin, r.Body = "", []byte("sd") },
	} {
		o := r
		change(&o)
		f := o.Fingerprint()
		if s, ok := seen[f]; ok {
			t.Errorf("%s has the fingerprint of %s", name, s)
		}
		seen[f] = name
	}
}

// TestListIgnoresOutdatedReports guards against late and repeated reports from
// several daemons that raise a level again or undo a clearing. It applies reports
// about two requests in order, then checks how long they are refused and when their
// entries expire.
func TestListIgnoresOutdatedReports(t *testing.T) {
	const bad, innocent = 1, 2
	type s = poison.Suspect
	cases := []struct {
		name          string
		updates       []s
		changed       int
		bad, innocent int
	}{
		{"a crash", []s{{bad, 1, false}, {innocent, 1, false}}, 2, 1, 1},
		{"another worker at the same moment", []s{{bad, 1, false}}, 0, 1, 1},
		{"the other one was answered", []s{{innocent, 1, true}}, 1, 1, 0},
		{"an older suspicion arrives late", []s{{innocent, 2, false}}, 0, 1, 0},
		{"a second crash", []s{{bad, 2, false}}, 1, 2, 0},
		{"the first report arrives late", []s{{bad, 1, false}}, 0, 2, 0},
		{"a level of 0", []s{{3, 0, false}}, 0, 2, 0},
		{"clearing a request that is not suspected", []s{{4, 1, true}}, 0, 2, 0},
	}
	var l poison.List
	for _, c := range cases {
		var changed []s
		l, changed = l.With(now, c.updates...)
		if len(changed) != c.changed || l.Level(bad) != c.bad || l.Level(innocent) != c.innocent {
			t.Errorf("%s: %d changes, levels %d and %d", c.name, len(changed), l.Level(bad), l.Level(innocent))
		}
	}
	if l.RefusedFor(innocent, now) > 0 || l.RefusedFor(bad, now) != poison.RefuseTime || l.RefusedFor(bad, now.Add(poison.RefuseTime)) > 0 {
		t.Errorf("refused for %s and %s", l.RefusedFor(bad, now), l.RefusedFor(innocent, now))
	}
	if k, _ := l.With(now, s{bad, 4, false}); k.RefusedFor(bad, now.Add(time.Second)) != 4*poison.RefuseTime-time.Second {
		t.Errorf("at level 4 refused for %s", k.RefusedFor(bad, now.Add(time.Second)))
	}
	if k := l.Unexpired(now.Add(poison.EntryLifetime - 1)); k.Level(bad) != 2 {
		t.Error("the entry expired too early")
	}
	if k := l.Unexpired(now.Add(poison.EntryLifetime)); !k.Empty() {
		t.Error("the entry did not expire")
	}
}

// TestWatchSuspectsRequestsBrokenByCrash guards against suspecting requests whose
// connections did not break because of the crash: the worker answered later
// requests, or the crash came long after.
func TestWatchSuspectsRequestsBrokenByCrash(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var w poison.Watch
	w.RecordFailure(1, 0, at(0)) // a connection that breaks without a crash
	w.RecordAnswer(at(10))       // the worker answers a later request
	w.RecordFailure(2, 0, at(100))
	w.RecordAnswer(at(50)) // an answer to a request sent before the break proves nothing
	w.RecordFailure(3, 1, at(200))
	if d := cmp.Diff([]poison.Suspect{{Request: 2, Level: 1}, {Request: 3, Level: 2}}, w.Crashed(at(300), at(300))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	if s := w.Crashed(at(400), at(400)); s != nil {
		t.Errorf("one crash counted twice: %v", s)
	}
	w.RecordFailure(4, 0, at(500))
	if s := w.Crashed(at(3500), at(501)); s != nil {
		t.Errorf("a request was suspected whose connection broke long before the crash: %v", s)
	}
	w.RecordFailure(5, 0, at(4000)) // the last that is heard of the worker
	if d := cmp.Diff([]poison.Suspect{{Request: 5, Level: 1}}, w.Crashed(at(9000), at(4000))); d != "" {
		t.Errorf("a crash that is detected late (-want +got)\n%s", d)
	}
}
