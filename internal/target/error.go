package target

import "github.com/rotisserie/eris"

// Kind classifies a failed call to a target.
type Kind string

// The kinds of failure.
const (
	NotProcessed Kind = "untouched" // proved not to have been processed
	Leaving      Kind = "leaving"   // untouched, and the target takes no new work
	Broken       Kind = "broken"    // the answer ended early
	Stalled      Kind = "silent"    // the answer made no progress
	Mismatched   Kind = "foreign"   // a piece of another answer, or out of place
	Refused      Kind = "refused"   // answered with an error
)

// Error is a failure of one call to a target.
type Error struct {
	Op   string
	Kind Kind
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

// KindOf returns the kind of a target failure, or Broken for any other error.
func KindOf(err error) Kind {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return Broken
}
