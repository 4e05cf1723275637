// Package link chooses the instance that a call is sent to. It estimates the load
// of each instance and picks the candidate with the lowest cost: its expected time,
// with additions for the chance to be late, a full instance and another site.
package link
