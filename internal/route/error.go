package route

import (
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Error reports why a request was refused. Kind is the reason that the caller receives.
type Error struct {
	Op   string
	Kind wire.Reason
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }

// ReasonOf returns the reason for a refusal, or wire.ReasonOverload for any other error.
func ReasonOf(err error) wire.Reason {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return wire.ReasonOverload
}
