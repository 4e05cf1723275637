package change_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/change"
	"figwheel/result"
)

var noon = time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)

func proposal(id string) change.Proposal {
	return change.Proposal{
		Release:     change.Release{Content: "hash-" + id, ChangeID: id},
		Submitter:   "linh",
		Coordinator: "i-1",
		ProposedAt:  noon,
		Deadline:    noon.Add(time.Minute),
	}
}

// TestDecide guards against a change that is accepted before every live instance
// and every site has staged it, or that is refused before its deadline without a
// refusal.
func TestDecide(t *testing.T) {
	ok := []change.Ack{{Site: "a", Staged: 2}, {Site: "b", Staged: 1}}
	cases := []struct {
		name   string
		after  time.Duration
		report change.Report
		want   change.Verdict
		code   result.Code
	}{
		{"all staged", 0, change.Report{Acks: ok}, change.Accept, 0},
		{"one is behind", 0, change.Report{Acks: ok, Behind: []string{"i-9"}}, change.Wait, 0},
		{"one is unreached", 0, change.Report{Acks: ok, Unreached: []string{"i-9"}}, change.Wait, 0},
		{"one is missing from the report", 0, change.Report{Acks: []change.Ack{{Site: "a", Staged: 1}, {Site: "b", Staged: 1}}}, change.Wait, 0},
		{"a site without instances", 0, change.Report{Acks: ok[:1]}, change.Wait, 0},
		{"an empty report", 0, change.Report{}, change.Wait, 0},
		{"one refuses", 0, change.Report{Acks: ok, Refusals: []change.Refusal{{Instance: "i-2", Site: "b", Code: result.UnknownSite}}}, change.Refuse, result.StageRefused},
		{"all staged, but too late", time.Minute, change.Report{Acks: ok}, change.Refuse, result.DeadlinePassed},
		{"one is behind at the deadline", time.Minute, change.Report{Acks: ok, Behind: []string{"i-9"}}, change.Refuse, result.DeadlinePassed},
		{"a site without instances at the deadline", time.Minute, change.Report{Acks: ok[:1]}, change.Refuse, result.SiteUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v, err := change.Decide(noon.Add(c.after), proposal("p"), []string{"a", "b"}, 3, c.report)
			var g result.Code
			if err != nil {
				g = err.Code
			}
			if v != c.want || g != c.code {
				t.Errorf("got %d %v, want %d %s", v, err, c.want, c.code)
			}
		})
	}
}

func propose(t *testing.T, h change.Head, id string, now time.Time) change.Head {
	t.Helper()
	n, err := h.WithProposal(proposal(id), now)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestHead takes a head through the outcomes of several changes. It guards
// against a step that does not raise the sequence, or that modifies the head it
// starts from.
func TestHead(t *testing.T) {
	var h0 change.Head
	h1 := propose(t, h0, "first", noon)
	h2 := h1.WithAcceptance()
	h3 := propose(t, h2, "second", noon)
	h4 := h3.WithRefusal(result.New(result.StageRefused, "no"))
	h5 := propose(t, h4, "third", noon)
	_, err := h5.WithProposal(proposal("fourth"), noon.Add(59*time.Second))
	if result.CodeOf(err) != result.Conflict {
		t.Errorf("a second proposal before the deadline of the first: %v", err)
	}
	h6 := propose(t, h5, "fourth", noon.Add(time.Minute))
	type row struct {
		Sequence, InForce, Proposed uint64
		ChangeID                    string
	}
	var got []row
	for _, h := range []change.Head{h0, h1, h2, h3, h4, h5, h6} {
		got = append(got, row{h.Sequence, h.InForce.Number, h.Proposed.Number, h.Proposed.ChangeID})
	}
	want := []row{{0, 0, 0, ""}, {1, 0, 1, "first"}, {2, 1, 0, ""}, {3, 1, 2, "second"}, {4, 1, 0, ""}, {5, 1, 2, "third"}, {7, 1, 2, "fourth"}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
	var outcomes []string
	for _, id := range []string{"first", "second", "third", "fourth"} {
		o, ok := h6.Outcome(id)
		outcomes = append(outcomes, fmt.Sprintf("%s %t %d %d", id, ok, o.Number, int(o.Code)))
	}
	wantOutcomes := []string{"first true 1 0", "second true 0 2004", "third true 0 2003", "fourth false 0 0"}
	if d := cmp.Diff(wantOutcomes, outcomes); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestHeadKeepsRecentOutcomes guards against a head that grows with every change,
// or that drops an outcome while its submitter may still need it.
func TestHeadKeepsRecentOutcomes(t *testing.T) {
	var h change.Head
	for i := range 100 {
		h = propose(t, h, fmt.Sprintf("c%d", i), noon).WithAcceptance()
	}
	_, old := h.Outcome("c30")
	_, recent := h.Outcome("c50")
	if old || !recent || len(h.Recent) != 64 {
		t.Errorf("old %t, recent %t, %d kept", old, recent, len(h.Recent))
	}
}

// TestMayServe guards against a daemon that starts without the platform and
// activates an older release than it served before, because too few peers have
// answered or an open proposal has been accepted.
func TestMayServe(t *testing.T) {
	settled := change.Head{InForce: change.Release{Number: 4}}
	open := settled
	open.Proposed = proposal("p")
	cases := []struct {
		name           string
		platform       bool
		head           change.Head
		answers, peers int
		want           bool
	}{
		{"confirmed by the platform", true, settled, 0, 5, true},
		{"confirmed by the platform, with a proposal open", true, open, 0, 5, true},
		{"no platform, no peers", false, settled, 0, 0, false},
		{"no platform, one peer of five", false, settled, 1, 5, false},
		{"no platform, three peers of five", false, settled, 3, 5, true},
		{"no platform, the only peer", false, settled, 1, 1, true},
		{"no platform, a proposal may have been accepted", false, open, 3, 5, false},
	}
	for _, c := range cases {
		if g := change.MayServe(c.platform, c.head, c.answers, c.peers); g != c.want {
			t.Errorf("%s: %t", c.name, g)
		}
	}
}

// TestTakesOver guards against a proposal that nothing finishes after its
// coordinator is lost or stuck, and against many daemons that finish it at once.
func TestTakesOver(t *testing.T) {
	p := proposal("p")
	cases := []struct {
		name   string
		now    time.Duration
		live   bool
		rank   int
		lostAt time.Duration
		want   bool
	}{
		{"the coordinator is live", 30 * time.Second, true, 0, 0, false},
		{"the coordinator is live past the deadline", 62 * time.Second, true, 0, 0, true},
		{"the coordinator is lost, first rank", 10 * time.Second, false, 0, 10 * time.Second, true},
		{"the coordinator is lost, second rank, at once", 10 * time.Second, false, 1, 10 * time.Second, false},
		{"the coordinator is lost, second rank, a second later", 11 * time.Second, false, 1, 10 * time.Second, true},
	}
	for _, c := range cases {
		if g := change.TakesOver(noon.Add(c.now), p, c.live, c.rank, noon.Add(c.lostAt)); g != c.want {
			t.Errorf("%s: %t", c.name, g)
		}
	}
}

// TestDeadline guards against a change that is accepted after the end of the break
// in which it was proposed.
func TestDeadline(t *testing.T) {
	for _, c := range []struct {
		name string
		end  time.Time
		want time.Time
	}{
		{"always open", time.Time{}, noon.Add(time.Minute)},
		{"the break is long", noon.Add(time.Hour), noon.Add(time.Minute)},
		{"the break ends before", noon.Add(20 * time.Second), noon.Add(20 * time.Second)},
	} {
		if g := change.Deadline(noon, time.Minute, c.end); !g.Equal(c.want) {
			t.Errorf("%s: %s", c.name, g)
		}
	}
}
