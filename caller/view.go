package caller

import (
	"strconv"

	"figwheel/contract"
	"figwheel/link"
	"figwheel/poison"
	"figwheel/settings"
	"figwheel/site"
)

// View holds everything that is needed to route a call. It is immutable: the
// control goroutine replaces it as a whole, so that a call sees a single version
// of the configuration.
type View struct {
	Snapshot   *site.Snapshot
	Candidates map[string]link.Candidates // by service
	Retries    contract.RetryLimits       // limits for services that set none
	Suspects   poison.List                // requests that are suspected of crashing workers
	Origin     string                     // service of the worker beside this daemon
	release    string                     // number of the version and hash of its content
	version    string                     // number of the version
}

// NewView returns a view of the snapshot s with the candidates c by service. The
// snapshot may be nil while there is no configuration.
func NewView(s *site.Snapshot, c map[string]link.Candidates) *View {
	v := &View{Snapshot: s, Candidates: c, Retries: contract.RetryLimits{Percent: settings.RetryPercentDefault, Burst: settings.RetryBurstDefault}, version: "0"}
	if s != nil {
		v.version = strconv.FormatUint(s.Number(), 10)
		v.release = v.version + "-" + s.Content()
	}
	return v
}

// Release returns the value of the release header: the number of the version and
// the hash of its content, or an empty string while there is no configuration.
func (v *View) Release() string { return v.release }

// Version returns the value of the version header: the number of the version,
// or 0 while there is no configuration.
func (v *View) Version() string { return v.version }
