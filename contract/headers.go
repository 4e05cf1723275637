package contract

// Headers are the names of the headers that are exchanged with callers and
// workers. An empty name means that the header is not used. Between daemons,
// figwheel uses its own names.
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
}

// OwnHeaders returns the names of the headers of figwheel's own interface.
func OwnHeaders() Headers {
	return Headers{Deadline: DeadlineHeader, Exchange: ExchangeHeader, RateLimit: RateLimitHeader, Leaving: LeavingHeader}
}

// IsForwarded reports whether the named header, which starts with HeaderPrefix,
// is forwarded unchanged to the worker or back to the caller.
func (h Headers) IsForwarded(name string) bool {
	return name == h.RequestID || name == h.Seal
}
