package detour

// Kind classifies a failure to open a connection; none of the connection's bytes were sent.
type Kind string

// The kinds of failure.
const (
	Unreachable Kind = "unreachable" // this instance and others do not reach the target
	NoCarrier   Kind = "no carrier"  // this instance does not reach the target, and no other one was found that tried
	Closed      Kind = "closed"      // a carrier knows that the target takes no requests
)

// Error is a failure to open a connection.
type Error struct {
	Op   string
	Kind Kind
	Err  error // of the direct way; nil if it was not tried
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
