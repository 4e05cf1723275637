// Package daemon wires the decisions and the ports of figwheel into the one
// process that runs beside each worker.
//
// One goroutine, the loop of control, owns all control state: what the daemon
// believes of the fleet, which head and contents it knows, what it serves.
// Everything else sends it functions to run. Calls read an immutable view
// that it replaces as a whole and never wait for it.
package daemon
