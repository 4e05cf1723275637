// Package upstream connects a daemon to its worker: it receives the worker's
// announcements, limits the requests in flight to the worker's slots and forwards
// calls to it.
package upstream
