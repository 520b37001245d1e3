package target

import "github.com/rotisserie/eris"

// Kind classifies a failed call to a target.
type Kind string

// The kinds of failure. Only NotProcessed and Leaving prove that the target did not process the request.
const (
	NotProcessed Kind = "untouched" // the connection failed, or the target states that it did not process the request
	Leaving      Kind = "leaving"   // as NotProcessed, and the target takes no new work
	Broken       Kind = "broken"    // the answer ended early or could not be read
	Stalled      Kind = "silent"    // nothing more of the answer arrived in time
	Mismatched   Kind = "foreign"   // a part of the answer has another attempt's id, a wrong offset or no valid form
	Refused      Kind = "refused"   // the target answered with an error status
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
