package caller

import (
	"time"

	"figwheel/hop"
	"figwheel/link"
)

// transitTime returns the time that a request to k and the head of its answer are
// expected to spend on the way, 0 if it is unknown.
func transitTime(k *link.Candidate, now time.Time) time.Duration {
	if k.Local {
		return 0
	}
	return k.Peer.Transit.Estimate(now)
}

// observeTransit records the transit time of a request that was sent to k at the
// time sent and has the result f.
func observeTransit(k *link.Candidate, f hop.Result, sent time.Time) {
	l, ok := link.ParseLoad(f.Load)
	if !ok || l.Took == 0 || f.HeadAt.IsZero() {
		return
	}
	k.Peer.Transit.Observe(f.HeadAt.Sub(sent)-l.Took, f.HeadAt)
}
