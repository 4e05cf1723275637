package quota

import (
	"sync"
	"time"
)

const (
	// Timeout is how long a message may take. One aggregator without an answer and a
	// report to the next one take less than ShareLifetime together.
	Timeout = 300 * time.Millisecond
	// tellIntervalMin is the least time between two answers that are sent without a report.
	tellIntervalMin = 100 * time.Millisecond
	// noticesMax bounds the notices that are kept until they are logged.
	noticesMax = 64
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	ToAggregator Kind = iota // Report to the aggregator of this daemon
	ToPeer                   // Report to another aggregator
	ToReporter               // Answer to a daemon, without a report
)

// Message is a message that is to be sent.
type Message struct {
	Kind     Kind
	To       Member
	Report   Report
	Answer   Answer
	Sequence uint64 // of the newest report of the daemon that gets the Answer
	sent     time.Time
}

// Notice states what an operator should know.
type Notice struct {
	Change     *Change // nil if the notice is about this daemon
	Aggregator string  // of this daemon
	Moved      bool    // whether the aggregator changed
	Isolated   bool    // whether this daemon is isolated
	Known      int     // instances that share the quotas
}

// Node is the part of one daemon in the quotas: it admits requests, reports them, and is
// an aggregator for others if they report to it. It is safe for concurrent use. Create it
// with NewNode.
type Node struct {
	limiter     Limiter
	name, site  string
	incarnation uint64

	mutex      sync.Mutex // guards what follows
	limited    bool       // whether any account has a limit
	ledger     Ledger
	members    Members
	avoided    Avoided
	aggregator string          // to which the last report went
	reporting  bool            // whether a report is on its way
	inFlight   map[string]bool // other aggregators to which a report is on its way
	combineAt  time.Time
	toldAt     time.Time
	tell       bool // whether a share fell since toldAt
	isolated   bool
	notices    []Notice
}

// NewNode returns the node of the named instance of the site, whose daemon started at the
// incarnation. It signals on the channel wake, which needs a buffer, when Due should be
// called before the time that it returned.
func NewNode(name, site string, incarnation uint64, wake chan struct{}) *Node {
	n := &Node{name: name, site: site, incarnation: incarnation, inFlight: make(map[string]bool), isolated: true}
	n.limiter.Init(name, incarnation, wake)
	return n
}

// Admit implements caller.Quota.
func (n *Node) Admit(account string, now time.Time) (retryAfter time.Duration, ok bool) {
	return n.limiter.Admit(account, now)
}

// Refund implements caller.Quota.
func (n *Node) Refund(account string, now time.Time) { n.limiter.Refund(account, now) }

// SetLimits replaces the limits of the accounts.
func (n *Node) SetLimits(limits []Limit, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.limiter.SetLimits(limits)
	n.ledger.SetLimits(limits, now)
	n.limited = n.limiter.Active()
}

// SetMembers replaces the members. The quotas are shared by known instances, of which the
// members may be a part.
func (n *Node) SetMembers(m Members, known int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.members = m
	n.limiter.SetKnown(known)
}

// Active reports whether any account has a limit. Otherwise the node sends nothing.
func (n *Node) Active() bool { return n.limiter.Active() }

// Refused returns the number of requests that were not admitted since the start.
func (n *Node) Refused() int64 { return n.limiter.Refused() }

// Short returns the number of accounts that are short, as this daemon was told.
func (n *Node) Short() int { return n.limiter.Short() }

// Isolated reports whether the daemon admits by its own part of the quotas.
func (n *Node) Isolated(now time.Time) bool { return n.Active() && n.limiter.Isolated(now) }

// Due returns the messages to send at now and the time of the next call.
func (n *Node) Due(now time.Time) ([]Message, time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.limited {
		return nil, time.Time{}
	}
	var r []Message
	if t := n.limiter.nextReport(); !n.reporting && !now.Before(t) {
		if m, ok := n.report(now); ok {
			r = append(r, m)
		}
	}
	next := n.limiter.nextReport()
	if n.reporting {
		next = now.Add(Timeout)
	}
	if n.ledger.IsActive(now) {
		if !now.Before(n.combineAt) {
			r = append(r, n.combine(now)...)
			n.combineAt = now.Add(CombineInterval)
		}
		if t := n.toldAt.Add(tellIntervalMin); n.tell && !now.Before(t) {
			r = append(r, n.tellReporters(now)...)
		} else if n.tell && t.Before(next) {
			next = t
		}
		if n.combineAt.Before(next) {
			next = n.combineAt
		}
	} else {
		n.tell = false
	}
	n.noteIsolation(now)
	return r, next
}

// report returns the report to the aggregator, or false if this daemon is its own.
func (n *Node) report(now time.Time) (Message, bool) {
	to, ok := n.members.Aggregator(n.site, n.name, &n.avoided, now)
	if !ok {
		to.Name = n.name // the daemon is not a member yet
	}
	q := n.limiter.Report(to.Name != n.aggregator, now)
	if to.Name != n.aggregator {
		n.aggregator = to.Name
		n.note(Notice{Aggregator: to.Name, Moved: true})
	}
	if to.Name != n.name {
		n.reporting = true
		return Message{Kind: ToAggregator, To: to, Report: q, sent: now}, true
	}
	// An aggregator that nobody else reaches is a daemon that is cut off.
	if a := n.answer(q, now); !n.ledger.IsAlone(now) || n.known() == 1 {
		n.limiter.Answered(a, now)
	}
	return Message{}, false
}

func (n *Node) known() int { return int(max(1, n.limiter.known.Load())) }

// answer applies a report and returns the answer.
func (n *Node) answer(q Report, now time.Time) Answer {
	a := n.ledger.Report(q, n.known(), now)
	n.noteChanges()
	return a
}

// combine returns the reports to the other aggregators.
func (n *Node) combine(now time.Time) []Message {
	var r []Message
	for _, to := range n.members.Others(n.name, n.ledger.Senders(now), &n.avoided, now) {
		if n.inFlight[to.Name] {
			continue
		}
		n.inFlight[to.Name] = true
		q := n.ledger.Message(to.Name, now)
		q.From, q.Incarnation = n.name, n.incarnation
		r = append(r, Message{Kind: ToPeer, To: to, Report: q, sent: now})
	}
	return r
}

// tellReporters returns the answers that tell the reporting daemons of shares that fell.
func (n *Node) tellReporters(now time.Time) []Message {
	n.toldAt, n.tell = now, false
	a := n.ledger.Answer()
	var r []Message
	for _, v := range n.ledger.Receivers(now) {
		if v.Name == n.name {
			n.limiter.Told(a, v.Sequence, now)
			continue
		}
		if to, ok := n.members.Get(v.Name); ok {
			r = append(r, Message{Kind: ToReporter, To: to, Answer: a, Sequence: v.Sequence, sent: now})
		}
	}
	return r
}

// Done records the answer to the message m, or that there was none if ok is false.
func (n *Node) Done(m Message, a Answer, ok bool, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if m.Kind == ToReporter {
		return // the daemon asks again
	}
	if !ok {
		n.avoided.Add(m.To.Name, now)
	}
	switch {
	case m.Kind == ToPeer:
		delete(n.inFlight, m.To.Name)
		if ok {
			n.ledger.Acknowledged(m.To.Name, m.Report.Sequence)
		}
	case ok:
		n.reporting = false
		n.limiter.Answered(a, m.sent)
	default:
		n.reporting = false
		n.limiter.retry()
	}
	n.noteIsolation(now)
}

// HandleReport applies the report of a daemon and returns the answer. It returns false if
// this daemon has no limits and cannot aggregate.
func (n *Node) HandleReport(q Report, now time.Time) (Answer, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.limited {
		return Answer{}, false
	}
	return n.answer(q, now), true
}

// HandleCombine applies the report of another aggregator. It returns false if this daemon
// has no limits.
func (n *Node) HandleCombine(q Report, now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.limited {
		return false
	}
	n.ledger.Combine(q, n.known(), now)
	n.noteChanges()
	return true
}

// HandleTell applies an answer that the named aggregator sent without a report. It rests
// on this daemon's report of that sequence.
func (n *Node) HandleTell(from string, a Answer, sequence uint64, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if from == n.aggregator {
		n.limiter.Told(a, sequence, now)
	}
}

// noteChanges takes over the changes of the ledger. The fall of a share is told to the
// reporting daemons at once.
func (n *Node) noteChanges() {
	for _, c := range n.ledger.Changes() {
		n.note(Notice{Change: &c})
	}
	if n.ledger.Dropped() {
		n.tell = true
		n.limiter.signal()
	}
}

func (n *Node) noteIsolation(now time.Time) {
	if i := n.limiter.Isolated(now); i != n.isolated {
		n.isolated = i
		n.note(Notice{Isolated: i, Aggregator: n.aggregator, Known: n.known()})
	}
}

func (n *Node) note(v Notice) {
	if len(n.notices) < noticesMax {
		n.notices = append(n.notices, v)
	}
}

// Notices returns the notices since the last call.
func (n *Node) Notices() []Notice {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	r := n.notices
	n.notices = nil
	return r
}
