package peer

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"figwheel/peer/peerpb"
	"figwheel/quota"
)

// NewQuotaHandler returns the path and the handler of the quota service s.
func NewQuotaHandler(s peerpb.QuotaServiceHandler) (string, http.Handler) {
	return peerpb.NewQuotaServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}

// Report sends the counts of this daemon to the aggregator at the address and returns its
// answer.
func (c *Client) Report(x context.Context, address string, r quota.Report) (quota.Answer, error) {
	p, err := c.quotas.Report(withAddress(x, address), &peerpb.ReportRequest{Report: FromQuotaReport(r)})
	if err != nil {
		return quota.Answer{}, err
	}
	return quota.Answer{Short: ToQuotaShares(p.GetShort())}, nil
}

// Combine sends the counts of this aggregator to the one at the address.
func (c *Client) Combine(x context.Context, address string, r quota.Report) error {
	_, err := c.quotas.Combine(withAddress(x, address), &peerpb.CombineRequest{Report: FromQuotaReport(r)})
	return err
}

// Tell sends the shares a of the aggregator from to the daemon at the address, whose
// newest report had that sequence.
func (c *Client) Tell(x context.Context, address, from string, a quota.Answer, sequence uint64) error {
	_, err := c.quotas.Tell(withAddress(x, address), &peerpb.TellRequest{From: from, Short: FromQuotaShares(a.Short), Sequence: sequence})
	return err
}

// FromQuotaShares returns the messages for shares.
func FromQuotaShares(l []quota.Share) []*peerpb.QuotaShare {
	r := make([]*peerpb.QuotaShare, 0, len(l))
	for _, s := range l {
		r = append(r, &peerpb.QuotaShare{Account: uint64(s.Account), Share: float32(s.Share), Level: float32(s.Level)})
	}
	return r
}

// ToQuotaShares returns the shares in messages. It drops those with a share that is not
// from 0 to 1, or a level that is not finite.
func ToQuotaShares(l []*peerpb.QuotaShare) []quota.Share {
	r := make([]quota.Share, 0, len(l))
	for _, p := range l {
		s := quota.Share{Account: quota.ID(p.GetAccount()), Share: float64(p.GetShare()), Level: float64(p.GetLevel())}
		if s.Share >= 0 && s.Share <= 1 && math.Abs(s.Level) <= math.MaxFloat32 {
			r = append(r, s)
		}
	}
	return r
}

// FromQuotaReport returns the message for the report r.
func FromQuotaReport(r quota.Report) *peerpb.QuotaReport {
	p := &peerpb.QuotaReport{
		From:        r.From,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Base:        r.Base,
		AgeMs:       milliseconds(r.Age),
		RecentMs:    milliseconds(r.RecentTime),
		Counts:      make([]*peerpb.QuotaCount, 0, len(r.Counts)),
		Told:        FromQuotaShares(r.Told),
		Reporters:   uint32(max(0, r.Reporters)),
	}
	for _, c := range r.Counts {
		p.Counts = append(p.Counts, &peerpb.QuotaCount{Account: uint64(c.Account), Offered: c.Offered, Admitted: c.Admitted, NewOffered: c.NewOffered, NewAdmitted: c.NewAdmitted, Recent: c.Recent})
	}
	return p
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

// ToQuotaReport returns the report in a message.
func ToQuotaReport(p *peerpb.QuotaReport) quota.Report {
	r := quota.Report{
		From:        p.GetFrom(),
		Incarnation: p.GetIncarnation(),
		Sequence:    p.GetSequence(),
		Base:        p.GetBase(),
		Age:         time.Duration(p.GetAgeMs()) * time.Millisecond,
		RecentTime:  time.Duration(p.GetRecentMs()) * time.Millisecond,
		Told:        ToQuotaShares(p.GetTold()),
		Reporters:   int(p.GetReporters()),
	}
	for _, c := range p.GetCounts() {
		r.Counts = append(r.Counts, quota.Count{Account: quota.ID(c.GetAccount()), Offered: c.GetOffered(), Admitted: c.GetAdmitted(), NewOffered: c.GetNewOffered(), NewAdmitted: c.GetNewAdmitted(), Recent: c.GetRecent()})
	}
	return r
}
