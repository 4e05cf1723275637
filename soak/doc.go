// Package soak runs real daemons as separate processes, injects faults from
// outside of them and checks, while it runs, what callers and workers see.
//
// The platform and the workers are the stand-ins of package platformtest. Clocks
// and disks are left alone: a daemon has no disk, and the time of day of one
// process cannot be set from outside. Links between daemons are broken only by
// pausing and killing them, for a daemon is reached at the address it listens on.
package soak
