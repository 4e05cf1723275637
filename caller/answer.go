package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"figwheel/contract"
	"figwheel/hop"
)

// Failure is the body of an answer that the daemon gives itself.
type Failure struct {
	Code    string
	Name    string
	Outcome string
	Text    string
}

// refuse answers a call that failed before its answer was begun.
func refuse(w http.ResponseWriter, f hop.Result, retryAfter time.Duration) {
	h := w.Header()
	h.Set(contract.OutcomeHeader, f.Outcome.String())
	h.Set(contract.CodeHeader, f.Code.String())
	h.Set("Content-Type", "application/json")
	s := contract.Status(f.Code, f.Outcome)
	if retryAfter > 0 && s == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	d, _ := json.Marshal(Failure{f.Code.String(), f.Code.Name(), f.Outcome.String(), f.Text})
	h.Set("Content-Length", strconv.Itoa(len(d)))
	w.WriteHeader(s)
	_, _ = w.Write(d)
}

// refuseLink answers another daemon, which goes by the headers alone. Refusals
// cross data centres most when there is least room.
func refuseLink(w http.ResponseWriter, f hop.Result) {
	h := w.Header()
	h.Set(contract.OutcomeHeader, f.Outcome.String())
	h.Set(contract.CodeHeader, f.Code.String())
	h.Set("Content-Length", "0")
	w.WriteHeader(contract.Status(f.Code, f.Outcome))
}

// finish ends a call. A begun answer that is not whole is cut, the only way
// left to tell the caller.
func finish(w http.ResponseWriter, f hop.Result, retryAfter time.Duration) {
	if f.OK() {
		return
	}
	if f.Begun {
		panic(http.ErrAbortHandler)
	}
	refuse(w, f, retryAfter)
}
