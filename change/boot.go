package change

// bootAnswersMin is how many peers must answer a daemon that starts without
// the platform. With fewer other live daemons, all of them must answer.
const bootAnswersMin = 3

// MayServe reports whether a daemon that serves nothing yet may activate the
// release that it takes to be in force. It may if fromPlatform is true: the
// platform has reported the release in force. Otherwise enough of the live
// peers must have answered, and the head h must hold no proposal. Every live
// daemon stages a release before it can be accepted, so the peers know a
// release that this instance may have served before its restart at least as a
// proposal. An open proposal may already have been accepted, and serving the
// release before it would then go back to an older version.
func MayServe(fromPlatform bool, h Head, answers, peers int) bool {
	if fromPlatform {
		return true
	}
	return !h.HasProposal() && answers > 0 && answers >= min(bootAnswersMin, peers)
}
