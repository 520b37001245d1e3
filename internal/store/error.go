package store

import "github.com/rotisserie/eris"

// Kind classifies a failure of the object API.
type Kind string

// Kinds of failure.
const (
	NotFound       Kind = "not found"
	Conflict       Kind = "conflict"    // the object does not have the expected version
	Refused        Kind = "refused"     // the API rejected the call, which had no effect
	OutcomeUnknown Kind = "unsettled"   // a write may or may not have taken effect
	TooLarge       Kind = "too large"   // the value exceeds MaxValueBytes; nothing was sent
	Malformed      Kind = "malformed"   // the response could not be decoded
	Unavailable    Kind = "unavailable" // a read got no usable response
)

// Error describes a failed call to the object API.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether err is, or wraps, an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
