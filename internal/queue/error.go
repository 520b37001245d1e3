package queue

// Kind classifies why a request does not wait.
type Kind string

// The kinds of refusal.
const (
	Full    Kind = "full"     // the queue has no free entry, and no entry that comes after the request
	TooLate Kind = "too_late" // the request's longest wait ends before there is a try
	Closed  Kind = "closed"   // the instance stops
)

// Error is a refusal to let a request wait.
type Error struct {
	Op   string
	Kind Kind
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) }
