// Package upstreamtest is a stand-in for a worker: it announces itself to its
// daemon, answers calls and counts how often it ran each.
package upstreamtest
