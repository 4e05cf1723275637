package peer

import (
	"time"

	"figwheel/change"
	"figwheel/instance"
	"figwheel/peer/peerpb"
	"figwheel/poison"
	"figwheel/result"
)

// FromHead returns the message for the head h. It leaves out Recent, and the
// submitter, reason, sites and time of the proposal.
func FromHead(h change.Head) *peerpb.Head {
	p := &peerpb.Head{Sequence: h.Sequence, InForce: fromRelease(h.InForce)}
	if h.HasProposal() {
		p.Proposed = fromRelease(h.Proposed.Release)
		p.Coordinator = h.Proposed.Coordinator
		p.DeadlineUnixMs = h.Proposed.Deadline.UnixMilli()
	}
	return p
}

func fromRelease(r change.Release) *peerpb.Release {
	return &peerpb.Release{Number: r.Number, Content: r.Content, ChangeID: r.ChangeID}
}

// ToHead returns the head of a message, without the fields that FromHead leaves
// out.
func ToHead(p *peerpb.Head) change.Head {
	h := change.Head{Sequence: p.GetSequence(), InForce: toRelease(p.GetInForce())}
	if p.GetProposed() != nil {
		h.Proposed.Release = toRelease(p.GetProposed())
		h.Proposed.Coordinator = p.GetCoordinator()
		h.Proposed.Deadline = time.UnixMilli(p.GetDeadlineUnixMs())
	}
	return h
}

func toRelease(r *peerpb.Release) change.Release {
	return change.Release{Number: r.GetNumber(), Content: r.GetContent(), ChangeID: r.GetChangeID()}
}

// FromSuspects returns the messages for suspected requests.
func FromSuspects(l []poison.Suspect) []*peerpb.Suspect {
	r := make([]*peerpb.Suspect, 0, len(l))
	for _, s := range l {
		r = append(r, &peerpb.Suspect{Request: uint64(s.Request), Level: uint32(s.Level), Cleared: s.Cleared})
	}
	return r
}

// ToSuspects returns the suspected requests in messages.
func ToSuspects(l []*peerpb.Suspect) []poison.Suspect {
	r := make([]poison.Suspect, 0, len(l))
	for _, s := range l {
		r = append(r, poison.Suspect{Request: poison.Fingerprint(s.GetRequest()), Level: int(s.GetLevel()), Cleared: s.GetCleared()})
	}
	return r
}

// FromRecords returns the messages for membership records.
func FromRecords(l []instance.Record) []*peerpb.Record {
	r := make([]*peerpb.Record, 0, len(l))
	for _, m := range l {
		r = append(r, &peerpb.Record{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Site:        m.Site,
			PeerAddress: m.PeerAddress,
			LinkAddress: m.LinkAddress,
			Service:     m.Service,
			State:       int32(m.State),
			Health:      int32(m.Health),
			Slots:       m.Slots,
		})
	}
	return r
}

// incarnationMax bounds the incarnation of a valid record. It is far above the
// incarnations that daemons use, the time of their start in milliseconds, and
// far below the value at which the increment of a refutation would wrap around.
const incarnationMax = 1 << 60

// ToRecords returns the membership records in messages. It drops those that have
// no name, an unknown state or health, or an incarnation above incarnationMax.
func ToRecords(l []*peerpb.Record) []instance.Record {
	r := make([]instance.Record, 0, len(l))
	for _, p := range l {
		m := instance.Record{
			Name:        p.GetName(),
			Incarnation: p.GetIncarnation(),
			Site:        p.GetSite(),
			PeerAddress: p.GetPeerAddress(),
			LinkAddress: p.GetLinkAddress(),
			Service:     p.GetService(),
			State:       instance.State(p.GetState()),
			Health:      instance.Health(p.GetHealth()),
			Slots:       p.GetSlots(),
		}
		if m.Name == "" || m.Incarnation > incarnationMax || m.State < instance.Starting || m.State > instance.Left || m.Health < instance.Alive || m.Health > instance.Dead {
			continue
		}
		r = append(r, m)
	}
	return r
}

// FromReport returns the message for the report r.
func FromReport(r change.Report) *peerpb.DeliverResponse {
	p := &peerpb.DeliverResponse{Behind: r.Behind, Unreached: r.Unreached}
	for _, a := range r.Acks {
		p.Sites = append(p.Sites, &peerpb.SiteCount{Site: a.Site, Staged: uint32(a.Staged), InForce: uint32(a.InForce)})
	}
	for _, f := range r.Refusals {
		p.Refusals = append(p.Refusals, &peerpb.Refusal{Name: f.Instance, Site: f.Site, Code: int32(f.Code), Text: f.Text})
	}
	return p
}

// ToReport returns the report in a message.
func ToReport(p *peerpb.DeliverResponse) change.Report {
	r := change.Report{Behind: p.GetBehind(), Unreached: p.GetUnreached()}
	for _, a := range p.GetSites() {
		r.Acks = append(r.Acks, change.Ack{Site: a.GetSite(), Staged: int(a.GetStaged()), InForce: int(a.GetInForce())})
	}
	for _, f := range p.GetRefusals() {
		r.Refusals = append(r.Refusals, change.Refusal{Instance: f.GetName(), Site: f.GetSite(), Code: result.Code(f.GetCode()), Text: f.GetText()})
	}
	return r
}
