package contract

import (
	"net/http"

	"figwheel/result"
)

// Outcome is what a caller is told about whether its request ran.
type Outcome int

// The outcomes. The zero value is the one that promises nothing.
const (
	Unknown Outcome = iota
	NotRun
	Run
)

// String returns the outcome as it stands in the header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Run:
		return "run"
	}
	return "unknown"
}

// ParseOutcome reads a header; anything unexpected is Unknown.
func ParseOutcome(s string) Outcome {
	switch s {
	case "not-run":
		return NotRun
	case "run":
		return Run
	}
	return Unknown
}

// Names of headers. Those of a call are passed on by services that call
// others; those of a link go between daemons only.
const (
	VersionHeader  = "Figwheel-Version"
	OutcomeHeader  = "Figwheel-Outcome"
	CodeHeader     = "Figwheel-Code"
	DeadlineHeader = "Figwheel-Deadline-Ms"
	DepthHeader    = "Figwheel-Depth"
	ExchangeHeader = "Figwheel-Exchange"

	ServiceHeader = "Figwheel-Service"
	ReleaseHeader = "Figwheel-Release"
	LoadHeader    = "Figwheel-Load"
	AgeHeader     = "Figwheel-Age-Ms" // of the newest confirmation that no newer release is accepted
	QueueHeader   = "Figwheel-Queue"  // no, if another daemon may have a free slot
	RankHeader    = "Figwheel-Rank"
	GoalHeader    = "Figwheel-Goal-Ms" // time left in which an answer is worth most
	KindHeader    = "Figwheel-Kind"    // of requests that take about the same time: the route
	OriginHeader  = "Figwheel-Origin"
	CrashesHeader = "Figwheel-Crashes" // workers that it was sent to before and that did not answer

	HeaderPrefix = "Figwheel-"
)

// Status returns the HTTP status for a call that failed with the code. A 503
// is a promise that the request was not run and will not be; what may have run
// gets a status that promises nothing.
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
	}
	switch {
	case o == NotRun:
		return http.StatusServiceUnavailable
	case c == result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Reached tells whether a request that failed with the code was sent to a
// worker, which then counts as one of its attempts.
func Reached(c result.Code, o Outcome) bool {
	return o != NotRun || c == result.WorkerRefused || c == result.WrongInstance
}
