// Package event defines the numbered log events of figwheel and writes log
// lines without blocking the code that logs them.
package event
