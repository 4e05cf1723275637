package contract

import (
	"math"
	"net/http"
	"strconv"

	"figwheel/result"
)

// Notice holds what a worker states about itself in an answer, as the values of
// the headers, empty for those that are missing.
type Notice struct {
	RateLimit string // requests per second that the worker takes from all daemons together
	Leaving   string
}

// Notice returns the notice in the headers a of a worker's answer.
func (h Headers) Notice(a http.Header) Notice {
	return Notice{RateLimit: a.Get(h.RateLimit), Leaving: a.Get(h.Leaving)}
}

// IsLeaving reports whether the worker is about to end and takes no new requests.
func (n Notice) IsLeaving() bool { return n.Leaving != "" && n.Leaving != "0" }

// RequestsPerSecond returns the rate limit and whether the worker has one. If its
// text is not a number that is at least 0, the error has the code BadNotice.
func (n Notice) RequestsPerSecond() (limit float64, limited bool, err error) {
	if n.RateLimit == "" {
		return 0, false, nil
	}
	l, err := strconv.ParseFloat(n.RateLimit, 64)
	if err != nil || l < 0 || math.IsNaN(l) || math.IsInf(l, 0) {
		return 0, false, result.New(result.BadNotice, "rate limit %q is not a number of requests per second", n.RateLimit)
	}
	return l, true, nil
}
