package store

import "github.com/rotisserie/eris"

// Kind classifies a failure of the object API.
type Kind string

// The kinds of failure.
const (
	NotFound       Kind = "not found"
	Conflict       Kind = "conflict"    // the condition on the version did not hold
	Refused        Kind = "refused"     // the API said that it did nothing
	OutcomeUnknown Kind = "unsettled"   // a write may or may not have taken effect
	TooLarge       Kind = "too large"   // the value is over the limit of the API
	Malformed      Kind = "malformed"   // the answer could not be read
	Unavailable    Kind = "unavailable" // a read got no answer
)

// Error is a failure of one call to the object API.
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

// Is reports whether err is a store failure of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
