// Package poison recognises requests that crash the workers that run them.
//
// A request that was at a worker when the worker crashed is suspected, and so are
// the other requests at that worker. The level of suspicion rises each time that
// a suspected request is sent to another worker and that worker crashes too, so
// several crashes of a fleet at the same moment count as one. A complete answer
// clears the request.
package poison
