package answer

// Kind classifies what is wrong with a response.
type Kind string

// The kinds of failure.
const (
	InvalidStatus Kind = "status" // the status is none of a final response
	InvalidField  Kind = "field"  // the head has a line that is no field, or a field that cannot be there
)

// Error is a response that is no HTTP.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": invalid " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
