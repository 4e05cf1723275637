// Package site turns a base file and the overlays of the sites into the
// configuration that each site serves.
//
// A Bundle is what a supervisor submits. Check decodes it strictly, merges
// each overlay over the base and checks the result of every site; it returns
// a Configuration or every problem found, each with its code and position.
// Configuration.Snapshot compiles one site into the immutable Snapshot that
// routes calls. A Table is the other source of snapshots: one configuration for
// all sites that was accepted elsewhere.
package site
