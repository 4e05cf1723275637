package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"figwheel/contract"
	"figwheel/result"
)

// Hop is where a request goes next.
type Hop struct {
	Transport http.RoundTripper
	Address   string // host and port
	Daemon    bool   // the next one is a daemon, whose Figwheel headers count
	Once      bool   // the request must not run twice
	Set       []Field
}

// Field is a header that the hop adds.
type Field struct{ Name, Value string }

// Result is how a hop ended. When Begun is set the answer has been started
// and nothing else may be written.
type Result struct {
	Outcome contract.Outcome
	Code    result.Code // 0 for a whole answer
	Text    string
	Begun   bool
	Release string // of the daemon that answered
	Load    string // in flight at the daemon that answered
}

// OK tells whether the answer was passed on whole.
func (r Result) OK() bool { return r.Code == 0 }

// NotRun returns the result of a request that was not sent.
func NotRun(c result.Code, text string) Result {
	return Result{Outcome: contract.NotRun, Code: c, Text: text}
}

// Do sends r with the body b and passes the answer to w. An answer by which
// the next daemon says that it did not run the request is not passed on.
func (h Hop) Do(x context.Context, w http.ResponseWriter, r *http.Request, b *Body) Result {
	d, stop := b.attempt()
	defer stop()
	q := h.request(x, r, d, b.length)
	p, err := h.Transport.RoundTrip(q)
	if err != nil {
		return broken(x, err)
	}
	defer func() { _ = p.Body.Close() }()
	f := Result{Outcome: contract.Run}
	if h.Daemon {
		f.Release = p.Header.Get(contract.ReleaseHeader)
		f.Load = p.Header.Get(contract.LoadHeader)
		if c := p.Header.Get(contract.CodeHeader); c != "" {
			f.Outcome = contract.ParseOutcome(p.Header.Get(contract.OutcomeHeader))
			f.Code = parseCode(c)
			f.Text = "the daemon beside the upstream answered " + c
			return f
		}
	}
	f.Begun = true
	if err := pass(w, p); err != nil {
		f.Code = result.AnswerCut
		f.Text = err.Error()
	}
	return f
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
	copyHeader(q.Header, r.Header)
	if _, ok := q.Header["User-Agent"]; !ok {
		q.Header["User-Agent"] = []string{""} // else net/http adds its own
	}
	for _, f := range h.Set {
		q.Header[f.Name] = []string{f.Value}
	}
	if h.Once {
		keepOnce(q)
	}
	return q.WithContext(x)
}

// keepOnce keeps net/http from sending the request again by itself when the
// connection breaks. It does that with an empty body, which it can repeat, for
// methods that are usually idempotent and for requests with an idempotency
// key, whatever the contract of the service says of them.
func keepOnce(q *http.Request) {
	for _, k := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := q.Header[k]; ok {
			delete(q.Header, k)
			q.Header[strings.ToLower(k)] = v // the same on the wire, unseen by net/http
		}
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if q.Body == http.NoBody {
			q.Body = keptReader{bytes.NewReader(nil)}
		}
	}
}

// broken classifies a hop without an answer. Only a connection that was never
// made proves that the request did not run.
func broken(x context.Context, err error) Result {
	f := Result{Outcome: contract.Unknown, Code: result.AnswerLost, Text: err.Error()}
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
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

// pass copies the answer. An error means that it is not whole: the caller of
// Do has to cut the connection, since the status has been sent.
func pass(w http.ResponseWriter, p *http.Response) error {
	copyHeader(w.Header(), p.Header)
	for k := range p.Trailer {
		w.Header().Add("Trailer", k)
	}
	w.WriteHeader(p.StatusCode)
	if err := copyBody(w, p); err != nil {
		return err
	}
	for k, v := range p.Trailer {
		w.Header()[http.TrailerPrefix+k] = v
	}
	return nil
}

const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBody flushes what has no known length as it comes, since the sender may
// wait for a reaction to it.
func copyBody(w http.ResponseWriter, p *http.Response) error {
	stream := p.ContentLength < 0
	c := http.NewResponseController(w)
	b := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(b)
	for {
		n, err := p.Body.Read(b[:])
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			if stream {
				if err := c.Flush(); err != nil {
					return err
				}
			}
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
func copyHeader(to, from http.Header) {
	var drop []string
	for _, v := range from["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			drop = append(drop, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
	for k, v := range from {
		if hopByHop(k) || strings.HasPrefix(k, contract.HeaderPrefix) || slices.Contains(drop, k) {
			continue
		}
		to[k] = v
	}
}

func parseCode(s string) result.Code {
	var n int
	for _, c := range strings.TrimPrefix(s, "FW") {
		if c < '0' || c > '9' {
			return result.AnswerLost
		}
		n = n*10 + int(c-'0')
	}
	return result.Code(n)
}

// NewTransport returns a transport with at most n connections to an address,
// 0 for no limit.
func NewTransport(n int, dial time.Duration) *http.Transport {
	const idleTime = 90 * time.Second
	const idlePerAddress = 256
	d := &net.Dialer{Timeout: dial}
	return &http.Transport{
		DialContext:           d.DialContext,
		MaxConnsPerHost:       n,
		MaxIdleConnsPerHost:   idlePerAddress,
		IdleConnTimeout:       idleTime,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0,
	}
}
