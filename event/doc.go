// Package event numbers the log events of figwheel.
package event
