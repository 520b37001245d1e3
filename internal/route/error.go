package route

import (
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Error is a refusal to run a request; its kind is the reason that the caller is given.
type Error struct {
	Op   string
	Kind wire.Reason
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }

// ReasonOf returns the reason of a refusal, or overload for any other error.
func ReasonOf(err error) wire.Reason {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return wire.ReasonOverload
}
