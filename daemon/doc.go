// Package daemon implements the figwheel process that runs beside each worker.
// It connects the packages that decide with the network and the platform.
//
// One control goroutine owns all control state: the membership table, the head
// and the contents that are known, and the configuration that is served. Other
// goroutines send it functions to run. Calls never wait for it: they read an
// immutable view, which the control goroutine replaces as a whole.
package daemon
