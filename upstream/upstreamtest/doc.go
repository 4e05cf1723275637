// Package upstreamtest provides a stand-in for a worker: it announces itself to
// its daemon, answers requests and counts how often it ran each of them.
package upstreamtest
