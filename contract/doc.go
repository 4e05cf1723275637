// Package contract holds what a service promises its callers: whether a
// request ran, how long it may take and whether it may be tried again.
package contract
