package board

import "github.com/corianderpier/corianderpier/internal/clock"

// Kind classifies why a request was not placed.
type Kind string

// The kinds of failure.
const (
	NoTarget  Kind = "no target" // no target of the service is known
	TooLarge  Kind = "too large" // the engines' memory cannot hold it, even if they were idle
	Full      Kind = "full"      // no engine has enough free memory at present
	Costly    Kind = "costly"    // its predicted cost, by its own lateness and by delay to others, exceeds its value
	Scarce    Kind = "scarce"    // nearly all slots are in use, and it would be late
	Limited   Kind = "limited"   // all targets of the service have reached the rate limits that they name, or bear while they are cold
	Quiet     Kind = "quiet"     // all targets of the service want no requests for a while
	Stopped   Kind = "stopped"   // the instance is shutting down
	Evacuated Kind = "evacuated" // all targets of the service are in evacuated zones
	Share     Kind = "share"     // all targets are in use, and its customer uses far more than its share
)

// Error is a failure to place a request.
type Error struct {
	Op   string
	Kind Kind
	Wait clock.Millis // until a target may take the request; zero if that is not known
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }
