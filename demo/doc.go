// Package demo runs a whole mesh in one process: a stand-in of the platform,
// a daemon and a worker for each instance, and callers. It changes the
// configuration under load and counts, from outside the daemons, what callers
// and workers saw.
package demo
