package quota

import "github.com/rotisserie/eris"

// Kind classifies a refusal.
type Kind string

// The kinds of refusal.
const (
	Full   Kind = "full"   // the account has no bytes left, and nobody who holds more could be closed
	Closed Kind = "closed" // the holder was closed for others
)

// Error is a refused reservation.
type Error struct {
	Op   string
	Kind Kind
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }

// Is reports whether err is, or wraps, an Error of any kind.
func Is(err error) bool {
	var e *Error
	return eris.As(err, &e)
}
