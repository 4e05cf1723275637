package contract

// Headers are the names of the headers that callers and workers know. A name
// that is empty is not used. Between daemons figwheel uses its own names.
type Headers struct {
	RequestID string // of one attempt of a caller; workers echo it
	Deadline  string // milliseconds that the sender will wait
	Seal      string // by which a worker proves that an answer is its own
	Origin    string // service of the worker beside which a request began
	Target    string // id of the only worker that may run the request
	NotRun    string // set in an answer: the worker did not run the request
	Exchange  string // of one request on one connection, where there is no RequestID; workers may echo it
}

// OwnHeaders are those of figwheel's own interface.
func OwnHeaders() Headers { return Headers{Deadline: DeadlineHeader, Exchange: ExchangeHeader} }

// Passes tells whether a header that starts with HeaderPrefix goes on to the
// worker or back to the caller as it is.
func (h Headers) Passes(name string) bool {
	return name == h.RequestID || name == h.Seal
}
