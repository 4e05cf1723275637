package change_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"figwheel/change"
	"figwheel/result"
)

// TestMain fixes the seed of rapid, so that each run draws the same values and
// has the same result. -rapid.seed and -rapid.checks on the command line
// override it.
func TestMain(m *testing.M) {
	for _, f := range []struct{ name, value string }{{"rapid.seed", "1"}, {"rapid.checks", "5000"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// model is three daemons and the head object in memory. Each daemon runs a
// coordinator, which takes its change through one step at a time, interleaved
// with the others. A coordinator may be paused between any two steps, killed, or
// not learn that its write took effect, and it may consider a live daemon dead.
// Heads reach daemons late, twice, out of order, or not at all.
type model struct {
	now     time.Time
	head    change.Head // value of the head object
	version int         // version of the head object
	history []change.Head

	coordinators [3]coordinator
	known        [3]change.Known
	serving      [3]uint64
	staged       [3]map[string]bool
	contents     map[uint64]string // content that any daemon served under a number
	lastID       int
}

// coordinator is the state of one coordinator: the head that it read last, with
// its version, and the head that it writes next, nil for none.
type coordinator struct {
	id      string
	read    change.Head
	version int
	pending *change.Head
}

// check fails if a daemon knows less than it serves or if a version was skipped.
func (m *model) check(t *rapid.T) {
	for i := range m.known {
		if n := m.known[i].Target.Number; n < m.serving[i] {
			t.Fatalf("daemon %d went back from %d to %d", i, m.serving[i], n)
		}
	}
	var last uint64
	for _, h := range m.history {
		if h.InForce.Number != last && h.InForce.Number != last+1 {
			t.Fatalf("version %d after %d", h.InForce.Number, last)
		}
		last = h.InForce.Number
	}
}

// activate makes daemon i serve the release that it knows to be accepted, if it
// has staged it.
func (m *model) activate(t *rapid.T, i int) {
	r := m.known[i].Target
	if r.Number <= m.serving[i] || !m.staged[i][r.Content] {
		return
	}
	if c, ok := m.contents[r.Number]; ok && c != r.Content {
		t.Fatalf("version %d is %s at one daemon and %s at another", r.Number, c, r.Content)
	}
	ok := false
	for _, h := range m.history {
		ok = ok || h.InForce == r
	}
	if !ok {
		t.Fatalf("daemon %d serves %+v, which was never accepted", i, r)
	}
	m.contents[r.Number] = r.Content
	m.serving[i] = r.Number
}

// receive gives daemon i the head h.
func (m *model) receive(t *rapid.T, i int, h change.Head) {
	m.known[i], _ = m.known[i].WithHead(h)
	m.activate(t, i)
}

// read makes coordinator i read the head object and decide what to write next.
func (m *model) read(t *rapid.T, i int) {
	a := &m.coordinators[i]
	if a.id == "" {
		m.lastID++
		a.id = fmt.Sprintf("c%d", m.lastID)
	}
	a.read, a.version, a.pending = m.head, m.version, nil
	if o, ok := a.read.Outcome(a.id); ok {
		m.finish(t, i, o)
		return
	}
	if a.read.Proposed.ChangeID != a.id {
		p := proposal(a.id)
		p.Deadline = m.now.Add(10 * time.Second)
		h, err := a.read.WithProposal(p, m.now)
		if err != nil {
			*a = coordinator{} // the submitter is told of the conflict
			return
		}
		a.pending = &h
		return
	}
	var r change.Report
	// One of the other daemons may be considered dead, correctly or not.
	dead := rapid.IntRange(0, 2*len(m.staged)).Draw(t, "dead")
	live := 0
	for j := range m.staged {
		if j == dead && j != i {
			continue
		}
		live++
		s := 0
		if m.staged[j][a.read.Proposed.Content] {
			s = 1
		} else {
			r.Behind = append(r.Behind, fmt.Sprint(j))
		}
		r = r.Add(change.Report{Acks: []change.Ack{{Site: "a", Staged: s}}})
	}
	switch v, e := change.Decide(m.now, a.read.Proposed, []string{"a"}, live, r); v {
	case change.Accept:
		h := a.read.WithAcceptance()
		a.pending = &h
	case change.Refuse:
		h := a.read.WithRefusal(e)
		a.pending = &h
	}
}

// finish ends the change of coordinator i and checks the outcome that its
// submitter is told.
func (m *model) finish(t *rapid.T, i int, o change.Outcome) {
	if o.Accepted() {
		ok := false
		for _, h := range m.history {
			ok = ok || h.InForce.ChangeID == o.ChangeID && h.InForce.Number == o.Number
		}
		if !ok {
			t.Fatalf("%s is reported as accepted as version %d, which never was in force", o.ChangeID, o.Number)
		}
	} else if o.Code == 0 || o.Code == result.OutcomeUnknown {
		t.Fatalf("%s is refused without a reason", o.ChangeID)
	}
	m.coordinators[i] = coordinator{}
}

// put writes the pending head of coordinator i on condition that the object
// still has the version that was read. The coordinator then reads the object
// again, whether or not it learned the result of the write.
func (m *model) put(i int) {
	a := &m.coordinators[i]
	if a.pending == nil {
		return
	}
	if a.version == m.version {
		m.head = *a.pending
		m.version++
		m.history = append(m.history, m.head)
	}
	a.pending = nil
}

// TestModel interleaves the decisions of three daemons with random faults:
// paused and killed coordinators, lost write results, false suspicions, and
// heads that arrive late, twice or out of order. It checks after each step that
// versions go up by one, that no daemon goes back to an older version or serves
// a release that was not accepted, and that no reported outcome is false. Then
// the faults end, and all daemons must come to serve the release in force.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: noon, contents: make(map[uint64]string)}
		for i := range m.staged {
			m.staged[i] = make(map[string]bool)
		}
		for range modelSteps {
			m.step(t, rapid.IntRange(0, 2).Draw(t, "daemon"))
			m.check(t)
		}
		m.converge(t)
	})
}

const modelSteps = 120

// step runs one random event at daemon i.
func (m *model) step(t *rapid.T, i int) {
	switch rapid.SampledFrom([]string{"act", "act", "act", "news", "news", "stage", "stage", "call", "time", "kill"}).Draw(t, "step") {
	case "act": // its coordinator, paused until now, takes its next step
		if m.coordinators[i].pending != nil {
			m.put(i)
			return
		}
		m.read(t, i)
	case "kill":
		m.coordinators[i] = coordinator{}
	case "time":
		m.now = m.now.Add(3 * time.Second)
	case "stage":
		if p := m.known[i].Head.Proposed; p.ChangeID != "" {
			m.staged[i][p.Content] = true
		}
		m.activate(t, i)
	case "news": // a head arrives: the newer of two drawn ones, so that new heads are more likely
		if n := len(m.history); n > 0 {
			m.receive(t, i, m.history[max(rapid.IntRange(0, n-1).Draw(t, "head"), rapid.IntRange(0, n-1).Draw(t, "or head"))])
		}
	case "call": // a call shows which release daemon j serves
		j := rapid.IntRange(0, 2).Draw(t, "from")
		m.known[i], _ = m.known[i].WithServed(m.serving[j], m.contents[m.serving[j]])
		m.activate(t, i)
	}
}

// converge runs without faults: one coordinator finishes the open proposal, and
// all daemons receive the head and must serve the release in force.
func (m *model) converge(t *rapid.T) {
	for m.head.HasProposal() {
		for i := range m.known {
			m.receive(t, i, m.head)
			m.staged[i][m.head.Proposed.Content] = true
		}
		m.coordinators[0] = coordinator{id: m.head.Proposed.ChangeID}
		m.read(t, 0)
		m.put(0)
	}
	for i := range m.known {
		m.staged[i][m.head.InForce.Content] = true
		m.receive(t, i, m.head)
		if m.serving[i] != m.head.InForce.Number {
			t.Fatalf("daemon %d serves %d, in force is %d", i, m.serving[i], m.head.InForce.Number)
		}
	}
	m.check(t)
}
