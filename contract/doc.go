// Package contract defines what figwheel guarantees to the callers of a
// service: whether a request ran, by when it is answered, and whether it may be
// retried.
package contract
