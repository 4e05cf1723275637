// Package result numbers every outcome that figwheel reports to people and
// programs, and carries such an outcome as a Go error.
package result
