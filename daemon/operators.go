package daemon

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"figwheel/change"
	"figwheel/operator/operatorpb"
	"figwheel/peer/peerpb"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

const (
	auditRecordsMax  = 1000
	watchIntervalMin = 200 * time.Millisecond
	progressQueueMax = 64
)

// operators implements operatorpb.OperatorServiceHandler.
type operators struct{ d *Daemon }

// Submit implements operatorpb.OperatorServiceHandler. The change continues if
// the supervisor's connection breaks. A submission with the same ID then follows
// the same change.
func (o operators) Submit(x context.Context, q *operatorpb.SubmitRequest, p *connect.ServerStream[operatorpb.SubmitResponse]) error {
	d := o.d
	s := submission{
		id:        q.GetChangeID(),
		submitter: q.GetSubmitter(),
		reason:    q.GetReason(),
		onNumber:  q.GetOnNumber(),
		bundle:    toBundle(q),
		began:     d.now(),
	}
	steps := make(chan progress, progressQueueMax)
	err := d.do(x, func(c *control) {
		c.start(func(y context.Context) {
			defer close(steps)
			d.submit(y, s, func(g progress) {
				select {
				case steps <- g:
				default: // the supervisor reads too slowly: drop the step, as steps repeat
				}
			})
		})
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	for {
		select {
		case <-x.Done():
			return x.Err()
		case g, ok := <-steps:
			if !ok {
				return nil
			}
			if err := p.Send(o.response(s, g)); err != nil {
				return err
			}
		}
	}
}

func (o operators) response(s submission, g progress) *operatorpb.SubmitResponse {
	r := &operatorpb.SubmitResponse{
		Step:      g.step,
		ChangeID:  s.id,
		Number:    g.number,
		Sites:     siteProgress(g),
		ElapsedMs: o.d.now().Sub(s.began).Milliseconds(),
	}
	if g.err == nil {
		return r
	}
	var m problems
	if errors.As(g.err, &m) {
		for _, k := range m {
			r.Problems = append(r.Problems, &operatorpb.Problem{Code: int32(k.Code), Text: k.String()})
		}
		return r
	}
	r.Problems = []*operatorpb.Problem{{Code: int32(g.err.Code), Text: g.err.Error()}}
	return r
}

func siteProgress(g progress) []*operatorpb.SiteProgress {
	var r []*operatorpb.SiteProgress
	for n, k := range g.round.liveBySite() {
		p := &operatorpb.SiteProgress{Site: n, Live: uint32(k), Changed: slices.Contains(g.sites, n)}
		for _, a := range g.round.report.Acks {
			if a.Site == n {
				p.Staged = uint32(a.Staged)
				p.InForce = uint32(a.InForce)
			}
		}
		r = append(r, p)
	}
	slices.SortFunc(r, func(a, b *operatorpb.SiteProgress) int { return cmp.Compare(a.GetSite(), b.GetSite()) })
	return r
}

func toBundle(q *operatorpb.SubmitRequest) site.Bundle {
	b := site.Bundle{Base: toFile(q.GetBase())}
	for _, f := range q.GetOverlays() {
		b.Overlays = append(b.Overlays, toFile(f))
	}
	return b
}

func toFile(f *operatorpb.File) site.File { return site.File{Name: f.GetName(), Text: f.GetText()} }

func fromFile(f site.File) *operatorpb.File { return &operatorpb.File{Name: f.Name, Text: f.Text} }

// Status implements operatorpb.OperatorServiceHandler. Unless the request is for
// the local status only, it delivers the head to all instances and returns their
// reports.
func (o operators) Status(x context.Context, q *operatorpb.StatusRequest) (*operatorpb.StatusResponse, error) {
	var h change.Head
	r := &operatorpb.StatusResponse{Instance: o.d.settings.Instance}
	err := o.d.do(x, func(c *control) {
		h = c.known.Head
		r.Number = c.serving.Number()
		r.Ready = c.serving != nil
		r.PlatformReachable = c.platformReachable
		if c.serving != nil {
			r.Content = c.serving.Content()
		}
		r.ChangeID = c.known.Target.ChangeID
		r.ReadyInstances = c.readyInstances()
		if h.HasProposal() {
			r.ProposedNumber = h.Proposed.Number
			r.ProposedChangeID = h.Proposed.ChangeID
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if q.GetLocal() {
		return r, nil
	}
	n, err := o.d.deliver(x, h)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	r.Sites = siteStatus(n)
	return r, nil
}

func siteStatus(n round) []*operatorpb.SiteStatus {
	var r []*operatorpb.SiteStatus
	for _, p := range siteProgress(progress{round: n}) {
		r = append(r, &operatorpb.SiteStatus{Site: p.GetSite(), Live: p.GetLive(), InForce: p.GetInForce(), Behind: n.behind(p.GetSite())})
	}
	return r
}

// Watch implements operatorpb.OperatorServiceHandler. It sends the status now and
// after each change, at most once in watchIntervalMin.
func (o operators) Watch(x context.Context, _ *operatorpb.WatchRequest, p *connect.ServerStream[operatorpb.WatchResponse]) error {
	for {
		var w chan struct{}
		if err := o.d.do(x, func(c *control) { w = c.viewReplaced }); err != nil {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		s, err := o.Status(x, nil)
		if err != nil {
			return err
		}
		if err := p.Send(&operatorpb.WatchResponse{Status: s}); err != nil {
			return err
		}
		if !pause(x, watchIntervalMin) {
			return nil
		}
		select {
		case <-w:
		case <-o.d.stopped:
			return nil
		case <-x.Done():
			return nil
		}
	}
}

// Audit implements operatorpb.OperatorServiceHandler. It returns the newest
// records, at most auditRecordsMax.
func (o operators) Audit(x context.Context, q *operatorpb.AuditRequest) (*operatorpb.AuditResponse, error) {
	n := int(q.GetLimit())
	if n <= 0 || n > auditRecordsMax {
		n = auditRecordsMax
	}
	l, err := store.ListAudit(x, o.d.store, o.d.now(), n)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	r := &operatorpb.AuditResponse{}
	for _, a := range l {
		r.Records = append(r.Records, fromAudit(a))
	}
	return r, nil
}

func fromAudit(a store.Audit) *operatorpb.AuditRecord {
	r := &operatorpb.AuditRecord{
		Time:         a.Time.UTC().Format(time.RFC3339Nano),
		ChangeID:     a.ChangeID,
		Step:         a.Step,
		Submitter:    a.Submitter,
		Reason:       a.Reason,
		Number:       a.Number,
		Content:      a.Content,
		SitesChanged: a.SitesChanged,
		ElapsedMs:    a.ElapsedMs,
		Instance:     a.Instance,
	}
	for _, p := range a.Problems {
		r.Problems = append(r.Problems, &operatorpb.Problem{Code: int32(p.Code), Text: p.Text})
	}
	return r
}

// Source implements operatorpb.OperatorServiceHandler. It returns the files of
// the target release, none if there is no release.
func (o operators) Source(x context.Context, _ *operatorpb.SourceRequest) (*operatorpb.SourceResponse, error) {
	var t change.Release
	if err := o.d.do(x, func(c *control) { t = c.known.Target }); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if t.Number == 0 {
		return &operatorpb.SourceResponse{}, nil
	}
	k, err := o.d.content(x, t.Content, "", &peerpb.DeliverRequest{})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, result.Wrap(result.NotReady, err, "version %d", t.Number))
	}
	b, err := site.DecodeBundle(k.data)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	r := &operatorpb.SourceResponse{Number: t.Number, Base: fromFile(b.Base)}
	for _, f := range b.Overlays {
		r.Overlays = append(r.Overlays, fromFile(f))
	}
	return r, nil
}
