// Package poison recognises requests that crash the workers that run them.
//
// Each request that was at a worker when the worker crashed is suspected. The level
// of suspicion rises each time that a suspected request is sent to another worker
// and that worker crashes too, so crashes of several workers at the same moment
// count as one. A complete answer clears the request.
package poison
