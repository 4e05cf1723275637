package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// aheadBytesMax bounds the bytes of an answer that wait for the answers before it. The
	// worker has to hold back the rest.
	aheadBytesMax = 64 << 10
	// aheadBytesTotalMax bounds the bytes of all answers that wait so. At the bound, nothing
	// more is begun ahead, and only answers whose turn has come take further bytes.
	aheadBytesTotalMax = 16 << 20
)

// aheadBytes is the number of bytes that the answers of all connections keep.
var aheadBytes atomic.Int64

// Ahead lets a connection serve requests that a caller sends before earlier ones have
// been answered. net/http serves the requests of a connection one after the other, so
// that the second one would spend the time of the first waiting, at a worker with free
// slots. The answers are sent in the order of the requests.
type Ahead struct {
	Handler http.Handler
	// May reports whether the request may be served before the connection has got to
	// it. It must allow only requests that may run more than once: if the connection ends
	// before, its caller sends the request again.
	May   func(r *http.Request) bool
	Depth int // requests of one connection that are served at the same time; below 2 only one is
}

// pipeline tracks the requests of a connection that arrive ahead. It is guarded by the
// mutex of the connection.
type pipeline struct {
	config  Ahead
	context context.Context // of the requests; nil before net/http serves the connection
	framer  framer
	serving bool      // whether net/http serves a request whose handler has not returned
	arrived []arrival // requests that net/http has not got to, in order
	waiting int       // those of them that wait for their turn
	dropped []*aheadAnswer
}

// arrival is a request that net/http has not got to.
type arrival struct {
	answer *aheadAnswer // nil if it was not begun
	waits  bool         // whether it waits for requests before it
}

// scan scans bytes that were read from the connection and begins the requests that
// arrived ahead. Once one was not begun, no later one is before that has been served:
// the answers of the first are due first.
func (p *pipeline) scan(c *Connection, b []byte) {
	if p.config.Depth < 2 || p.context == nil {
		return
	}
	p.framer.scan(b, func(head []byte) {
		var v arrival
		if len(p.arrived) > 0 || p.serving { // otherwise net/http is about to read it
			v.answer = p.begin(c, head)
			v.waits = v.answer == nil
		}
		if v.waits {
			p.waiting++
		}
		p.arrived = append(p.arrived, v)
	})
}

// begin begins to serve the request with the given head, or returns nil.
func (p *pipeline) begin(c *Connection, head []byte) *aheadAnswer {
	if p.waiting > 0 || p.begun()+1 >= p.config.Depth || aheadBytes.Load() >= aheadBytesTotalMax {
		return nil
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || r.Host == "" || !p.config.May(r) {
		return nil // net/http rejects a malformed one when it gets to it
	}
	r.RemoteAddr = c.RemoteAddr().String()
	a := &aheadAnswer{request: r, header: make(http.Header), done: make(chan struct{})}
	x, cancel := context.WithCancel(context.WithValue(p.context, aheadKey{}, a))
	a.cancel = cancel
	a.changed.L = &a.mu
	context.AfterFunc(x, a.wake)
	go a.run(p.config.Handler, r.WithContext(x))
	return a
}

// begun returns the number of requests that are served ahead.
func (p *pipeline) begun() int {
	n := 0
	for _, v := range p.arrived {
		if v.answer != nil {
			n++
		}
	}
	return n
}

// take returns the answer to r if it was begun ahead, nil if not. It is called when
// net/http gets to r.
func (p *pipeline) take(r *http.Request) *aheadAnswer {
	p.serving = true
	if len(p.arrived) == 0 {
		return nil
	}
	v := p.arrived[0]
	p.arrived = dropFirst(p.arrived, 1)
	if v.waits {
		p.waiting--
	}
	a := v.answer
	if a == nil || a.isFor(r) {
		return a
	}
	a.cancel()
	p.dropped = append(p.dropped, a)
	return nil
}

// unused returns the answers that net/http will not get to when the connection ends.
func (p *pipeline) unused() []*aheadAnswer {
	l := p.dropped
	for _, v := range p.arrived {
		if v.answer != nil {
			l = append(l, v.answer)
		}
	}
	p.dropped, p.arrived = nil, nil
	return l
}

// aheadKey is the key of the *aheadAnswer in the context of a request that is served ahead.
type aheadKey struct{}

// aheadOf returns the answer to r if r is served before the connection has got to it, nil
// if not.
func aheadOf(r *http.Request) *aheadAnswer {
	a, _ := r.Context().Value(aheadKey{}).(*aheadAnswer)
	return a
}

// isAhead reports whether r is served before the connection has got to it.
func isAhead(r *http.Request) bool {
	return aheadOf(r) != nil
}

// takeAhead returns the answer to r if it was begun before net/http got to it.
func takeAhead(r *http.Request) *aheadAnswer {
	c := connectionOf(r)
	if c == nil || r.ProtoMajor != 1 || isAhead(r) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipeline.take(r)
}

// endTurn records that the handler of r is about to return. A request that arrives from
// now on has at most the end of this answer before it, which may have reached the caller.
func endTurn(r *http.Request) {
	c := connectionOf(r)
	if c == nil || isAhead(r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipeline.serving = false
}

// hasAhead reports whether requests behind r are being served: the connection must not
// be closed before their answers.
func hasAhead(r *http.Request) bool {
	c := connectionOf(r)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return isAhead(r) || c.pipeline.begun() > 0
}

// aheadAnswer is the http.ResponseWriter of a request that is served ahead. It keeps
// the answer until net/http gets to the request.
type aheadAnswer struct {
	request *http.Request
	cancel  context.CancelFunc
	done    chan struct{} // closed when the handler has returned

	progress progress // of the request; the connection's is at an earlier one

	mu       sync.Mutex
	changed  sync.Cond
	header   http.Header
	sent     http.Header // header as of WriteHeader, nil before
	status   int
	body     []byte // not taken by writeTo yet; counted in aheadBytes
	due      bool   // whether the answers before it have been sent
	ended    bool   // whether the handler has returned
	aborted  bool   // whether it could not complete the answer
	writeErr error  // of the connection
}

// errAheadEnded is the error of a write to a connection that has ended.
var errAheadEnded = errors.New("the connection ended before the answer was sent")

// run serves the request r and closes a.done.
func (a *aheadAnswer) run(h http.Handler, r *http.Request) {
	defer close(a.done)
	defer func() {
		p := recover() // the handler panics if it cannot complete the answer, and has logged any other panic
		a.mu.Lock()
		defer a.mu.Unlock()
		if p == nil {
			a.writeHeader(http.StatusOK) // as net/http does when the handler has written nothing
		}
		a.ended, a.aborted = true, p != nil
		a.changed.Broadcast()
	}()
	h.ServeHTTP(a, r)
}

// isFor reports whether the answer is to r, as net/http has read it.
func (a *aheadAnswer) isFor(r *http.Request) bool {
	o := a.request
	return r.Method == o.Method && r.RequestURI == o.RequestURI && r.Host == o.Host && reflect.DeepEqual(r.Header, o.Header)
}

// wake ends a write that waits, after the context of the request has ended.
func (a *aheadAnswer) wake() { a.fail(errAheadEnded) }

// Header implements http.ResponseWriter.
func (a *aheadAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *aheadAnswer) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

// writeHeader is WriteHeader with a.mu held. Informational statuses, which callers need not
// get, are left out.
func (a *aheadAnswer) writeHeader(status int) {
	if a.sent != nil || status < http.StatusOK {
		return
	}
	a.sent, a.status = a.header.Clone(), status
	a.changed.Broadcast()
}

// isFull reports whether a write has to wait. a.mu is held.
func (a *aheadAnswer) isFull() bool {
	return len(a.body) >= aheadBytesMax || !a.due && aheadBytes.Load() >= aheadBytesTotalMax
}

// Write implements http.ResponseWriter. It waits while aheadBytesMax are kept, or
// aheadBytesTotalMax by all answers.
func (a *aheadAnswer) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	for a.isFull() && a.writeErr == nil {
		a.changed.Wait()
	}
	if a.writeErr != nil {
		return 0, a.writeErr
	}
	a.body = append(a.body, b...)
	aheadBytes.Add(int64(len(b)))
	a.changed.Broadcast()
	return len(b), nil
}

// Flush implements http.Flusher. The answer is sent once the answers before it have been.
func (a *aheadAnswer) Flush() {}

// writeTo sends the answer to w, as far as it is there and as it arrives. It returns when
// the handler has ended, and panics with http.ErrAbortHandler if that could not complete
// the answer.
func (a *aheadAnswer) writeTo(w http.ResponseWriter) {
	defer a.cancel()
	defer a.release()
	c := http.NewResponseController(w)
	for started := false; ; started = true {
		a.mu.Lock()
		a.due = true
		a.changed.Broadcast()
		for len(a.body) == 0 && !a.ended && (started || a.sent == nil) {
			a.changed.Wait()
		}
		b, ended, sent := a.body, a.ended, a.sent
		a.body = nil
		aheadBytes.Add(-int64(len(b)))
		a.changed.Broadcast()
		a.mu.Unlock()
		if !started && sent != nil {
			maps.Copy(w.Header(), sent)
			w.WriteHeader(a.status)
		}
		if len(b) > 0 {
			if _, err := w.Write(b); err != nil {
				a.fail(err)
			}
		}
		if ended {
			break
		}
		if err := c.Flush(); err != nil {
			a.fail(err)
		}
	}
	<-a.done
	if a.aborted {
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.header {
		if strings.HasPrefix(k, http.TrailerPrefix) {
			w.Header()[k] = v
		}
	}
}

// release drops the bytes that are kept and ends the writes of the handler.
func (a *aheadAnswer) release() {
	a.fail(errAheadEnded)
	a.mu.Lock()
	defer a.mu.Unlock()
	aheadBytes.Add(-int64(len(a.body)))
	a.body = nil
}

// fail ends the writes of the handler, as the connection failed with err.
func (a *aheadAnswer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writeErr == nil {
		a.writeErr = err
	}
	a.changed.Broadcast()
}

// ServeAhead serves r with h, or sends the answer that was begun before net/http got to
// r. It is for handlers other than a Handler, which does so by itself.
func ServeAhead(w http.ResponseWriter, r *http.Request, h http.Handler) {
	defer endTurn(r)
	if a := takeAhead(r); a != nil {
		a.writeTo(w)
		return
	}
	h.ServeHTTP(w, r)
}

// answerAhead sends the answer a, which was begun before net/http got to its request r.
func (h *Handler) answerAhead(w http.ResponseWriter, r *http.Request, a *aheadAnswer, version string, now time.Time) {
	p := progressOf(r)
	p.begin(r.Header.Get(h.Headers.RequestID), version, now)
	p.reach(stageAttempt, "")
	defer func() {
		if a.aborted {
			p.fail(&a.progress)
		}
	}()
	a.writeTo(w)
	endAnswer(w, p, nil, h.Now())
}

// MayServeAhead reports whether r, which its caller sent before earlier requests of the
// connection were answered, may be served before they are: if it may run more than once
// and this daemon goes on serving the connection.
func (h *Handler) MayServeAhead(r *http.Request) bool {
	c := call{view: h.Daemon.View()}
	if h.Daemon.IsDraining() || c.view.Snapshot == nil {
		return false
	}
	t, ok := c.view.Snapshot.Match(r)
	if !ok || t.Closed != 0 || len(t.Targets) == 0 {
		return false
	}
	c.route = t
	for _, s := range t.Targets {
		if c.service, ok = c.view.Snapshot.Service(s.Service); !ok || !c.mayRunTwice(r) {
			return false
		}
	}
	return true
}
