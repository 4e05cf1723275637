package upstream

import (
	"context"
	"net/http"

	"figwheel/hop"
	"figwheel/result"
)

// FaultyAnswer describes what the worker sent in place of an answer, or that it sent none.
type FaultyAnswer struct {
	RequestID string
	Code      result.Code
	Text      string // why it is no answer
}

// reportFaulty reports the result f of a request that was sent to the worker if that did not
// answer it, and the request with the context x was not given up.
func (k *Worker) reportFaulty(x context.Context, r *http.Request, f hop.Result) {
	if k.Faulty == nil || x.Err() != nil {
		return
	}
	switch f.Code {
	case result.WrongAnswer, result.AnswerLost, result.AnswerCut:
		k.Faulty(FaultyAnswer{r.Header.Get(k.Headers.RequestID), f.Code, f.Text})
	}
}
