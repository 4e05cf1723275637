package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"figwheel/operator"
	"figwheel/operator/operatorpb"
	"figwheel/site"
)

// isDialError reports whether a request failed because no connection could be
// made, so that it was not sent.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// edit replaces the text from by the text to in the base.
type edit struct{ from, to string }

// scenario holds the requests and the edits of the demo for one deployment.
type scenario struct {
	kinds       []requestKind
	edits       []edit // applied by every other change, undone by those between
	invalidEdit edit   // must be rejected: it routes to a service that does not exist
}

// scenarioOf returns the scenario of the deployment, that of trentside unless
// the name is thanh-hoa.
func scenarioOf(name string) scenario {
	if name == "thanh-hoa" {
		return scenario{
			kinds: []requestKind{
				{"GET", "registry.thanhhoa.example", "/gauges/hoop-30", false},
				{"POST", "registry.thanhhoa.example", "/certifications", true},
				{"POST", "registry.thanhhoa.example", "/fees/lot", true},
				{"GET", "market.thanhhoa.example", "/lots/17", false},
				{"POST", "market.thanhhoa.example", "/stamps", true},
			},
			edits: []edit{
				{"PathPrefix: /gauges\n    Methods: [GET, HEAD]\n    Service: gauge-desk", "PathPrefix: /gauges\n    Methods: [GET, HEAD]\n    Service: cert-office"},
				{"PathPrefix: /lots\n    Methods: [GET, HEAD]\n    Service: lot-ledger", "PathPrefix: /lots\n    Methods: [GET, HEAD]\n    Service: gauge-desk"},
			},
			invalidEdit: edit{"PathPrefix: /stamps\n    Service: lot-ledger", "PathPrefix: /stamps\n    Service: lot-leger"},
		}
	}
	return scenario{
		kinds: []requestKind{
			{"GET", "hire.trentside.example", "/availability/canoe", false},
			{"GET", "hire.trentside.example", "/conditions", false},
			{"POST", "hire.trentside.example", "/bookings", true},
			{"POST", "hire.trentside.example", "/payments/card", true},
			{"POST", "stages.trentside.example", "/craft/out", true},
			{"GET", "stages.trentside.example", "/notices", false},
		},
		edits: []edit{
			{"PathPrefix: /conditions\n    Methods: [GET, HEAD]\n    Service: riverdesk", "PathPrefix: /conditions\n    Methods: [GET, HEAD]\n    Service: availability"},
			{"PathPrefix: /availability\n    Methods: [GET, HEAD]\n    Service: availability", "PathPrefix: /availability\n    Methods: [GET, HEAD]\n    Service: riverdesk"},
		},
		invalidEdit: edit{"PathPrefix: /craft\n    Service: riverdesk", "PathPrefix: /craft\n    Service: riverdeks"},
	}
}

// changedBundle returns the files of the n-th change: both edits applied if n is
// odd, none if it is even. Since both routes change at once, a version that is
// applied only in part shows in the answers.
func (s scenario) changedBundle(b site.Bundle, n int) site.Bundle {
	t := b.Base.Text
	if n%2 == 1 {
		for _, w := range s.edits {
			t = strings.Replace(t, w.from, w.to, 1)
		}
	}
	b.Base.Text = fmt.Sprintf("%s\n# edition %d\n", t, n)
	return b
}

// invalidBundle returns b with the invalid edit.
func (s scenario) invalidBundle(b site.Bundle) site.Bundle {
	b.Base.Text = strings.Replace(b.Base.Text, s.invalidEdit.from, s.invalidEdit.to, 1)
	return b
}

// outcome is the result of one submission.
type outcome struct {
	number  uint64 // of the version
	step    string // the last step
	problem string // text of the last problem
}

// submit submits a bundle, based on the version on, to the daemon of k and
// returns the outcome when the submission has ended.
func submit(x context.Context, k *Instance, id string, on uint64, b site.Bundle) (outcome, error) {
	q := &operatorpb.SubmitRequest{
		ChangeID:  id,
		Submitter: "demo",
		OnNumber:  on,
		Base:      &operatorpb.File{Name: b.Base.Name, Text: b.Base.Text},
	}
	for _, f := range b.Overlays {
		q.Overlays = append(q.Overlays, &operatorpb.File{Name: f.Name, Text: f.Text})
	}
	s, err := operator.NewClient(k.Settings.OperatorAddress).Submit(x, q)
	if err != nil {
		return outcome{}, demoError.Wrap(err)
	}
	defer func() { _ = s.Close() }()
	var o outcome
	for s.Receive() {
		r := s.Msg()
		o.step = r.GetStep()
		o.number = max(o.number, r.GetNumber())
		for _, p := range r.GetProblems() {
			o.problem = p.GetText()
		}
	}
	return o, demoError.Wrap(s.Err())
}
