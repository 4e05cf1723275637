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

	"figwheel/contract"
	"figwheel/result"
)

// Hop is where a request goes next.
type Hop struct {
	Transport http.RoundTripper
	Address   string // host and port
	Daemon    bool   // the next one is a daemon, whose Figwheel headers count
	Headers   contract.Headers
	Set       []Field
	Exchange  string // that identifies the answer; see contract.Headers
	// Echoes tells whether answers of the address name their exchange. Until one
	// has, each request has a connection of its own: a late second copy of its
	// answer then meets no other request. May be nil without an Exchange.
	Echoes *atomic.Bool

	// HoldBack keeps an answer without a length back until it is whole, as far
	// as it fits a buffer. Answers with a length that fits always are.
	HoldBack bool
	// Before is called with the headers before an answer is begun; may be nil.
	Before func(h http.Header)
}

// Field is a header that the hop adds.
type Field struct{ Name, Value string }

// Result is how a hop ended. When Begun is set the answer has been started
// and nothing else may be written.
type Result struct {
	Outcome contract.Outcome
	Code    result.Code // 0 for a whole answer
	Text    string
	Status  int // of the answer that was passed on, 0 if there is none
	Begun   bool
	Release string // of the daemon that answered
	Load    string // of the daemon that answered
	Age     string // of that release's confirmation, as it told
}

// OK tells whether the answer was passed on whole.
func (r Result) OK() bool { return r.Code == 0 }

// NotRun returns the result of a request that was not sent.
func NotRun(c result.Code, text string) Result {
	return Result{Outcome: contract.NotRun, Code: c, Text: text}
}

// unknown returns the result of a request that may have run.
func unknown(c result.Code, text string) Result {
	return Result{Code: c, Text: text}
}

// staleMax bounds how many kept connections of an address may turn out closed
// before a request is given up; they close together when their owner restarts.
const staleMax = 8

// Do sends r with the body b and passes the answer to w. An answer by which
// the next one says that it did not run the request is not passed on, nor is
// one that breaks off while it is held back, nor one that is not the answer to
// this request: the caller of Do may then try again.
func (h Hop) Do(x context.Context, w http.ResponseWriter, r *http.Request, b *Body) Result {
	var f Result
	for range staleMax {
		var stale bool
		if f, stale = h.once(x, w, r, b); !stale || x.Err() != nil {
			return f
		}
	}
	return f
}

// once is Do on one connection. It tells whether that was a kept one that was
// closed before anything was written to it, which says nothing about whether
// the address takes requests.
func (h Hop) once(x context.Context, w http.ResponseWriter, r *http.Request, b *Body) (_ Result, stale bool) {
	d, stop := b.attempt()
	defer stop()
	var s sent
	q := h.request(s.trace(x), r, d, b.length)
	if h.Daemon && b.large() {
		q.Header["Expect"] = []string{"100-continue"}
	}
	p, err := h.Transport.RoundTrip(q)
	if err != nil {
		nothing := s.nothing() // also keeps the connection from sending more
		f := broken(x, err, nothing || h.Daemon && b.heldBack())
		return f, f.Outcome == contract.NotRun && s.reused && b.Replayable()
	}
	defer func() { _ = p.Body.Close() }()
	f := h.answered(w, r, p, b)
	if f.Code == result.WrongAnswer {
		s.retire()
	}
	return f, false
}

// answered passes the answer p on or tells why it must not be.
func (h Hop) answered(w http.ResponseWriter, r *http.Request, p *http.Response, b *Body) Result {
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
	} else if v := h.verdict(r, p); !v.OK() {
		return v
	}
	k := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(k)
	n := 0
	if h.holds(p) {
		var whole bool
		var err error
		n, whole, err = fill(p.Body, k[:])
		if err != nil {
			return unknown(result.AnswerLost, "the answer broke off: "+err.Error())
		}
		if whole && p.ContentLength < 0 && len(p.Trailer) == 0 {
			p.ContentLength = int64(n) // it is whole, and its length is now known
			p.Header.Set("Content-Length", strconv.Itoa(n))
		}
	}
	f.Begun = true
	if h.Before != nil {
		h.Before(w.Header())
	}
	if b.Unfinished() {
		w.Header().Set("Connection", "close")
	}
	if err := pass(w, p, h.Headers, k, n); err != nil {
		f.Code = result.AnswerCut
		f.Text = err.Error()
	}
	return f
}

// fill reads r into b and tells whether that was all of it.
func fill(r io.Reader, b []byte) (n int, whole bool, err error) {
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

// holds tells whether to read the answer before any of it is passed on.
func (h Hop) holds(p *http.Response) bool {
	if p.ContentLength < 0 {
		return h.HoldBack
	}
	return p.ContentLength <= bufferBytes
}

// verdict tells whether p is the worker's answer to r that a caller may see.
func (h Hop) verdict(r *http.Request, p *http.Response) Result {
	n := h.Headers
	if n.RequestID == "" {
		return h.exchangeVerdict(p)
	}
	id := p.Header.Get(n.RequestID)
	notRun := p.Header.Get(n.NotRun) != ""
	switch {
	case id != "" && id != r.Header.Get(n.RequestID):
		return unknown(result.WrongAnswer, "the answer is to the request "+id)
	case p.StatusCode == http.StatusMisdirectedRequest:
		return NotRun(result.WrongInstance, "another worker has the address")
	case notRun:
		return NotRun(result.WorkerRefused, "the worker answered "+strconv.Itoa(p.StatusCode)+" and did not run it")
	case id == "" || p.Header.Get(n.Seal) == "":
		return unknown(result.WrongAnswer, "the answer "+strconv.Itoa(p.StatusCode)+" bears no proof of the worker")
	case p.Header.Get("Content-Encoding") != "":
		return unknown(result.WrongAnswer, "the answer is encoded, which the caller did not ask for")
	}
	return Result{}
}

// exchangeVerdict is verdict where requests have no ids of their own.
func (h Hop) exchangeVerdict(p *http.Response) Result {
	if h.Exchange == "" {
		return Result{}
	}
	e := p.Header.Get(h.Headers.Exchange)
	switch {
	case e == h.Exchange:
		h.Echoes.Store(true)
	case e != "":
		return unknown(result.WrongAnswer, "the answer is to the exchange "+e)
	case h.Echoes.Swap(false): // another worker may have taken over the address
		return unknown(result.WrongAnswer, "the answer names no exchange, as earlier ones did")
	}
	return Result{}
}

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
	copyHeader(q.Header, r.Header, h.Headers)
	if _, ok := q.Header["User-Agent"]; !ok {
		q.Header["User-Agent"] = []string{""} // else net/http adds its own
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

// broken classifies a hop without an answer. Only that nothing was written
// proves that the request did not run.
func broken(x context.Context, err error, nothing bool) Result {
	f := unknown(result.AnswerLost, err.Error())
	if nothing {
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

// pass copies the answer, of which n bytes of the body are in k already. An
// error means that it is not whole: the caller of Do has to cut the
// connection, since the status has been sent.
func pass(w http.ResponseWriter, p *http.Response, names contract.Headers, k *[bufferBytes]byte, n int) error {
	copyHeader(w.Header(), p.Header, names)
	for t := range p.Trailer {
		w.Header().Add("Trailer", t)
	}
	w.WriteHeader(p.StatusCode)
	if err := copyBody(w, p, k, n); err != nil {
		return err
	}
	for t, v := range p.Trailer {
		w.Header()[http.TrailerPrefix+t] = v
	}
	return nil
}

// bufferBytes is how much of an answer is held back at most.
const bufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

// copyBody flushes what has no known length as it comes, since the sender may
// wait for a reaction to it.
func copyBody(w http.ResponseWriter, p *http.Response, k *[bufferBytes]byte, n int) error {
	stream := p.ContentLength < 0
	c := http.NewResponseController(w)
	for {
		if n > 0 {
			if _, err := w.Write(k[:n]); err != nil {
				return err
			}
			if stream {
				if err := c.Flush(); err != nil {
					return err
				}
			}
		}
		var err error
		n, err = p.Body.Read(k[:])
		if n > 0 {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// hopByHop tells whether a header concerns one connection only.
func hopByHop(k string) bool {
	switch k {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization", "Expect":
		return true
	}
	return false
}

// copyHeader copies what passes through: neither headers of the connection,
// named or by the Connection header, nor those of figwheel itself.
func copyHeader(to, from http.Header, names contract.Headers) {
	var drop []string
	for _, v := range from["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	for k, v := range from {
		own := strings.HasPrefix(k, contract.HeaderPrefix) && !names.IsForwarded(k)
		if own || hopByHop(k) || slices.Contains(drop, k) {
			continue
		}
		to[k] = v
	}
}

// parseCode reads the code header of a daemon. One that cannot be read says
// nothing; it must not become 0, which is a whole answer.
func parseCode(s string) result.Code {
	n, err := strconv.ParseUint(strings.TrimPrefix(s, "FW"), 10, 16)
	if err != nil || n == 0 {
		return result.AnswerLost
	}
	return result.Code(n)
}
