// Package soak runs daemons as separate processes, injects faults from outside
// and checks during the run the answers that callers receive and the requests
// that workers execute.
//
// The configuration has client accounts with keys and quotas. Some callers use keys
// that new versions replace, some pipeline their requests, and floods exceed a
// quota. Workers record the account of each run.
//
// The platform and the workers are the stand-ins of package platformtest. Clock
// and disk faults are not injected: a daemon uses no disk, and the time of day
// of a single process cannot be set from outside. Links between daemons fail
// only when a daemon is paused or killed: daemons connect directly to each
// other's listening addresses, so no proxy can be placed between them.
package soak
