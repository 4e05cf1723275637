package change

// Known is what one daemon knows of the head. It only ever moves on: heads have
// one order, so late, repeated and crossed news changes nothing.
type Known struct {
	Head   Head
	Target Release // the newest release known to be accepted
}

// WithHead returns what is known after news of the head h, and whether it was
// news.
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

// WithSeen returns what is known after another daemon was seen to serve the
// content under that number. Daemons serve nothing that was not accepted, so
// the proposal that is known here was, if it is that one. Anything else is not
// trusted: it may be from a daemon that is ahead, or forged.
func (k Known) WithSeen(number uint64, content string) (Known, bool) {
	p := k.Head.Proposed.Release
	if p.Number != number || p.Content != content || number <= k.Target.Number {
		return k, false
	}
	k.Target = p
	return k, true
}

// Needs tells whether the content is still to be staged or, above the number
// that is served, to be activated.
func (k Known) Needs(content string, serving uint64) bool {
	return content == k.Target.Content && k.Target.Number > serving || k.Head.HasProposal() && content == k.Head.Proposed.Content
}

// Keeps tells whether the content may still be asked for.
func (k Known) Keeps(content string) bool {
	return content == k.Target.Content || content == k.Head.InForce.Content || content == k.Head.Proposed.Content
}
