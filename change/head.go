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

const outcomesKept = 64

var headError = errs.Class("head")

// Release is one numbered configuration.
type Release struct {
	Number   uint64
	Content  string
	ChangeID string
}

// Proposal is a release on its way to be accepted.
type Proposal struct {
	Release
	Submitter   string
	Reason      string
	Coordinator string
	Sites       []string // that it changes
	ProposedAt  time.Time
	Deadline    time.Time
}

// Outcome is how a change ended; Number is 0 for a refused one.
type Outcome struct {
	ChangeID  string
	Submitter string
	Number    uint64
	Code      result.Code
	Text      string
}

// Accepted tells whether the change came into force.
func (o Outcome) Accepted() bool { return o.Number > 0 }

// Head is the state of the configuration of the whole organisation. Sequence
// grows with each update, so that news of heads has one order.
type Head struct {
	Sequence uint64
	InForce  Release
	Proposed Proposal // without a ChangeID when there is none
	Recent   []Outcome
}

// DecodeHead reads a head object; no bytes are the head before all changes.
func DecodeHead(d []byte) (Head, error) {
	var h Head
	if len(d) == 0 {
		return h, nil
	}
	return h, headError.Wrap(json.Unmarshal(d, &h))
}

// Encode returns the bytes of the head object.
func (h Head) Encode() ([]byte, error) {
	d, err := json.Marshal(h)
	return d, headError.Wrap(err)
}

// HasProposal tells whether a change is being staged.
func (h Head) HasProposal() bool { return h.Proposed.ChangeID != "" }

// Outcome returns how the change ended, if the head still remembers it.
func (h Head) Outcome(id string) (Outcome, bool) {
	for _, o := range h.Recent {
		if o.ChangeID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// WithProposal returns the head that proposes p as the next release. While
// another change is being staged and its deadline has not passed, that is a
// conflict; one whose deadline has passed is refused on the way.
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

// WithRefusal returns the head in which the proposal is gone because of e.
func (h Head) WithRefusal(e *result.Error) Head {
	p := h.Proposed
	h.Sequence++
	h.Proposed = Proposal{}
	return h.withOutcome(Outcome{ChangeID: p.ChangeID, Submitter: p.Submitter, Code: e.Code, Text: e.Text})
}

func (h Head) withOutcome(o Outcome) Head {
	r := append(slices.Clone(h.Recent), o)
	if len(r) > outcomesKept {
		r = r[len(r)-outcomesKept:]
	}
	h.Recent = r
	return h
}

// ValidID tells whether s may name a change.
func ValidID(s string) bool {
	return regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`).MatchString(s)
}
