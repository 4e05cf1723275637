package poison_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/poison"
)

var now = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

func TestFingerprint(t *testing.T) {
	r := poison.Request{Method: "POST", Host: "h.example", URI: "/a/b?c", Origin: "s", Body: []byte("d")}
	seen := map[poison.Fingerprint]string{r.Fingerprint(): "the request"}
	for name, change := range map[string]func(r *poison.Request){
		"another method": func(r *poison.Request) { r.Method = "PUT" },
		"another host":   func(r *poison.Request) { r.Host = "i.example" },
		"another path":   func(r *poison.Request) { r.URI = "/a/b" },
		"another caller": func(r *poison.Request) { r.Origin = "t" },
		"another body":   func(r *poison.Request) { r.Body = nil },
		"a shifted part": func(r *poison.Request) { r.Origin, r.Body = "", []byte("sd") },
	} {
		o := r
		change(&o)
		f := o.Fingerprint()
		if s, ok := seen[f]; ok {
			t.Errorf("%s is taken for %s", name, s)
		}
		seen[f] = name
	}
}

// TestLevels follows one request and one beside it through a fleet's news.
func TestLevels(t *testing.T) {
	const bad, beside = 1, 2
	type s = poison.Suspect
	cases := []struct {
		name        string
		news        []s
		fresh       int
		bad, beside int
	}{
		{"a crash", []s{{bad, 1, false}, {beside, 1, false}}, 2, 1, 1},
		{"another worker at the same moment", []s{{bad, 1, false}}, 0, 1, 1},
		{"one was answered", []s{{beside, 1, true}}, 1, 1, 0},
		{"an older suspicion comes late", []s{{beside, 2, false}}, 0, 1, 0},
		{"a second crash", []s{{bad, 2, false}}, 1, 2, 0},
		{"the first one comes late", []s{{bad, 1, false}}, 0, 2, 0},
		{"nothing", []s{{3, 0, false}}, 0, 2, 0},
		{"clearing what nobody suspects", []s{{4, 1, true}}, 0, 2, 0},
	}
	var l poison.List
	for _, c := range cases {
		var fresh []s
		l, fresh = l.With(now, c.news...)
		if len(fresh) != c.fresh || l.Level(bad) != c.bad || l.Level(beside) != c.beside {
			t.Errorf("%s: %d news, levels %d and %d", c.name, len(fresh), l.Level(bad), l.Level(beside))
		}
	}
	if l.Refuses(beside, now) > 0 || l.Refuses(bad, now) != poison.RefuseTime || l.Refuses(bad, now.Add(poison.RefuseTime)) > 0 {
		t.Errorf("refused for %s and %s", l.Refuses(bad, now), l.Refuses(beside, now))
	}
	if k, _ := l.With(now, s{bad, 4, false}); k.Refuses(bad, now.Add(time.Second)) != 4*poison.RefuseTime-time.Second {
		t.Errorf("at level 4 refused for %s", k.Refuses(bad, now.Add(time.Second)))
	}
	if k := l.Recent(now.Add(poison.KeepTime - 1)); k.Level(bad) != 2 {
		t.Error("forgotten too early")
	}
	if k := l.Recent(now.Add(poison.KeepTime)); !k.Empty() {
		t.Error("never forgotten")
	}
}

// TestWatch shows which requests a crash is laid to.
func TestWatch(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var w poison.Watch
	w.Broken(1, 0, at(0)) // an answer that was lost
	w.Alive(at(10))       // the worker lives
	w.Broken(2, 0, at(100))
	w.Alive(at(50)) // an answer to what was sent before says nothing
	w.Broken(3, 1, at(200))
	if d := cmp.Diff([]poison.Suspect{{Request: 2, Level: 1}, {Request: 3, Level: 2}}, w.Crashed(at(300))); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	if s := w.Crashed(at(400)); s != nil {
		t.Errorf("one crash counted twice: %v", s)
	}
	w.Broken(4, 0, at(500))
	if s := w.Crashed(at(3500)); s != nil {
		t.Errorf("laid to a request that broke long before: %v", s)
	}
}
