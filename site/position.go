package site

import (
	"cmp"
	"fmt"
	"slices"

	"figwheel/result"
)

// Position is a position in a file. Lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Problem is one reason why a bundle is refused.
type Problem struct {
	Code result.Code
	At   Position
	Text string
}

// String returns the position, the code and the text.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.At, p.Code, p.Text) }

// sortProblems returns p ordered by position, without duplicates: a fault in the
// base is found again at every site.
func sortProblems(p []Problem) []Problem {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.At.File, b.At.File),
			cmp.Compare(a.At.Line, b.At.Line),
			cmp.Compare(a.At.Column, b.At.Column),
			cmp.Compare(a.Code, b.Code),
			cmp.Compare(a.Text, b.Text),
		)
	})
	return slices.Compact(p)
}

// Value is a value together with the position at which it is set. The zero Value
// is not set.
type Value[T any] struct {
	V  T
	At Position
}

// IsSet reports whether a file sets the value.
func (v Value[T]) IsSet() bool { return v.At.Line > 0 }

// Or returns v if it is set and o otherwise.
func (v Value[T]) Or(o Value[T]) Value[T] {
	if v.IsSet() {
		return v
	}
	return o
}
