package ticket

import "github.com/rotisserie/eris"

// Kind classifies a failure.
type Kind string

// The kinds of failure.
const (
	Refused  Kind = "taken"  // the engine does not grant the memory, or the call is invalid
	NoAnswer Kind = "silent" // the engine did not answer, so it may have carried the call out
	Closed   Kind = "closed" // the engine takes no new requests
)

// Error is a failed call to an engine.
type Error struct {
	Op     string
	Kind   Kind
	Target string
	Err    error
}

func (e *Error) Error() string {
	text := e.Op + " at " + e.Target + ": " + string(e.Kind)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether an error is an *Error of a kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
