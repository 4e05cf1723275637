package change

// bootAnswers is how many peers a booting daemon asks before it believes them
// without the platform.
const bootAnswers = 3

// MayServe tells whether a daemon that serves nothing yet may activate what it
// was told is in force. The platform's word is enough. Without it the peers
// must agree on a settled state: every live daemon stages a release before it
// can be accepted, so a release that this address may have served before it
// was restarted is known to its peers at least as proposed. A proposal that
// they hold open may have been accepted, and serving the release before it
// would go back.
func MayServe(platform bool, h Head, answers, others int) bool {
	if platform {
		return true
	}
	return !h.HasProposal() && answers > 0 && answers >= min(bootAnswers, others)
}
