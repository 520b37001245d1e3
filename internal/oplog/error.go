package oplog

import "github.com/rotisserie/eris"

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable" // the object API does not answer
	NotOwner    Kind = "not owner"   // this instance is not the shard's writer
	Corrupt     Kind = "corrupt"     // a value cannot be encoded or decoded
	Closed      Kind = "closed"      // the log has been stopped
)

// Error reports a failure of the operation log.
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

// Is reports whether err is or wraps an Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
