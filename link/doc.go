// Package link chooses the instance that a call is sent to. It estimates the load
// of each instance and picks the candidate with the lowest expected time.
package link
