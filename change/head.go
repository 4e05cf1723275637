package change

import (
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"figwheel/result"
)

// HeadKey is the key of the head object in the platform.
const HeadKey = "control/head"

// recentOutcomesMax is the number of outcomes that a head keeps. The outcomes of
// older changes are dropped from it.
const recentOutcomesMax = 64

var headError = errs.Class("head")

// Release is one numbered configuration.
type Release struct {
	Number   uint64
	Content  string // hash of the content
	ChangeID string
}

// Proposal is a release that is being staged and has not been accepted yet.
type Proposal struct {
	Release
	Submitter   string
	Reason      string
	Coordinator string
	Sites       []string // sites whose configuration it changes
	ProposedAt  time.Time
	Deadline    time.Time
}

// Outcome is the result of a change. Number is 0 for a refused change, for which
// Code and Text are the reason.
type Outcome struct {
	ChangeID  string
	Submitter string
	Number    uint64
	Code      result.Code
	Text      string
}

// Accepted reports whether the change came into force.
func (o Outcome) Accepted() bool { return o.Number > 0 }

// Head is the state of the configuration of the whole organisation. Sequence
// grows with each update, so that heads are totally ordered in whatever order
// they arrive.
type Head struct {
	Sequence uint64
	InForce  Release
	Proposed Proposal  // has no ChangeID if no change is being staged
	Recent   []Outcome // oldest first
}

// DecodeHead decodes a head object. Without bytes it returns the zero Head, the
// state before the first change.
func DecodeHead(d []byte) (Head, error) {
	var h Head
	if len(d) == 0 {
		return h, nil
	}
	return h, headError.Wrap(json.Unmarshal(d, &h))
}

// Encode returns the head as the bytes of the head object.
func (h Head) Encode() ([]byte, error) {
	d, err := json.Marshal(h)
	return d, headError.Wrap(err)
}

// HasProposal reports whether a change is being staged.
func (h Head) HasProposal() bool { return h.Proposed.ChangeID != "" }

// Outcome returns the outcome of the change with this id, and false if the head
// does not hold it, or no longer does.
func (h Head) Outcome(id string) (Outcome, bool) {
	for _, o := range h.Recent {
		if o.ChangeID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// WithProposal returns the head that proposes p as the next release. It returns
// a Conflict error while another change is being staged and its deadline has
// not passed. If the deadline has passed, the other change is refused in the
// returned head.
func (h Head) WithProposal(p Proposal, now time.Time) (Head, error) {
	if h.HasProposal() {
		if now.Before(h.Proposed.Deadline) {
			return h, result.New(result.Conflict, "change %s of %s is being staged as version %d", h.Proposed.ChangeID, h.Proposed.Submitter, h.Proposed.Number)
		}
		h = h.WithRefusal(result.New(result.DeadlinePassed, "not staged everywhere by %s", h.Proposed.Deadline.UTC().Format(time.RFC3339)))
	}
	h.Sequence++
	p.Number = h.InForce.Number + 1
	h.Proposed = p
	return h, nil
}

// WithAcceptance returns the head in which the proposal is in force.
func (h Head) WithAcceptance() Head {
	p := h.Proposed
	h.Sequence++
	h.InForce = p.Release
	h.Proposed = Proposal{}
	return h.withOutcome(Outcome{ChangeID: p.ChangeID, Submitter: p.Submitter, Number: p.Number})
}

// WithRefusal returns the head in which the proposal is refused for the reason e.
func (h Head) WithRefusal(e *result.Error) Head {
	p := h.Proposed
	h.Sequence++
	h.Proposed = Proposal{}
	return h.withOutcome(Outcome{ChangeID: p.ChangeID, Submitter: p.Submitter, Code: e.Code, Text: e.Text})
}

// withOutcome returns the head with o as the newest outcome, without the oldest
// if there are more than recentOutcomesMax.
func (h Head) withOutcome(o Outcome) Head {
	r := append(slices.Clone(h.Recent), o)
	if len(r) > recentOutcomesMax {
		r = r[len(r)-recentOutcomesMax:]
	}
	h.Recent = r
	return h
}

// ValidID reports whether s is valid as the id of a change.
func ValidID(s string) bool {
	return regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`).MatchString(s)
}
