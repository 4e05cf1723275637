package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/result"
)

// Failure is the body of an answer that the daemon gives itself.
type Failure struct {
	Code    string
	Name    string
	Outcome string
	Text    string
}

// refuse answers a call that failed before its answer was begun.
func refuse(w http.ResponseWriter, f hop.Result) {
	h := w.Header()
	h.Set(contract.OutcomeHeader, f.Outcome.String())
	h.Set(contract.CodeHeader, f.Code.String())
	h.Set("Content-Type", "application/json")
	if f.Code == result.Overloaded {
		h.Set("Retry-After", "1")
	}
	d, _ := json.Marshal(Failure{f.Code.String(), f.Code.Name(), f.Outcome.String(), f.Text})
	h.Set("Content-Length", strconv.Itoa(len(d)))
	w.WriteHeader(contract.Status(f.Code))
	_, _ = w.Write(d)
}

// notRun answers a call that was never sent on.
func notRun(w http.ResponseWriter, err error) {
	refuse(w, hop.NotRun(result.CodeOf(err), err.Error()))
}

// finish ends a call. A begun answer that is not whole is cut, the only way
// left to tell the caller.
func finish(w http.ResponseWriter, f hop.Result) {
	if f.OK() {
		return
	}
	if f.Begun {
		panic(http.ErrAbortHandler)
	}
	refuse(w, f)
}
