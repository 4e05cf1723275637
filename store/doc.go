// Package store defines the shared storage of daemons: the Store interface,
// which the platform's adapter implements, and the formats in which contents and
// audit records are kept in it.
package store
