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

// TestMain fixes what rapid draws from, so that each run has the same verdict;
// -rapid.seed and -rapid.checks on the command line go before.
func TestMain(m *testing.M) {
	for _, f := range []struct{ name, value string }{{"rapid.seed", "1"}, {"rapid.checks", "5000"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// model is three daemons and the head object in memory. Each coordinator goes
// through its change one step at a time, in any order with the others; it may
// be paused between any two steps, killed, or not told that its write took
// effect, and it may take a daemon for dead that is not. News of heads reaches daemons late, twice and crossed, or not at all.
type model struct {
	now     time.Time
	head    change.Head // the object
	version int         // of the object
	history []change.Head

	actors  [3]actor
	known   [3]change.Known
	serving [3]uint64
	staged  [3]map[string]bool
	served  map[uint64]string // content that any daemon served under a number
	next    int
}

// actor is one coordinator: what it read, and what it is about to write.
type actor struct {
	id      string
	read    change.Head
	version int
	write   *change.Head
}

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

// activate lets daemon i serve what it knows to be accepted, if it staged it.
func (m *model) activate(t *rapid.T, i int) {
	r := m.known[i].Target
	if r.Number <= m.serving[i] || !m.staged[i][r.Content] {
		return
	}
	if c, ok := m.served[r.Number]; ok && c != r.Content {
		t.Fatalf("version %d is %s at one daemon and %s at another", r.Number, c, r.Content)
	}
	ok := false
	for _, h := range m.history {
		ok = ok || h.InForce == r
	}
	if !ok {
		t.Fatalf("daemon %d serves %+v, which was never accepted", i, r)
	}
	m.served[r.Number] = r.Content
	m.serving[i] = r.Number
}

func (m *model) hear(t *rapid.T, i int, h change.Head) {
	m.known[i], _ = m.known[i].WithHead(h)
	m.activate(t, i)
}

// read lets an actor read the object and decide on its next write.
func (m *model) read(t *rapid.T, i int) {
	a := &m.actors[i]
	if a.id == "" {
		m.next++
		a.id = fmt.Sprintf("c%d", m.next)
	}
	a.read, a.version, a.write = m.head, m.version, nil
	if o, ok := a.read.Outcome(a.id); ok {
		m.finish(t, i, o)
		return
	}
	if a.read.Proposed.ChangeID != a.id {
		p := proposal(a.id)
		p.Deadline = m.now.Add(10 * time.Second)
		h, err := a.read.WithProposal(p, m.now)
		if err != nil {
			*a = actor{} // a conflict, told as such
			return
		}
		a.write = &h
		return
	}
	var r change.Report
	// One of the others may be taken for dead, rightly or not.
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
		a.write = &h
	case change.Refuse:
		h := a.read.WithRefusal(e)
		a.write = &h
	}
}

func (m *model) finish(t *rapid.T, i int, o change.Outcome) {
	if o.Accepted() {
		ok := false
		for _, h := range m.history {
			ok = ok || h.InForce.ChangeID == o.ChangeID && h.InForce.Number == o.Number
		}
		if !ok {
			t.Fatalf("%s is told to be accepted as %d, and never was", o.ChangeID, o.Number)
		}
	} else if o.Code == 0 || o.Code == result.OutcomeUnknown {
		t.Fatalf("%s is refused without a reason", o.ChangeID)
	}
	m.actors[i] = actor{}
}

// put writes under the condition that the object is the one that was read. The
// actor reads the object next, whether or not it was told what became of it.
func (m *model) put(i int) {
	a := &m.actors[i]
	if a.write == nil {
		return
	}
	if a.version == m.version {
		m.head = *a.write
		m.version++
		m.history = append(m.history, m.head)
	}
	a.write = nil
}

// TestModel interleaves the real decisions of three daemons with every fault
// and checks after each step: versions go up by one, no daemon goes back, none
// serves what was not accepted, and nobody is told what did not happen. Then
// the faults end, and all daemons come to serve what is in force.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: noon, served: make(map[uint64]string)}
		for i := range m.staged {
			m.staged[i] = make(map[string]bool)
		}
		for range modelSteps {
			m.step(t, rapid.IntRange(0, 2).Draw(t, "daemon"))
			m.check(t)
		}
		m.settle(t)
	})
}

const modelSteps = 120

// step lets one thing happen at daemon i.
func (m *model) step(t *rapid.T, i int) {
	switch rapid.SampledFrom([]string{"act", "act", "act", "news", "news", "stage", "stage", "call", "time", "kill"}).Draw(t, "step") {
	case "act": // the next step of its coordinator; it is paused until then
		if m.actors[i].write != nil {
			m.put(i)
			return
		}
		m.read(t, i)
	case "kill":
		m.actors[i] = actor{}
	case "time":
		m.now = m.now.Add(3 * time.Second)
	case "stage":
		if p := m.known[i].Head.Proposed; p.ChangeID != "" {
			m.staged[i][p.Content] = true
		}
		m.activate(t, i)
	case "news": // mostly the newest head, sometimes any old one
		if n := len(m.history); n > 0 {
			m.hear(t, i, m.history[max(rapid.IntRange(0, n-1).Draw(t, "head"), rapid.IntRange(0, n-1).Draw(t, "or head"))])
		}
	case "call":
		j := rapid.IntRange(0, 2).Draw(t, "from")
		m.known[i], _ = m.known[i].WithSeen(m.serving[j], m.served[m.serving[j]])
		m.activate(t, i)
	}
}

// settle ends the faults: one coordinator finishes what is proposed and all
// hear of it.
func (m *model) settle(t *rapid.T) {
	for m.head.HasProposal() {
		for i := range m.known {
			m.hear(t, i, m.head)
			m.staged[i][m.head.Proposed.Content] = true
		}
		m.actors[0] = actor{id: m.head.Proposed.ChangeID}
		m.read(t, 0)
		m.put(0)
	}
	for i := range m.known {
		m.staged[i][m.head.InForce.Content] = true
		m.hear(t, i, m.head)
		if m.serving[i] != m.head.InForce.Number {
			t.Fatalf("daemon %d serves %d, in force is %d", i, m.serving[i], m.head.InForce.Number)
		}
	}
	m.check(t)
}
