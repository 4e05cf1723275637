// Package instance keeps the membership of the fleet as one daemon sees it: which
// instances there are, their states, and which of them are dead.
//
// Table is a SWIM-like state machine without I/O and without a clock. The caller
// probes the instances that Table selects, reports the results and sends the news
// that Table returns: the records that changed and are still to be disseminated.
package instance
