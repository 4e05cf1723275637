// Package caller takes the calls of callers, and those that other daemons
// send on, and answers them: it finds the route, keeps to the contract of the
// service and tells whether the request ran.
package caller
