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

// TestChoose makes a thousand choices in each case and compares the set of chosen
// candidates. It guards against requests that leave their site although it has
// free slots, that stay although it is full, and that go to a tried instance.
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
		{"no candidates", nil, nil, nil},
		{"own site while it has free slots", []link.Candidate{far("f", 0), near("a", 3), near("b", 3)}, nil, []string{"a", "b"}},
		{"other site once the own site is full", []link.Candidate{far("f", 1), near("a", 4)}, nil, []string{"f"}},
		{"own site if the other site is fuller", []link.Candidate{far("f", 9), near("a", 4)}, nil, []string{"a"}},
		{"other site only", []link.Candidate{far("f", 9)}, nil, []string{"f"}},
		{"tried candidates are left out", []link.Candidate{near("a", 0), near("b", 1), far("f", 0)}, []string{"a"}, []string{"b"}},
		{"other site if all of the own site were tried", []link.Candidate{near("a", 0), far("f", 0)}, []string{"a"}, []string{"f"}},
		{"none if all were tried", []link.Candidate{near("a", 0)}, []string{"a"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			l := link.NewCandidates(c.all)
			chosen := make(map[string]bool)
			for range 1000 {
				if k := l.Choose(now, "k", r, c.tried, link.OtherSiteCost); k != nil {
					chosen[k.Name] = true
				}
			}
			want := make(map[string]bool)
			for _, n := range c.want {
				want[n] = true
			}
			if d := cmp.Diff(want, chosen); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestChooseSpreadsRequestsEvenly sends 200 requests that stay in flight to four
// instances. Choosing the better of two candidates keeps their loads close
// together; choosing a single random one would not.
func TestChooseSpreadsRequestsEvenly(t *testing.T) {
	var l []link.Candidate
	for _, n := range []string{"a", "b", "c", "d"} {
		l = append(l, link.Candidate{Name: n, Slots: 100, SameSite: true, Peer: &link.Peer{}})
	}
	c := link.NewCandidates(l)
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		c.Choose(now, "k", r, nil, link.OtherSiteCost).Peer.Begin(now)
	}
	for _, k := range l {
		if n := k.Peer.Load(now); n < 45 || n > 55 {
			t.Errorf("%s has %d of 200 requests, want 45 to 55", k.Name, n)
		}
	}
}

// TestEndReadsLoadReport ends requests with valid, missing and malformed load
// headers: only valid ones replace the load, which is never below the requests of
// this daemon that are in flight.
func TestEndReadsLoadReport(t *testing.T) {
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

// TestSilent takes one peer through requests and responses and checks when it
// counts as unresponsive: only while requests are in flight, and only after the
// time limit without a response.
func TestSilent(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var p link.Peer
	var got []bool
	check := func(ms int) { got = append(got, p.Unresponsive(at(ms))) }
	check(10_000) // nothing is in flight
	p.Begin(at(10_000))
	check(10_150)
	check(10_151) // more than the least time limit, 150 ms
	p.End("1 100000", "k", at(10_160))
	check(11_000) // nothing is in flight again
	p.Begin(at(11_000))
	p.Begin(at(11_300))
	check(11_400)              // the service time is 100 ms, so the limit is 400 ms
	check(11_401)              // more than 400 ms without a response
	p.End("", "k", at(11_500)) // a request without a response does not restart the time
	check(11_501)
	p.Begin(at(11_600)) // nor does another request
	check(11_601)
	p.End("1 100000", "k", at(11_700))
	check(11_701)
	if d := cmp.Diff([]bool{false, false, true, false, false, true, true, true, false}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestChooseStaysAtSiteWithFreeSlots chooses among 24 instances of four sites,
// sorted by site. It guards against a scan that starts at a random instance,
// compares only a few and thereby misses the free ones at its own site.
func TestChooseStaysAtSiteWithFreeSlots(t *testing.T) {
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
		if k := c.Choose(now, "k", r, nil, link.OtherSiteCost); !k.SameSite {
			far++
		}
	}
	if far > 0 {
		t.Errorf("%d of 1000 choices went to another site", far)
	}
}

// TestClockStepKeepsAges steps the wall clock between a report and its use. The
// ages of the load, the service time and the ejection must not change, since they
// are kept by the monotonic clock.
func TestClockStepKeepsAges(t *testing.T) {
	for _, s := range []time.Duration{-time.Hour, time.Hour} {
		var p link.Peer
		at := time.Now() // only time.Now returns a reading of the monotonic clock
		p.Report(link.Load{InFlight: 8, Work: 100 * time.Millisecond}, "k", at)
		p.Eject(at.Add(time.Second))
		later := stepped(at.Add(250*time.Millisecond), s)
		if n := p.Load(later); n != 4 {
			t.Errorf("step %s: a load of %d, want 4", s, n)
		}
		if h, w := p.KindServiceTime("k", later); h != 100*time.Millisecond || w != 0.975 {
			t.Errorf("step %s: service time %s with weight %v, want 100ms with 0.975", s, h, w)
		}
		if !p.Ejected(later) || p.Ejected(later.Add(time.Second)) {
			t.Errorf("step %s: the end of the ejection has moved", s)
		}
	}
}

// stepped returns t as it would read after a step of the wall clock by whole
// seconds. Package time keeps the wall seconds of a time with a monotonic reading
// in the first word, above the lowest 30 bits.
func stepped(t time.Time, by time.Duration) time.Time {
	w := (*uint64)(unsafe.Pointer(&t))
	*w += uint64(int64(by/time.Second) << 30)
	return t
}

// TestSlowInstanceTriedAgainAfterExpiry lets one of four instances be slow. It
// guards against a daemon that sends it requests before its service time has
// expired, and against one that never sends it requests again.
func TestSlowInstanceTriedAgainAfterExpiry(t *testing.T) {
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
			if c.Choose(now.Add(after), "k", r, nil, link.OtherSiteCost).Name == "slow" {
				n++
			}
		}
		return float64(n) / 1000
	}
	for after, want := range map[time.Duration]float64{time.Second: 0, 5 * time.Second: 0, 12 * time.Second: 0.25} {
		if s := share(after); s < want-0.05 || s > want+0.05 {
			t.Errorf("after %s the slow instance gets %.2f of the requests, want %.2f", after, s, want)
		}
	}
}

// TestMayHaveRoom compares instances with one that has 8 requests for 4 slots and
// has shed a request. It guards against further attempts at instances that are
// known to be as full.
func TestMayHaveRoom(t *testing.T) {
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
		{"less full", 7, 4, 0, true},
		{"as full for its slots", 16, 8, 0, false},
		{"less full for its slots", 8, 8, 0, true},
		{"as full by a stale report", 8, 4, time.Second, true},
	}
	for _, c := range cases {
		k := link.Candidate{Slots: c.slots, Peer: &link.Peer{}}
		k.Peer.Report(link.Load{InFlight: c.inFlight}, "k", now.Add(-c.age))
		if got := k.MayHaveRoom(&full, now); got != c.want {
			t.Errorf("%s: MayHaveRoom returned %t", c.name, got)
		}
	}
}

// TestChooseComparesTimesOfTheSameKind compares a slow instance that ran mostly
// short requests with a fast one that ran mostly long ones. It guards against a
// choice by the mean over all kinds, by which the slow one would look faster.
func TestChooseComparesTimesOfTheSameKind(t *testing.T) {
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
		if k := c.Choose(now, kind, r, nil, link.OtherSiteCost); k.Name != "fast" {
			t.Errorf("a %s request goes to the %s instance, want the fast one", kind, k.Name)
		}
	}
}

// TestChooseSparesInstanceAtItsRateLimit guards against requests that are offered
// to an instance whose rate limit does not admit them, only because it looks idle.
func TestChooseSparesInstanceAtItsRateLimit(t *testing.T) {
	limited, other := &link.Peer{}, &link.Peer{}
	other.Report(link.Load{InFlight: 3}, "k", now)
	limited.Report(link.Load{RateLimit: 2, Wait: 400 * time.Millisecond}, "k", now)
	l := link.NewCandidates([]link.Candidate{
		{Name: "limited", Slots: 4, SameSite: true, Peer: limited},
		{Name: "other", Slots: 4, SameSite: true, Peer: other},
	})
	r := rand.New(rand.NewPCG(1, 1))
	choose := func(after time.Duration) *link.Candidate {
		return l.Choose(now.Add(after), "k", r, nil, link.OtherSiteCost)
	}
	var got []string
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 401 * time.Millisecond} {
		got = append(got, choose(after).Name)
	}
	k := choose(401 * time.Millisecond)
	if !k.HasFreeSlot(now.Add(401 * time.Millisecond)) {
		t.Error("no free slot when the rate limit admits a request")
	}
	k.Peer.Begin(now.Add(401 * time.Millisecond)) // uses up what the limit admits in half a second
	if k.HasFreeSlot(now.Add(500 * time.Millisecond)) {
		t.Error("a free slot while the rate limit admits no request")
	}
	got = append(got, choose(500*time.Millisecond).Name)
	k.Peer.End("0 1000 1000", "k", now.Add(600*time.Millisecond)) // it states no limit any more
	if !k.HasFreeSlot(now.Add(600 * time.Millisecond)) {
		t.Error("no free slot when there is no rate limit any more")
	}
	if d := cmp.Diff([]string{"other", "other", "limited", "other"}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestMayHaveRoomUnderRateLimit guards against giving up a request because an
// instance with a rate limit rejected it, whose few requests in flight say nothing
// about the others.
func TestMayHaveRoomUnderRateLimit(t *testing.T) {
	limited, other := &link.Candidate{Slots: 4, Peer: &link.Peer{}}, &link.Candidate{Slots: 4, Peer: &link.Peer{}}
	limited.Peer.Report(link.Load{RateLimit: 2, Wait: 400 * time.Millisecond}, "k", now)
	other.Peer.Report(link.Load{InFlight: 3}, "k", now)
	if !other.MayHaveRoom(limited, now) || limited.MayHaveRoom(other, now) {
		t.Errorf("other %t, limited %t, want true and false", other.MayHaveRoom(limited, now), limited.MayHaveRoom(other, now))
	}
}

// TestLoadReportFormat guards against a report that another build cannot read: one
// of a worker without a rate limit has three fields, as before.
func TestLoadReportFormat(t *testing.T) {
	cases := []struct {
		load link.Load
		text string
	}{
		{link.Load{InFlight: 3, Hold: time.Millisecond, Work: 2 * time.Millisecond}, "3 1000 2000"},
		{link.Load{InFlight: 3, RateLimit: 2.5, Wait: time.Second}, "3 0 0 2500 1000000"},
	}
	for _, c := range cases {
		l, ok := link.ParseLoad(c.text)
		if d := cmp.Diff(c.load, l); d != "" || !ok || c.load.String() != c.text {
			t.Errorf("%s: %s, %t (-want +got)\n%s", c.text, c.load, ok, d)
		}
	}
	for _, s := range []string{"3 0 0 NaN 5", "3 0 0 -1 5", "3 0 0 x x", "3 0 0 7"} {
		if l, ok := link.ParseLoad(s); !ok || l.RateLimit != 0 {
			t.Errorf("%s: %+v, %t", s, l, ok)
		}
	}
}

// TestChooseLeavesSiteOnlyOnFreshNewsOfFullInstance guards against requests that queue at
// their site while another one has free slots, and against old news that sends them away:
// in a service that is nearly full, most instances were seen full some time ago.
func TestChooseLeavesSiteOnlyOnFreshNewsOfFullInstance(t *testing.T) {
	cases := []struct {
		name string
		load int // of the instance at this site, in its last report
		age  time.Duration
		want string
	}{
		{"free slot", 3, 0, "near"},
		{"just seen full", 4, 0, "far"},
		{"seen full some time ago", 4, 90 * time.Millisecond, "near"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := func(load int) *link.Peer {
				p := &link.Peer{}
				p.Report(link.Load{InFlight: load, Hold: 100 * time.Millisecond, Work: 100 * time.Millisecond}, "k", now)
				return p
			}
			l := link.NewCandidates([]link.Candidate{
				{Name: "near", Slots: 4, SameSite: true, Peer: peer(c.load)},
				{Name: "far", Slots: 4, Peer: peer(0)},
			})
			q := &link.Request{Kind: "k", Goal: time.Second, Far: 250 * time.Millisecond}
			k := l.ChooseFor(now.Add(c.age), q, rand.New(rand.NewPCG(1, 1)))
			if d := cmp.Diff(c.want, k.Name); d != "" {
				t.Errorf("chosen (-want +got):\n%s", d)
			}
		})
	}
}

// TestChooseTriesUnknownInstancesOnceOneIsKnown guards against a mean service time that is
// kept from before the first report: the instances that have not reported would look slow
// beside the first one that has, and get no request.
func TestChooseTriesUnknownInstancesOnceOneIsKnown(t *testing.T) {
	var l []link.Candidate
	for i := range 3 {
		l = append(l, link.Candidate{Name: fmt.Sprint(i), Slots: 4, SameSite: true, Peer: &link.Peer{}})
	}
	c := link.NewCandidates(l)
	r := rand.New(rand.NewPCG(1, 1))
	first := c.Choose(now, "k", r, nil, link.OtherSiteCost)
	first.Peer.Report(link.Load{Hold: time.Millisecond, Work: time.Millisecond}, "k", now)
	for range 100 {
		if k := c.Choose(now.Add(time.Millisecond), "k", r, nil, link.OtherSiteCost); k == first {
			t.Fatalf("chose %s again, which is slower than what is expected of the others", k.Name)
		}
	}
}
