// Package operator is the protocol between daemons and the tools of supervisors
// and operators: the client for the command line, and the handler that daemons
// serve.
package operator
