// Package operator speaks to supervisors and operators: the client that the
// command line uses and the handler that daemons serve.
package operator
