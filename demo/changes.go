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

// noConnection tells whether a request failed before it could be sent.
func noConnection(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// swap is an edit of the base that the changes of a deployment make and undo.
type swap struct{ from, to string }

// script is what the demo does with one deployment.
type script struct {
	kinds []kind
	swaps []swap
	wrong swap // an edit that must be refused
}

func scriptOf(name string) script {
	if name == "thanh-hoa" {
		return script{
			kinds: []kind{
				{"GET", "registry.thanhhoa.example", "/gauges/hoop-30", false},
				{"POST", "registry.thanhhoa.example", "/certifications", true},
				{"POST", "registry.thanhhoa.example", "/fees/lot", true},
				{"GET", "market.thanhhoa.example", "/lots/17", false},
				{"POST", "market.thanhhoa.example", "/stamps", true},
			},
			swaps: []swap{
				{"PathPrefix: /gauges\n    Methods: [GET, HEAD]\n    Service: gauge-desk", "PathPrefix: /gauges\n    Methods: [GET, HEAD]\n    Service: cert-office"},
				{"PathPrefix: /lots\n    Methods: [GET, HEAD]\n    Service: lot-ledger", "PathPrefix: /lots\n    Methods: [GET, HEAD]\n    Service: gauge-desk"},
			},
			wrong: swap{"PathPrefix: /stamps\n    Service: lot-ledger", "PathPrefix: /stamps\n    Service: lot-leger"},
		}
	}
	return script{
		kinds: []kind{
			{"GET", "hire.trentside.example", "/availability/canoe", false},
			{"GET", "hire.trentside.example", "/conditions", false},
			{"POST", "hire.trentside.example", "/bookings", true},
			{"POST", "hire.trentside.example", "/payments/card", true},
			{"POST", "stages.trentside.example", "/craft/out", true},
			{"GET", "stages.trentside.example", "/notices", false},
		},
		swaps: []swap{
			{"PathPrefix: /conditions\n    Methods: [GET, HEAD]\n    Service: riverdesk", "PathPrefix: /conditions\n    Methods: [GET, HEAD]\n    Service: availability"},
			{"PathPrefix: /availability\n    Methods: [GET, HEAD]\n    Service: availability", "PathPrefix: /availability\n    Methods: [GET, HEAD]\n    Service: riverdesk"},
		},
		wrong: swap{"PathPrefix: /craft\n    Service: riverdesk", "PathPrefix: /craft\n    Service: riverdeks"},
	}
}

// edition returns the files of the n-th change: both swaps made or undone at
// once, so that a version applied in part would show.
func (s script) edition(b site.Bundle, n int) site.Bundle {
	t := b.Base.Text
	if n%2 == 1 {
		for _, w := range s.swaps {
			t = strings.Replace(t, w.from, w.to, 1)
		}
	}
	b.Base.Text = fmt.Sprintf("%s\n# edition %d\n", t, n)
	return b
}

func (s script) bad(b site.Bundle) site.Bundle {
	b.Base.Text = strings.Replace(b.Base.Text, s.wrong.from, s.wrong.to, 1)
	return b
}

// outcome is what became of one submission.
type outcome struct {
	number  uint64
	step    string
	problem string
}

// submit sends a bundle, edited from the version on, to the daemon of k and
// returns the last step.
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
