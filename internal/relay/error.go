package relay

import "github.com/rotisserie/eris"

// ErrorKind classifies a failed attempt.
type ErrorKind string

// The kinds of failure.
const (
	NotSent        ErrorKind = "untouched" // nothing was sent
	Broken         ErrorKind = "broken"    // the answer ended early or could not be read
	Mismatched     ErrorKind = "foreign"   // the answer belongs to another request
	NotRunUnproven ErrorKind = "unproven"  // the target refused the request without stating that it has not run
	Stalled        ErrorKind = "silent"    // no event came for too long
	CallerGone     ErrorKind = "gone"      // the caller cannot be written to
)

// Error is a failed attempt.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a failed attempt, or Broken for any other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return Broken
}
