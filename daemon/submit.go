package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"figwheel/change"
	"figwheel/event"
	"figwheel/result"
	"figwheel/site"
	"figwheel/store"
)

const (
	proposeTimeout    = 10 * time.Second
	proposeBackoffMin = 5 * time.Millisecond
	proposeBackoffMax = 500 * time.Millisecond
)

// submission is a change that a supervisor submits.
type submission struct {
	id        string
	submitter string
	reason    string
	onNumber  uint64 // number of the release that the files were edited from, 0 for any
	bundle    site.Bundle
	began     time.Time
}

// Bounds of what the head and the audit trail keep, in bytes.
const (
	submitterBytesMax = 128
	reasonBytesMax    = 1024
)

// validate returns an error if the change ID is invalid or a text is too long.
func (s submission) validate() *result.Error {
	if !change.ValidID(s.id) {
		return result.New(result.BadChangeID, "invalid change ID %q", s.id)
	}
	if len(s.submitter) > submitterBytesMax || len(s.reason) > reasonBytesMax {
		return result.New(result.TextTooLong, "submitter of %d bytes or reason of %d bytes too long", len(s.submitter), len(s.reason))
	}
	return nil
}

// submit proposes the submission s, settles it, and calls show for each step.
func (d *Daemon) submit(x context.Context, s submission, show func(progress)) {
	err := d.checkNotManaged()
	if err == nil {
		err = s.validate()
	}
	if err != nil {
		show(progress{step: stepRefused, err: err})
		return
	}
	_ = d.do(x, func(c *control) { c.settling[s.id] = true })
	defer func() { _ = d.do(x, func(c *control) { delete(c.settling, s.id) }) }()
	h, failed := d.propose(x, s)
	if failed != nil {
		d.reject(x, s, failed, show)
		return
	}
	if h.Proposed.ChangeID == s.id {
		d.event(x, event.Proposed, slog.String("ChangeID", s.id), slog.Uint64("Number", h.Proposed.Number), slog.String("Submitter", s.submitter))
		show(progress{step: stepProposed, number: h.Proposed.Number, sites: h.Proposed.Sites})
		d.audit(x, stepProposed, h.Proposed, change.Outcome{Number: h.Proposed.Number})
	}
	d.conclude(x, s.id, show)
}

// reject reports to show why the submission s was not proposed, logs it and
// writes it to the audit trail.
func (d *Daemon) reject(x context.Context, s submission, err error, show func(progress)) {
	p := progress{step: stepRefused, err: withCode(err)}
	switch p.err.Code {
	case result.Unchanged:
		p.step = stepUnchanged
	case result.OutcomeUnknown, result.WriteUnknown, 0:
		p.step = stepUnknown
		p.err = result.Wrap(result.OutcomeUnknown, err, "change %s", s.id)
	}
	d.event(x, event.SubmissionRefused, slog.String("ChangeID", s.id), slog.String("Submitter", s.submitter), slog.String("Cause", err.Error()))
	show(p)
	d.putAudit(x, s.began, store.Audit{
		ChangeID:  s.id,
		Step:      p.step,
		Submitter: s.submitter,
		Reason:    s.reason,
		Problems:  []store.AuditProblem{{Code: p.err.Code, Text: err.Error()}},
	})
}

// withCode returns the error in err's chain that has a code. For the problems of
// a bundle it returns an error with the code of the first one and with the
// problems as its cause. Without either the code is 0.
func withCode(err error) *result.Error {
	var e *result.Error
	if p := problems(nil); errors.As(err, &p) {
		return result.Wrap(p[0].Code, p, "%d problems", len(p))
	}
	if errors.As(err, &e) {
		return e
	}
	return result.Wrap(0, err, "change not proposed")
}

// problems is the error of a bundle that fails the check. It is not empty.
type problems []site.Problem

// Error returns the first problem.
func (p problems) Error() string { return p[0].String() }

// Unwrap returns an error with the code of the first problem.
func (p problems) Unwrap() error { return result.New(p[0].Code, "%s", p[0].Text) }

// draft is a submission that passed the check and is being proposed.
type draft struct {
	submission
	data           []byte
	hash           string
	config         site.Configuration
	stored         bool   // whether the content is stored on the platform
	writeAttempted bool   // whether a write of the head was sent, whatever its outcome
	replaces       uint64 // number of the release that this change replaces
	replacesKnown  bool   // whether replaces is set
}

// propose checks the submission s and writes it into the head as the proposal.
// It retries for proposeTimeout while mayRetry allows it. The returned head has
// the proposal or, if the change was submitted before, possibly its outcome.
func (d *Daemon) propose(x context.Context, s submission) (change.Head, error) {
	f, p := site.Check(s.bundle, s.began)
	if len(p) > 0 {
		return change.Head{}, problems(p)
	}
	b, err := s.bundle.Encode()
	if err != nil {
		return change.Head{}, err
	}
	t := &draft{submission: s, data: b, hash: site.Hash(b), config: f, replaces: s.onNumber, replacesKnown: s.onNumber > 0}
	if _, err := d.addContent(x, t.hash, fetched{data: b}); err != nil {
		return change.Head{}, err
	}
	r := d.newRandom()
	var w time.Duration
	for {
		h, err := d.tryPropose(x, t)
		if err == nil || !mayRetry(err) {
			return h, err
		}
		if d.now().Sub(s.began) > proposeTimeout && !t.writeAttempted {
			return h, result.Wrap(result.PlatformUnavailable, err, "change not proposed within %s; nothing changed", proposeTimeout)
		}
		if d.now().Sub(s.began) > proposeTimeout {
			return h, result.Wrap(result.OutcomeUnknown, err, "proposal not confirmed within %s", proposeTimeout)
		}
		// A random wait prevents conflicting submissions from conflicting again.
		w = backoff(r, w, proposeBackoffMin, proposeBackoffMax)
		if !pause(x, w) {
			return h, result.Wrap(result.OutcomeUnknown, x.Err(), "change %s", s.id)
		}
	}
}

// mayRetry reports whether to read the head and try again after err: the write
// conflicted with another one, its outcome is unknown, or the platform did not
// take the call.
func mayRetry(err error) bool {
	switch result.CodeOf(err) {
	case result.VersionConflict, result.WriteUnknown, result.PlatformUnavailable, result.RateLimited:
		return true
	}
	return false
}

// tryPropose makes one attempt to write the draft t into the head as the
// proposal. It returns the head without a write if that has the proposal or the
// outcome of the change already. It returns Conflict if the release in force is
// not the one that the change replaces or another change is being staged, and
// Unchanged if the release in force has the same files.
func (d *Daemon) tryPropose(x context.Context, t *draft) (change.Head, error) {
	o, h, err := d.readHead(x)
	if err != nil {
		return h, err
	}
	if _, ok := h.Outcome(t.id); ok || h.Proposed.ChangeID == t.id {
		return h, nil
	}
	if !t.replacesKnown {
		t.replaces = h.InForce.Number
		t.replacesKnown = true
	}
	if h.InForce.Number != t.replaces {
		return h, result.New(result.Conflict, "version %d of change %s is in force, the submission is on version %d", h.InForce.Number, h.InForce.ChangeID, t.replaces)
	}
	if h.InForce.Content == t.hash {
		return h, result.New(result.Unchanged, "version %d has these files", h.InForce.Number)
	}
	p, err := d.proposal(x, t, h)
	if err != nil {
		return h, err
	}
	n, err := h.WithProposal(p, d.now())
	if err != nil {
		return h, err
	}
	if !t.stored {
		if _, err := store.PutContent(x, d.store, t.data); err != nil {
			return h, err
		}
		t.stored = true
	}
	t.writeAttempted = true
	return n, d.writeHead(x, o, n)
}

// fullConfiguration decodes the configuration of all sites from the content k.
// The configuration that a content keeps compiled is that of this site only.
func fullConfiguration(k *content, now time.Time) (site.Configuration, error) {
	b, err := site.DecodeBundle(k.data)
	if err != nil {
		return site.Configuration{}, result.Wrap(result.NotReady, err, "content %s", k.hash)
	}
	f, p := site.Check(b, now)
	if len(p) > 0 && p[0].Code != result.NoCommonBreak {
		return f, result.New(result.NotReady, "the files in force: %s", p[0])
	}
	return f, nil
}

// proposal returns the proposal of the draft t on the head h: with the sites that
// differ from the files in force, and a deadline within their break. It returns
// OutsideBreak if those sites are not all in a break.
func (d *Daemon) proposal(x context.Context, t *draft, h change.Head) (change.Proposal, error) {
	p := change.Proposal{
		Release:     change.Release{Content: t.hash, ChangeID: t.id},
		Submitter:   t.submitter,
		Reason:      t.reason,
		Coordinator: d.settings.Instance,
		ProposedAt:  t.began,
	}
	var f site.Configuration
	if h.InForce.Number > 0 {
		k, err := d.content(x, h.InForce.Content, "", nil)
		if err != nil {
			return p, result.Wrap(result.NotReady, err, "version %d cannot be read", h.InForce.Number)
		}
		if f, err = fullConfiguration(k, t.began); err != nil {
			return p, err
		}
	}
	for _, s := range f.Diff(t.config) {
		p.Sites = append(p.Sites, s.Site)
	}
	// The breaks of the files in force apply, so that a submission cannot add the
	// break that it needs.
	now := d.now()
	w := f.Window(p.Sites, now)
	if !w.Open {
		return p, result.New(result.OutsideBreak, "the next break starts %s", w.Next.Format(time.RFC3339))
	}
	p.Deadline = change.Deadline(now, time.Duration(d.settings.StageLimit), w.End)
	return p, nil
}
