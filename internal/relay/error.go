package relay

import "github.com/rotisserie/eris"

// ErrorKind classifies a failed attempt.
type ErrorKind string

// The kinds of failure.
const (
	NotSent         ErrorKind = "untouched" // the target was not reached, so it has not run the request
	TargetEvacuated ErrorKind = "evacuated" // the zone of the target, or of a helper, was evacuated before the request was sent
	Withheld        ErrorKind = "withheld"  // the target is cold and may get no request now, so it has got nothing of this one
	Broken          ErrorKind = "broken"    // the connection failed, or the answer ended early or could not be read
	Mismatched      ErrorKind = "foreign"   // the answer belongs to another request or to no target, or an event is out of sequence
	NotRunUnproven  ErrorKind = "unproven"  // a status such as 503, without the statement that the request has not run
	Stalled         ErrorKind = "silent"    // the target is down and silent, and another one goes on with the answer
	MemoryIdle      ErrorKind = "idle"      // the target sent nothing, and the memory that was leased was not used
)

// provesNotSent reports whether a target whose attempt has failed so has got nothing of the request.
func (k ErrorKind) provesNotSent() bool { return k == NotSent || k == TargetEvacuated || k == Withheld }

// Error is a failed attempt.
type Error struct {
	Op   string
	Kind ErrorKind
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

// KindOf returns the kind of a failed attempt, or Broken for any other error.
func KindOf(err error) ErrorKind {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind
	}
	return Broken
}
