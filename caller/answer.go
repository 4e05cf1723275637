package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"figwheel/contract"
	"figwheel/hop"
)

// Failure is the JSON body of the answer to a call that failed in figwheel, as
// opposed to an answer of a worker.
type Failure struct {
	Code    string
	Name    string
	Outcome string
	Text    string
}

// writeFailure answers a caller whose call failed before any answer was begun.
func writeFailure(w http.ResponseWriter, f hop.Result, retryAfter time.Duration) {
	h := w.Header()
	h.Set(contract.OutcomeHeader, f.Outcome.String())
	h.Set(contract.CodeHeader, f.Code.String())
	h.Set("Content-Type", "application/json")
	s := contract.Status(f.Code, f.Outcome)
	if retryAfter > 0 && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	d, _ := json.Marshal(Failure{f.Code.String(), f.Code.Name(), f.Outcome.String(), f.Text})
	h.Set("Content-Length", strconv.Itoa(len(d)))
	w.WriteHeader(s)
	_, _ = w.Write(d)
}

// writeLinkFailure answers another daemon whose forwarded request failed. It sends
// only headers: daemons read nothing else, and rejections are most frequent under
// overload, when links between data centres have the least capacity to spare.
func writeLinkFailure(w http.ResponseWriter, f hop.Result) {
	h := w.Header()
	h.Set(contract.OutcomeHeader, f.Outcome.String())
	h.Set(contract.CodeHeader, f.Code.String())
	h.Set("Content-Length", "0")
	w.WriteHeader(contract.Status(f.Code, f.Outcome))
}

// endAnswer ends a request with the body b whose answer was written at the time now.
// If part of the body is unread, the connection lingers when it is closed. Until then
// nothing is read: net/http would read on before it closes the writing side, for as
// long as the caller takes.
func endAnswer(w http.ResponseWriter, p *progress, b *hop.Body, now time.Time) {
	u := b.Unfinished()
	if u {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	}
	p.answer(u, now)
}

// finish ends a call whose result is f. If an answer was begun and is not
// complete, it aborts the connection: the status has been sent, so the caller
// cannot be informed in another way.
func finish(w http.ResponseWriter, f hop.Result, retryAfter time.Duration) {
	if f.OK() {
		return
	}
	if f.Begun {
		panic(http.ErrAbortHandler)
	}
	writeFailure(w, f, retryAfter)
}
