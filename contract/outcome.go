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

	ServiceHeader = "Figwheel-Service"
	ReleaseHeader = "Figwheel-Release"
	OnceHeader    = "Figwheel-Once"
	LoadHeader    = "Figwheel-Load"

	HeaderPrefix = "Figwheel-"
)

// Status returns the HTTP status for a call that failed with the code.
func Status(c result.Code) int {
	switch c {
	case result.NoRoute:
		return http.StatusNotFound
	case result.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case result.ConnectFailed, result.AnswerLost, result.AnswerCut:
		return http.StatusBadGateway
	case result.TooDeep:
		return http.StatusLoopDetected
	case result.BadDeadline:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
