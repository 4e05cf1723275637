// Package demo runs a whole mesh in one process: a stand-in for the platform,
// a daemon and a worker for each instance, and callers. It changes the
// configuration under load and checks, from outside the daemons, the answers
// that callers receive and the requests that workers run.
package demo
