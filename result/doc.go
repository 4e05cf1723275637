// Package result defines the codes of the outcomes that figwheel reports to
// users and programs, and an error type that carries a code.
package result
