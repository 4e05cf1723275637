package link_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"

	"figwheel/link"
)

var now = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

// loaded returns a peer with n requests of this daemon in flight.
func loaded(n int) *link.Peer {
	p := &link.Peer{}
	for range n {
		p.Begin(now)
	}
	return p
}

// TestChoose draws a thousand choices and shows which candidates they hit.
func TestChoose(t *testing.T) {
	near := func(n string, load int) link.Candidate {
		return link.Candidate{Name: n, Slots: 4, SameSite: true, Peer: loaded(load)}
	}
	far := func(n string, load int) link.Candidate {
		return link.Candidate{Name: n, Slots: 4, Peer: loaded(load)}
	}
	cases := []struct {
		name  string
		all   []link.Candidate
		tried []string
		want  []string
	}{
		{"nobody", nil, nil, nil},
		{"near ones while they have slots", []link.Candidate{far("f", 0), near("a", 3), near("b", 3)}, nil, []string{"a", "b"}},
		{"far ones once the near are full", []link.Candidate{far("f", 1), near("a", 4)}, nil, []string{"f"}},
		{"near ones when the far are fuller", []link.Candidate{far("f", 9), near("a", 4)}, nil, []string{"a"}},
		{"only far ones", []link.Candidate{far("f", 9)}, nil, []string{"f"}},
		{"not those that were tried", []link.Candidate{near("a", 0), near("b", 1), far("f", 0)}, []string{"a"}, []string{"b"}},
		{"far ones when all near were tried", []link.Candidate{near("a", 0), far("f", 0)}, []string{"a"}, []string{"f"}},
		{"nobody when all were tried", []link.Candidate{near("a", 0)}, []string{"a"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			l := link.NewCandidates(c.all)
			hit := make(map[string]bool)
			for range 1000 {
				if k := l.Choose(now, "k", r, c.tried, link.FarCost); k != nil {
					hit[k.Name] = true
				}
			}
			want := make(map[string]bool)
			for _, n := range c.want {
				want[n] = true
			}
			if d := cmp.Diff(want, hit); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestSpreads sends requests that stay in flight: the choice of the better of
// two keeps the instances close together, where a single random one would not.
func TestSpreads(t *testing.T) {
	var l []link.Candidate
	for _, n := range []string{"a", "b", "c", "d"} {
		l = append(l, link.Candidate{Name: n, Slots: 100, SameSite: true, Peer: &link.Peer{}})
	}
	c := link.NewCandidates(l)
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		c.Choose(now, "k", r, nil, link.FarCost).Peer.Begin(now)
	}
	for _, k := range l {
		if n := k.Peer.Load(now); n < 45 || n > 55 {
			t.Errorf("%s has %d of 200", k.Name, n)
		}
	}
}

func TestLoadRidesOnAnswers(t *testing.T) {
	p := loaded(2)
	var got []int64
	for _, s := range []string{"7", "", "x", "-1", "0"} {
		p.Begin(now)
		p.End(s, "k", now)
		got = append(got, p.Load(now))
	}
	if d := cmp.Diff([]int64{7, 7, 7, 7, 2}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestSilent follows one peer through requests and answers.
func TestSilent(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var p link.Peer
	var got []bool
	ask := func(ms int) { got = append(got, p.Silent(at(ms))) }
	ask(10_000) // nothing is open
	p.Begin(at(10_000))
	ask(10_150)
	ask(10_151) // longer than any request may be expected to take
	p.End("1 100000", "k", at(10_160))
	ask(11_000) // nothing is open again
	p.Begin(at(11_000))
	p.Begin(at(11_300))
	ask(11_400)                // requests take 100 ms there
	ask(11_401)                // four times that have passed
	p.End("", "k", at(11_500)) // one was given up, which says nothing
	ask(11_501)                //
	p.Begin(at(11_600))        // one more is no answer either
	ask(11_601)                //
	p.End("1 100000", "k", at(11_700))
	ask(11_701)
	if d := cmp.Diff([]bool{false, false, true, false, false, true, true, true, false}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestNearAmongMany chooses among many instances of four sites that stand in
// the order of their names, which starts with the site: there are free ones
// near, and every choice finds one.
func TestNearAmongMany(t *testing.T) {
	var l []link.Candidate
	for _, s := range []string{"a", "b", "c", "d"} {
		for i := range 6 {
			l = append(l, link.Candidate{Name: fmt.Sprintf("%s-%d", s, i), Slots: 4, SameSite: s == "c", Peer: loaded(1)})
		}
	}
	c := link.NewCandidates(l)
	r := rand.New(rand.NewPCG(1, 1))
	far := 0
	for range 1000 {
		if k := c.Choose(now, "k", r, nil, link.FarCost); !k.SameSite {
			far++
		}
	}
	if far > 0 {
		t.Errorf("%d of 1000 choices went to another site", far)
	}
}

// TestClockSteps steps the time of day between a report and its use: what was
// known keeps its age, since the steady clock does not step.
func TestClockSteps(t *testing.T) {
	for _, s := range []time.Duration{-time.Hour, time.Hour} {
		var p link.Peer
		at := time.Now() // only this has a reading of the steady clock
		p.Report(link.Load{InFlight: 8, Work: 100 * time.Millisecond}, "k", at)
		p.Avoid(at.Add(time.Second))
		later := stepped(at.Add(250*time.Millisecond), s)
		if n := p.Load(later); n != 4 {
			t.Errorf("step %s: a load of %d, want 4", s, n)
		}
		if h, w := p.Work("k", later); h != 100*time.Millisecond || w != 0.975 {
			t.Errorf("step %s: %s with the weight %v", s, h, w)
		}
		if !p.Avoided(later) || p.Avoided(later.Add(time.Second)) {
			t.Errorf("step %s: the time for which it is avoided has changed", s)
		}
	}
}

// stepped returns t as the clocks read it after a step of the time of day by
// whole seconds: package time keeps these beside the reading of the steady
// clock, 30 bits up in the first word.
func stepped(t time.Time, by time.Duration) time.Time {
	w := (*uint64)(unsafe.Pointer(&t))
	*w += uint64(int64(by/time.Second) << 30)
	return t
}

// TestSlowIsRemembered lets one of four instances be slow. A daemon that meets
// each of them only every few seconds remembers it for a while, and tries it again.
func TestSlowIsRemembered(t *testing.T) {
	var l []link.Candidate
	for _, n := range []string{"slow", "b", "c", "d"} {
		p := &link.Peer{}
		h := 100 * time.Millisecond
		if n == "slow" {
			h = 500 * time.Millisecond
		}
		p.Report(link.Load{Work: h}, "k", now)
		l = append(l, link.Candidate{Name: n, Slots: 4, SameSite: true, Peer: p})
	}
	c := link.NewCandidates(l)
	share := func(after time.Duration) float64 {
		n, r := 0, rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			if c.Choose(now.Add(after), "k", r, nil, link.FarCost).Name == "slow" {
				n++
			}
		}
		return float64(n) / 1000
	}
	for after, want := range map[time.Duration]float64{time.Second: 0, 5 * time.Second: 0, 12 * time.Second: 0.25} {
		if s := share(after); s < want-0.05 || s > want+0.05 {
			t.Errorf("after %s the slow one gets %.2f of the requests, want %.2f", after, s, want)
		}
	}
}

// TestEmptier asks whether an instance is worth asking after one with 8 requests
// for 4 slots refused.
func TestEmptier(t *testing.T) {
	full := link.Candidate{Slots: 4, Peer: loaded(8)}
	cases := []struct {
		name     string
		inFlight int
		slots    int64
		age      time.Duration
		want     bool
	}{
		{"as full", 8, 4, 0, false},
		{"fuller", 9, 4, 0, false},
		{"emptier", 7, 4, 0, true},
		{"as full for its slots", 16, 8, 0, false},
		{"emptier for its slots", 8, 8, 0, true},
		{"as full, as was heard long ago", 8, 4, time.Second, true},
	}
	for _, c := range cases {
		k := link.Candidate{Slots: c.slots, Peer: &link.Peer{}}
		k.Peer.Report(link.Load{InFlight: c.inFlight}, "k", now.Add(-c.age))
		if got := k.Emptier(&full, now); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// TestFastForItsKind compares an instance that runs many short requests with one
// that runs long ones: the mean of all says nothing of how fast they are.
func TestFastForItsKind(t *testing.T) {
	const short, long = 40 * time.Millisecond, 200 * time.Millisecond
	slow := link.Candidate{Name: "slow", Slots: 9, SameSite: true, Peer: &link.Peer{}}
	slow.Peer.Report(link.Load{Hold: 2 * short, Work: 2 * long}, "long", now)
	slow.Peer.Report(link.Load{Hold: 2 * short, Work: 2 * short}, "short", now)
	fast := link.Candidate{Name: "fast", Slots: 9, SameSite: true, Peer: &link.Peer{}}
	fast.Peer.Report(link.Load{Hold: long, Work: short}, "short", now)
	fast.Peer.Report(link.Load{Hold: long, Work: long}, "long", now)
	c := link.NewCandidates([]link.Candidate{slow, fast})
	r := rand.New(rand.NewPCG(1, 1))
	for _, kind := range []string{"short", "long"} {
		if k := c.Choose(now, kind, r, nil, link.FarCost); k.Name != "fast" {
			t.Errorf("a %s request goes to the %s one", kind, k.Name)
		}
	}
}
