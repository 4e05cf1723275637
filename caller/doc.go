// Package caller serves the calls of callers and the requests that other daemons
// forward. It selects the route, makes attempts at instances within the contract
// of the service, and reports whether the request ran.
package caller
