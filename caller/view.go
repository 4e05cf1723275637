package caller

import (
	"strconv"

	"figwheel/contract"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/settings"
	"figwheel/site"
)

// View is all that a call needs to be routed. It is immutable: the control
// goroutine replaces it as a whole, so that a call sees one version only.
type View struct {
	Snapshot   *site.Snapshot
	Candidates map[string]link.Candidates // by service
	Retries    contract.Retries           // of a service that does not say itself
	Suspects   poison.List                // requests that crash workers
	release    string
	version    string
}

// NewView returns a view; s may be nil while there is no configuration.
func NewView(s *site.Snapshot, c map[string]link.Candidates) *View {
	v := &View{Snapshot: s, Candidates: c, Retries: contract.Retries{Percent: settings.RetryPercentDefault, Burst: settings.RetryBurstAlone}, version: "0"}
	if s != nil {
		v.version = strconv.FormatUint(s.Number(), 10)
		v.release = v.version + "-" + s.Content()
	}
	return v
}

// Release returns number and content of the version for the release header,
// empty while there is none.
func (v *View) Release() string { return v.release }

// Version returns the number of the version for the version header.
func (v *View) Version() string { return v.version }
