// Package link decides which way a call takes to a worker: what is known of
// the load of each instance and the choice among them.
package link
