// Package instance decides what a daemon believes of the instances of the
// fleet: who is there, in which state, and who is dead.
//
// Table is a SWIM-like state machine without I/O and without a clock. The
// caller probes whom Table tells it to, reports how that went, and carries
// the news that Table hands out.
package instance
