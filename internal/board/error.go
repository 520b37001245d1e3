package board

// Kind classifies why a request has no place.
type Kind string

// The kinds of failure.
const (
	NoTarget Kind = "no target" // no target of the service is known
	TooLarge Kind = "too large" // no engine has the memory
	Full     Kind = "full"      // the answer could not begin before the deadline
	Costly   Kind = "costly"    // it would take more from others than it is worth
	Stopped  Kind = "stopped"   // the instance ends
)

// Error is a request that has no place.
type Error struct {
	Op   string
	Kind Kind
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }
