package peer

import "github.com/rotisserie/eris"

// Kind classifies a failed call.
type Kind string

// The kinds of failure.
const (
	NotSent  Kind = "not sent"  // no byte reached the peer
	NoAnswer Kind = "no answer" // the peer may have handled the call
	Failed   Kind = "failed"    // the peer answered with an error
	Setup    Kind = "setup"     // the endpoint could not be started
)

// Error is a failure of one call to a peer.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Is reports whether err is a peer failure of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return eris.As(err, &e) && e.Kind == kind
}
