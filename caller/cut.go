package caller

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Cut describes a connection that ended, by the doing of the daemon or of the
// network, under a request that the daemon had read and not answered completely.
type Cut struct {
	RequestID    string // empty if the request had not reached its handler
	Version      string // number of the configuration version that the request used
	Reason       string
	Stage        string
	ReadAt       time.Time // when the handler took the request, zero before
	AnswerBytes  int64     // bytes of the answer that were written
	RequestBytes int64     // bytes that were read of the request and after it
	Ahead        int       // requests behind it that were being served
}

// stage is how far a request has got.
type stage string

const (
	stageNone     stage = "" // not with its handler
	stageBody     stage = "Body"
	stageAttempt  stage = "Attempt"
	stageFailed   stage = "Failed" // its answer was begun and could not be completed
	stageAnswered stage = "Answered"
)

// progress tracks the requests of an HTTP/1 connection, to report those that it
// ends without an answer. The zero value is ready to use.
type progress struct {
	mu           sync.Mutex
	current      Cut // of the last request that its handler took
	stage        stage
	reason       string    // why the connection will end
	unfinished   bool      // whether the answer was complete before the request
	answeredAt   time.Time // zero once a Close lingers
	writeEnded   bool      // whether net/http has ended the writing side
	callerLeft   bool
	ended        bool // whether the end was reported or is none to report
	requestBytes int64
	answerBytes  int64
	nextBegun    bool  // whether a byte of the request after the current one has been read
	nextBytes    int64 // bytes that were read since then
}

// begin records that a handler took the request id.
func (p *progress) begin(id, version string, now time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = Cut{RequestID: id, Version: version, ReadAt: now}
	p.stage, p.unfinished = stageBody, false
	p.answerBytes = 0
	p.nextBegun, p.nextBytes = false, 0
}

// reach records that the request has got to the stage s, for the given reason if
// it has failed.
func (p *progress) reach(s stage, reason string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage = s
	p.reason = reason
}

// fail records that the answer broke off as o, the progress of the same request while it
// was served ahead, says.
func (p *progress) fail(o *progress) {
	if p == nil {
		return
	}
	o.mu.Lock()
	version, readAt, s, reason := o.current.Version, o.current.ReadAt, o.stage, o.reason
	o.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Version, p.current.ReadAt, p.stage, p.reason = version, readAt, s, reason
}

// answer records that the handler has written the whole answer at the time now. With
// unfinished, part of the request is unread.
func (p *progress) answer(unfinished bool, now time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.unfinished, p.answeredAt = stageAnswered, unfinished, now
}

// endWrite records that net/http has ended the writing side, because it knows that
// the caller is still sending.
func (p *progress) endWrite() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeEnded = true
}

// lingerUntil returns the time until which the connection is to be read from before
// it is closed. It returns zero, except to the first Close of one on which part of an
// answered request is unread.
func (p *progress) lingerUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.answeredAt
	if t.IsZero() || p.callerLeft || !p.unfinished && !p.writeEnded {
		return time.Time{}
	}
	p.answeredAt = time.Time{}
	return t.Add(lingerTimeMax)
}

// beginNext records that a byte of the next request was read while the current one
// is served.
func (p *progress) beginNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.nextBegun && p.nextBytes == 0 {
		p.nextBytes = 1
	}
	p.nextBegun = true
}

// awaitNext records that net/http reads the next request: if the current one is
// answered, its whole answer has been written.
func (p *progress) awaitNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage != stageAnswered || p.unfinished {
		return
	}
	p.current, p.stage = Cut{}, stageNone
	p.requestBytes, p.answerBytes = p.nextBytes, 0
	p.nextBegun, p.nextBytes = false, 0
}

// read records the result of a read of the connection.
func (p *progress) read(n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestBytes += int64(n)
	if p.nextBegun || p.stage == stageAnswered {
		p.nextBytes += int64(n)
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	if isCallerGone(err) {
		p.callerLeft = true
	} else {
		p.reason = err.Error()
	}
}

// write records the result of a write to the connection, and returns what to
// report if it failed.
func (p *progress) write(n int, err error) (Cut, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answerBytes += int64(n)
	if err == nil {
		return Cut{}, false
	}
	if isCallerGone(err) {
		p.callerLeft = true
	}
	return p.end(err.Error())
}

// close returns what to report when the connection is closed, with unread bytes in
// its receive buffer or without, while the given number of requests is served ahead.
func (p *progress) close(unread bool, ahead int) (Cut, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.Ahead = ahead
	switch {
	case p.stage == stageBody, p.stage == stageAttempt, p.stage == stageFailed:
		return p.end("closed before the answer was complete")
	case p.unfinished && unread:
		return p.end("closed with unread bytes, which resets the connection")
	case p.stage == stageNone && p.requestBytes > 0 && p.answerBytes == 0:
		return p.end("closed before the request reached its handler")
	case ahead > 0:
		return p.end("closed before the answers to requests that were served ahead")
	}
	return Cut{}, false
}

// end returns what to report of a connection that ends for the given reason,
// unless a cause was recorded before. It reports nothing if the caller has left,
// and nothing twice.
func (p *progress) end(reason string) (Cut, bool) {
	if p.ended || p.callerLeft {
		return Cut{}, false
	}
	p.ended = true
	c := p.current
	c.Reason, c.Stage = reason, string(p.stage)
	if p.reason != "" {
		c.Reason += ": " + p.reason
	}
	c.AnswerBytes, c.RequestBytes = p.answerBytes, p.requestBytes
	return c, true
}

// isCallerGone reports whether err says that the other side ended the connection.
func isCallerGone(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// HasUnreadBytes reports whether bytes have arrived on c that no Read has returned: in
// its receive buffer or, if it is a *Connection, in its lookahead.
func HasUnreadBytes(c net.Conn) bool {
	if k, ok := c.(*Connection); ok {
		if k.hasLookahead() {
			return true
		}
		c = k.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	var n int
	_ = r.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// progressOf returns the progress of the connection of r, nil if it is not tracked.
// A connection of HTTP/2 is not: it carries many requests at a time.
// A request that is served ahead has its own: the connection is at an earlier one.
func progressOf(r *http.Request) *progress {
	if a := aheadOf(r); a != nil {
		return &a.progress
	}
	c := connectionOf(r)
	if c == nil || r.ProtoMajor != 1 {
		return nil
	}
	return &c.progress
}
