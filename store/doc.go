// Package store keeps what daemons agree on or must find again: the Store
// interface that the platform's adapter implements, and the formats of
// contents and audit records in it.
package store
