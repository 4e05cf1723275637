// Package soak runs daemons as separate processes, injects faults from outside
// and checks during the run the answers that callers receive and the requests
// that workers execute.
//
// The platform and the workers are the stand-ins of package platformtest. Clock
// and disk faults are not injected: a daemon uses no disk, and the time of day
// of a single process cannot be set from outside. Links between daemons fail
// only when a daemon is paused or killed: daemons connect directly to each
// other's listening addresses, so no proxy can be placed between them.
package soak
