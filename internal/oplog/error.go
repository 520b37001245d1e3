package oplog

import "github.com/rotisserie/eris"

// Kind classifies a failure of the operation log.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable" // the object API does not answer
	NotOwner    Kind = "not owner"   // another instance writes the shard
	Corrupt     Kind = "corrupt"     // a stored value cannot be read
	Closed      Kind = "closed"
)

// Error is a failure of the operation log.
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

// Is reports whether err is a failure of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
