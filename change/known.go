package change

// Known is one daemon's knowledge of the head. It never goes back: heads are
// totally ordered, so delayed, repeated and reordered heads change nothing.
type Known struct {
	Head   Head
	Target Release // the newest release known to be accepted
}

// WithHead returns k updated with the head h, and whether h is newer than the
// head in k.
func (k Known) WithHead(h Head) (Known, bool) {
	if h.Sequence <= k.Head.Sequence {
		return k, false
	}
	k.Head = h
	if h.InForce.Number > k.Target.Number {
		k.Target = h.InForce
	}
	return k, true
}

// WithServed returns k updated with the observation that another daemon serves
// the content under the number, and whether that changed k. Daemons serve only
// accepted releases, so if the proposal in k has this number and content, it
// has been accepted. Any other release is ignored: it may come from a daemon
// that is ahead, or be forged.
func (k Known) WithServed(number uint64, content string) (Known, bool) {
	p := k.Head.Proposed.Release
	if p.Number != number || p.Content != content || number <= k.Target.Number {
		return k, false
	}
	k.Target = p
	return k, true
}

// Needs reports whether a daemon that serves the release number serving still
// needs the content: to activate it, if it is that of a newer accepted release,
// or to stage it, if it is that of the proposal.
func (k Known) Needs(content string, serving uint64) bool {
	return content == k.Target.Content && k.Target.Number > serving || k.Head.HasProposal() && content == k.Head.Proposed.Content
}

// References reports whether k refers to the content as that of the target, the
// release in force or the proposal. Such a content has to be kept because peers
// may still fetch it.
func (k Known) References(content string) bool {
	return content == k.Target.Content || content == k.Head.InForce.Content || content == k.Head.Proposed.Content
}
