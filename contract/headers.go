package contract

import "strings"

// Headers are the names of the headers that are exchanged with callers and
// workers, in canonical form. An empty name means that the header is not used.
// Between daemons, figwheel uses its own names.
type Headers struct {
	RequestID string // id of one attempt of a caller; workers echo it
	Deadline  string // time that the sender waits for the answer, in milliseconds
	Seal      string // proof of a worker that it produced the answer
	Origin    string // service of the worker whose daemon received the request from its caller
	Target    string // id of the only worker that may run the request
	NotRun    string // present in an answer if the worker did not run the request
	RateLimit string // rate limit of the worker in requests per second, in its answers while it has one
	Leaving   string // present in the answers of a worker that is about to end
	Exchange  string // id of one request to the worker where RequestID is not used; workers may echo it
	Key       string // key of the caller's client account, which no worker and no other daemon receives
	Account   string // name of the caller's client account, which the worker receives
}

// OwnHeaders returns the names of the headers of figwheel's own interface.
func OwnHeaders() Headers {
	return Headers{Deadline: DeadlineHeader, Exchange: ExchangeHeader, RateLimit: RateLimitHeader, Leaving: LeavingHeader, Key: AccountKeyHeader, Account: AccountHeader}
}

// IsForwarded reports whether the header with the canonical name is forwarded
// unchanged to the worker or back to the caller, as far as its name decides that.
func (h Headers) IsForwarded(name string) bool {
	switch name {
	case h.RequestID, h.Seal:
		return true
	case h.Key, h.Account:
		return false
	}
	return !strings.HasPrefix(name, HeaderPrefix)
}
