package result

import (
	"errors"
	"fmt"
)

// Error is an error with a code. Cause is nil if there is no underlying error.
type Error struct {
	Code  Code
	Text  string
	Cause error
}

// New returns an error with the code c and a formatted text.
func New(c Code, format string, a ...any) *Error {
	return &Error{Code: c, Text: fmt.Sprintf(format, a...)}
}

// Wrap returns an error with the code c, a formatted text and the cause err.
func Wrap(c Code, err error, format string, a ...any) *Error {
	return &Error{Code: c, Text: fmt.Sprintf(format, a...), Cause: err}
}

// Error returns the code, the text and the cause, if there is one.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Text)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Text, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of the first Error in err's chain, or 0 if there is
// none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
