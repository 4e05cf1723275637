package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"figwheel/contract"
	"figwheel/result"
)

// Hop describes where and how a request is sent next.
type Hop struct {
	Transport http.RoundTripper
	Address   string // host and port
	Daemon    bool   // whether the address is that of a daemon, whose Figwheel headers are evaluated
	Headers   contract.Headers
	Set       []Field // headers to add to the request
	Exchange  string  // id by which the response is matched to the request, see contract.Headers; may be empty
	// Echoes says whether responses from the address carry their exchange ids.
	// While it is not set, each request uses a connection of its own, so that a
	// late second copy of its response is not taken for that of another request.
	// It may be nil if Exchange is empty.
	Echoes *atomic.Bool

	// HoldBack says whether a response without a length is buffered before any of
	// it is forwarded, until it is complete or the buffer is full. A response whose
	// length fits the buffer always is.
	HoldBack bool
	// Before is called with the response headers before they are sent; may be nil.
	Before func(h http.Header)
	// BeforePart is called before each part of the response body is sent, whose size is at
	// most partBytesMax. It has n bytes, of rest that are still to be sent, which is -1 if
	// their number is not known. The
	// function may wait for its turn on a link; if it returns a code other than 0, the
	// response ends. It may be nil.
	BeforePart func(n int, rest int64) result.Code
	// CancelIfLeft cancels the context of the request if its sender has disconnected. It
	// is called before a body is sent for which a daemon has asked; may be nil.
	CancelIfLeft func()
	// Now returns the present time for Result.HeadAt; may be nil.
	Now func() time.Time
}

// Field is a header that a hop adds to the request.
type Field struct{ Name, Value string }

// Result is the result of a hop. When Begun is set, the response to the caller has
// been started, and nothing else may be written to it.
type Result struct {
	Outcome contract.Outcome
	Code    result.Code // 0 if the response was forwarded completely
	Text    string
	Status  int // HTTP status of the forwarded response or of a daemon's refusal, otherwise 0
	Begun   bool
	Release string          // release header of a daemon's response
	Load    string          // load header of a daemon's response
	Notice  contract.Notice // what the worker stated in its answer; empty if a daemon answered
	Age     string          // age header of a daemon's response: age of the newest confirmation of its release, in milliseconds
	Stage   Stage           // at which the request ended; empty before the first
	InStage time.Duration   // for which the request was at that stage
	// HeadAt is when the head of the response arrived. It is zero if the request
	// spent further round trips on a new connection or on leave to send its body.
	HeadAt time.Time
}

// OK reports whether the response was forwarded completely.
func (r Result) OK() bool { return r.Code == 0 }

// NotRun returns the result of a request that was provably not run.
func NotRun(c result.Code, text string) Result {
	return Result{Outcome: contract.NotRun, Code: c, Text: text}
}

// unknown returns the result of a request that may have run.
func unknown(c result.Code, text string) Result {
	return Result{Code: c, Text: text}
}

// partBytesMax is the size, in bytes, of the parts of a response for which BeforePart is
// called. A thin link is busy with one for some 10 ms.
const partBytesMax = 16 << 10

// staleConnsMax bounds the idle connections to an address that may turn out to be
// closed before a request fails. They are all closed at once when the other side
// restarts.
const staleConnsMax = 8

// Do sends r with the body b and forwards the response to w. It forwards nothing of
// a response that says that the request was not run, that ends early while it is
// buffered, or that does not belong to this request: the caller of Do may then make
// another attempt.
func (h Hop) Do(x context.Context, w http.ResponseWriter, r *http.Request, b *Body) Result {
	var f Result
	refusedConns := 0
	for staleConns := 0; staleConns < staleConnsMax; {
		s := connTrace{refusedConns: refusedConns}
		var stale bool
		if f, stale = h.doOnce(x, w, r, b, &s); !stale || x.Err() != nil {
			return f
		}
		refusedConns = s.refusedConns
		if !s.passedOver {
			staleConns++ // a connection that was passed over tells nothing about the address
		}
	}
	return f
}

// doOnce is Do on one connection, which s tracks. It also returns whether that was a
// reused connection that failed before anything was written to it, which does not
// show whether the address takes requests.
func (h Hop) doOnce(x context.Context, w http.ResponseWriter, r *http.Request, b *Body, s *connTrace) (_ Result, stale bool) {
	d, stop := b.newAttempt()
	defer stop()
	d = filterTrailer(d, r.Trailer, h.Headers)
	if n := h.Headers.RequestID; n != "" && !h.Daemon {
		s.requestID = r.Header.Get(n)
	}
	q := h.request(s.withTrace(x), r, d, b.length)
	defer s.cancel(nil)
	if h.Daemon && b.isLarge() {
		q.Header["Expect"] = []string{"100-continue"}
		if cancel := h.CancelIfLeft; cancel != nil {
			q.Body = &checkedBody{ReadCloser: d, check: func() error {
				cancel()
				return x.Err()
			}}
		}
	}
	p, err := h.Transport.RoundTrip(q)
	if err != nil {
		unsent := s.unsent() // also blocks further writes on the connection
		f := transportFailure(x, err, unsent || h.Daemon && b.Withheld())
		if f.Code == result.WrongAnswer {
			s.retire()
		}
		return f, f.Outcome == contract.NotRun && s.reused && b.Replayable()
	}
	defer func() { _ = p.Body.Close() }()
	var t time.Time
	if h.Now != nil && s.reused && !b.isLarge() {
		t = h.Now()
	}
	defer s.forget()
	f := h.handleResponse(w, r, p, b, s)
	if f.Code == result.WrongAnswer {
		s.retire()
	}
	f.HeadAt = t
	return f, false
}

// handleResponse forwards the response p to w, or returns why it must not be
// forwarded.
func (h Hop) handleResponse(w http.ResponseWriter, r *http.Request, p *http.Response, b *Body, s *connTrace) Result {
	if o := headFault(p); o != "" {
		// The bytes answer no request that is sent here, whatever the headers say.
		return unknown(result.WrongAnswer, o)
	}
	if p.ProtoMinor == 0 && s.conn != nil && s.conn.coding.hasCoding.Load() {
		return unknown(result.WrongAnswer, "the answer is one of HTTP/1.0 and has a transfer coding")
	}
	f := Result{Outcome: contract.Run, Status: p.StatusCode}
	if h.Daemon {
		f.Release = p.Header.Get(contract.ReleaseHeader)
		f.Load = p.Header.Get(contract.LoadHeader)
		f.Age = p.Header.Get(contract.AgeHeader)
		if c := p.Header.Get(contract.CodeHeader); c != "" {
			f.Outcome = contract.ParseOutcome(p.Header.Get(contract.OutcomeHeader))
			f.Code = parseCode(c)
			f.Text = "the daemon beside the upstream answered " + c
			return f
		}
		if v := h.checkProof(r, p); !v.OK() {
			return v
		}
	} else {
		v := h.checkWorker(r, p, s)
		if v.OK() || v.Code == result.WorkerRefused {
			v.Notice = h.Headers.Notice(p.Header)
		}
		if v.Outcome == contract.NotRun {
			discardBody(p)
		}
		if !v.OK() {
			return v
		}
		f.Notice = v.Notice
	}
	k := bufferPool.Get().(*[bufferBytes]byte)
	defer bufferPool.Put(k)
	var n int
	var err error
	if h.shouldBuffer(p) {
		var complete bool
		n, complete, err = fillBuffer(p.Body, k[:])
		if err != nil {
			return unknown(result.AnswerLost, "the answer broke off: "+err.Error())
		}
		if complete && p.ContentLength < 0 && len(p.Trailer) == 0 && r.Method != http.MethodHead {
			p.ContentLength = int64(n) // the response is complete, so its length is now known
			p.Header.Set("Content-Length", strconv.Itoa(n))
		}
	} else if n, err = p.Body.Read(k[:]); n == 0 && err != nil && !errors.Is(err, io.EOF) {
		return unknown(result.AnswerLost, "the answer broke off: "+err.Error())
	}
	if o := trailerFault(p.Trailer); o != "" {
		return unknown(result.WrongAnswer, o) // the trailer of a short body has arrived with it
	}
	if c := h.beforePart(min(n, partBytesMax), restOf(r, p)); c != 0 {
		return unknown(c, "the answer was not sent: "+c.Name())
	}
	f.Begun = true
	if h.Before != nil {
		h.Before(w.Header())
	}
	if b.Unfinished() {
		w.Header().Set("Connection", "close")
	}
	if err := h.forward(w, p, k, n, err); err != nil {
		f.Code = result.AnswerCut
		f.Text = err.Error()
	}
	return f
}

// beforePart calls BeforePart for n bytes if there are any.
func (h Hop) beforePart(n int, rest int64) result.Code {
	if h.BeforePart == nil || n == 0 {
		return 0
	}
	return h.BeforePart(n, rest)
}

// restOf returns the length of the body of the response p to r, -1 if it is unknown.
func restOf(r *http.Request, p *http.Response) int64 {
	if r.Method == http.MethodHead {
		return 0
	}
	return p.ContentLength
}

// fillBuffer reads from r until b is full or r ends. It returns the number of bytes
// read and whether r ended.
func fillBuffer(r io.Reader, b []byte) (n int, complete bool, err error) {
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// shouldBuffer reports whether to buffer the response before any of it is forwarded.
func (h Hop) shouldBuffer(p *http.Response) bool {
	if p.ContentLength < 0 {
		return h.HoldBack
	}
	return p.ContentLength <= bufferBytes
}

// checkWorker returns a zero Result if p is the worker's response to r and may be
// forwarded, and otherwise the result of the hop. Only a refusal that s proves to be of
// r shows that r was not run.
func (h Hop) checkWorker(r *http.Request, p *http.Response, s *connTrace) Result {
	n := h.Headers
	if n.RequestID == "" {
		return h.checkExchange(p)
	}
	id := p.Header.Get(n.RequestID)
	notRun := p.Header.Get(n.NotRun) != ""
	misdirected := p.StatusCode == http.StatusMisdirectedRequest
	switch {
	case id != "" && id != r.Header.Get(n.RequestID):
		return unknown(result.WrongAnswer, "the answer is to the request "+id)
	case (misdirected || notRun) && !s.proveRefusal(id):
		return unknown(result.WrongAnswer, "the refusal "+strconv.Itoa(p.StatusCode)+" may be of an earlier request")
	case misdirected:
		return NotRun(result.WrongInstance, "another worker has the address")
	case notRun:
		return NotRun(result.WorkerRefused, "the worker answered "+strconv.Itoa(p.StatusCode)+" and did not run it")
	}
	return h.checkProof(r, p)
}

// checkProof returns a zero Result if the headers of p prove that it is a worker's
// response to r, which is not encoded. Of the responses of a daemon all but its own
// failures have that proof.
func (h Hop) checkProof(r *http.Request, p *http.Response) Result {
	n := h.Headers
	if n.RequestID == "" {
		return Result{}
	}
	switch id := p.Header.Get(n.RequestID); {
	case id != "" && id != r.Header.Get(n.RequestID):
		return unknown(result.WrongAnswer, "the answer is to the request "+id)
	case id == "" || p.Header.Get(n.Seal) == "":
		return unknown(result.WrongAnswer, "the answer "+strconv.Itoa(p.StatusCode)+" bears no proof of the worker")
	case p.Header.Get("Content-Encoding") != "":
		return unknown(result.WrongAnswer, "the answer is encoded, which the caller did not ask for")
	}
	return Result{}
}

// checkExchange is checkWorker for requests that have no request id: it compares
// the exchange id.
func (h Hop) checkExchange(p *http.Response) Result {
	if h.Exchange == "" {
		return Result{}
	}
	e := p.Header.Get(h.Headers.Exchange)
	switch {
	case e == h.Exchange:
		h.Echoes.Store(true)
	case e != "":
		return unknown(result.WrongAnswer, "the answer is to the exchange "+e)
	case h.Echoes.Swap(false): // another worker, which does not echo the id, may have taken over the address
		return unknown(result.WrongAnswer, "the answer names no exchange, as earlier ones did")
	}
	return Result{}
}

// request returns the request to send: r with the body d of the given length, -1 if
// unknown, and the headers of the hop.
func (h Hop) request(x context.Context, r *http.Request, d io.ReadCloser, length int64) *http.Request {
	q := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: h.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Header:        make(http.Header, len(r.Header)+len(h.Set)),
		Host:          r.Host,
		Body:          d,
		ContentLength: length,
		Trailer:       r.Trailer,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if length < 0 {
		// Otherwise net/http reads of the body, for some methods, before it is asked for.
		q.TransferEncoding = []string{"chunked"}
	}
	copyHeader(q.Header, r.Header, h.Headers)
	if _, ok := q.Header["User-Agent"]; !ok {
		q.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	if h.Exchange != "" {
		q.Close = !h.Echoes.Load()
		q.Header[h.Headers.Exchange] = []string{h.Exchange}
	}
	for _, f := range h.Set {
		q.Header[f.Name] = []string{f.Value}
	}
	return q.WithContext(x)
}

// transportFailure returns the result of a hop that failed without a response. If
// notRun is set, it is proved that the request was not run.
func transportFailure(x context.Context, err error, notRun bool) Result {
	f := unknown(result.AnswerLost, err.Error())
	if c := result.CodeOf(err); c == result.WrongAnswer {
		f.Code = c
	}
	if notRun {
		f.Outcome = contract.NotRun
		f.Code = result.ConnectFailed
	}
	switch {
	case errors.Is(x.Err(), context.DeadlineExceeded):
		f.Code = result.DeadlineExceeded
	case x.Err() != nil:
		f.Code = result.CallerGone
	}
	return f
}

// forward copies the response p to w. The first n bytes of the body are already in
// k, and err is the error of their read. An error means that the response is
// incomplete: the caller of Do has to close the connection, since the status has been
// sent.
func (h Hop) forward(w http.ResponseWriter, p *http.Response, k *[bufferBytes]byte, n int, err error) error {
	copyHeader(w.Header(), p.Header, h.Headers)
	for t := range p.Trailer {
		w.Header().Add("Trailer", t)
	}
	w.WriteHeader(p.StatusCode)
	if err := h.copyBody(w, p, k, n, err); err != nil {
		return err
	}
	if o := trailerFault(p.Trailer); o != "" {
		return result.New(result.WrongAnswer, "%s", o)
	}
	for t, v := range p.Trailer {
		w.Header()[http.TrailerPrefix+t] = v
	}
	return nil
}

// bufferBytes bounds the part of a response that is buffered, in bytes.
const bufferBytes = 32 << 10

var bufferPool = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// copyBody copies the body of p to w, of which the first n bytes are already in k, and
// err is the error of their read. BeforePart has been called for the first part. It flushes a body of unknown length as it arrives,
// since its sender may wait for the caller to react to it. The head of a response is
// flushed with the first bytes: what it says of the time is of their arrival.
func (h Hop) copyBody(w http.ResponseWriter, p *http.Response, k *[bufferBytes]byte, n int, err error) error {
	c := http.NewResponseController(w)
	sent, isPassed := int64(0), n > 0
	for {
		for b := k[:n]; len(b) > 0; {
			m := len(b)
			if h.BeforePart != nil {
				m = min(m, partBytesMax)
			}
			if !isPassed {
				if c := h.beforePart(m, max(-1, p.ContentLength-sent)); c != 0 {
					return result.New(c, "the rest of the answer was not sent")
				}
			}
			isPassed = false
			if _, err := w.Write(b[:m]); err != nil {
				return err
			}
			if p.ContentLength < 0 || sent == 0 && int64(m) < p.ContentLength {
				if err := c.Flush(); err != nil {
					return err
				}
			}
			sent += int64(m)
			b = b[m:]
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		n, err = p.Body.Read(k[:])
	}
}

// isHopByHop reports whether the header k applies to one connection only.
func isHopByHop(k string) bool {
	switch k {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization", "Expect":
		return true
	}
	return false
}

// copyHeader copies the end-to-end headers. It leaves out the hop-by-hop headers,
// also those named in the Connection header, and those that names does not let pass:
// figwheel's own, and a caller's key and claim of a client account.
func copyHeader(to, from http.Header, names contract.Headers) {
	var drop []string
	for _, v := range from["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	for k, v := range from {
		if !names.IsForwarded(k) || isHopByHop(k) || slices.Contains(drop, k) {
			continue
		}
		to[k] = v
	}
}

// parseCode parses the code header of a daemon. A malformed one gives
// result.AnswerLost, since 0 would stand for a complete response.
func parseCode(s string) result.Code {
	n, err := strconv.ParseUint(strings.TrimPrefix(s, "FW"), 10, 16)
	if err != nil || n == 0 {
		return result.AnswerLost
	}
	return result.Code(n)
}
