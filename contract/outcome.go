package contract

import (
	"net/http"

	"figwheel/result"
)

// Outcome is the statement to a caller on whether its request ran.
type Outcome int

// The zero value, Unknown, states that the request may or may not have run.
const (
	Unknown Outcome = iota
	NotRun
	Run
)

// String returns the outcome as written in the outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Run:
		return "run"
	}
	return "unknown"
}

// ParseOutcome returns the outcome for the value of an outcome header, or
// Unknown for any other text.
func ParseOutcome(s string) Outcome {
	switch s {
	case "not-run":
		return NotRun
	case "run":
		return Run
	}
	return Unknown
}

// Names of headers. The first group belongs to calls: services that call other
// services forward these headers. The second group is exchanged between daemons
// only.
const (
	VersionHeader  = "Figwheel-Version"
	OutcomeHeader  = "Figwheel-Outcome"
	CodeHeader     = "Figwheel-Code"
	DeadlineHeader = "Figwheel-Deadline-Ms"
	DepthHeader    = "Figwheel-Depth"
	ExchangeHeader = "Figwheel-Exchange"
	// A caller names its client account by a key. The worker, and the daemon beside
	// it, receive the name of the account.
	AccountKeyHeader = "Figwheel-Account-Key"
	AccountHeader    = "Figwheel-Account"
	// A worker states these in its answers.
	RateLimitHeader = "Figwheel-Rate-Limit"
	LeavingHeader   = "Figwheel-Leaving"

	ServiceHeader = "Figwheel-Service"
	ReleaseHeader = "Figwheel-Release"
	LoadHeader    = "Figwheel-Load"
	AgeHeader     = "Figwheel-Age-Ms" // age of the newest confirmation that no newer release is accepted
	QueueHeader   = "Figwheel-Queue"  // for how long the request may be queued, in milliseconds, after "no" if it must not be before its body was sent: another daemon may have a free slot
	RankHeader    = "Figwheel-Rank"
	GoalHeader    = "Figwheel-Goal-Ms" // remaining time to the latency target
	KindHeader    = "Figwheel-Kind"    // name of the route, whose requests have similar service times
	OriginHeader  = "Figwheel-Origin"
	CrashesHeader = "Figwheel-Crashes" // number of workers that received the request before and did not answer

	HeaderPrefix = "Figwheel-"
)

// Status returns the HTTP status for a call that failed with the code c and the
// outcome o. Statuses 429 and 503 guarantee that the request was not run and will
// not be; a request that may have run gets 502 or 504, which guarantee nothing.
func Status(c result.Code, o Outcome) int {
	switch c {
	case result.NoRoute:
		return http.StatusNotFound
	case result.TooDeep:
		return http.StatusLoopDetected
	case result.BadDeadline:
		return http.StatusBadRequest
	case result.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.UnknownAccount:
		return http.StatusUnauthorized
	case result.QuotaExceeded:
		return http.StatusTooManyRequests
	}
	switch {
	case o == NotRun:
		return http.StatusServiceUnavailable
	case c == result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// ReachedWorker reports whether a request that failed with the code c and the
// outcome o was sent to a worker. If it was, the attempt counts against the
// limit of the route.
func ReachedWorker(c result.Code, o Outcome) bool {
	return o != NotRun || c == result.WorkerRefused || c == result.WrongInstance
}
