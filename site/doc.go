// Package site merges a base file and the overlays of the sites into the
// configuration that each site serves.
//
// A Bundle holds the files that a supervisor submits. Check decodes it, rejecting
// unknown keys, merges each overlay over the base and checks the result for every
// site. It returns a Configuration and every problem found, each with its code
// and position. Configuration.Snapshot compiles the configuration of one site
// into an immutable Snapshot, which is used to route calls. A Table is the other
// source of snapshots: one configuration for all sites that was accepted by
// another system.
package site
