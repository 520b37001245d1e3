package share

import "fmt"

// Kind classifies what is wrong with a value.
type Kind string

// The kinds of failure.
const (
	BadPriority Kind = "bad priority" // negative, not a number, or so large that its weight would be zero
)

// Error is a failure of an operation.
type Error struct {
	Op    string
	Kind  Kind
	Value float64
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %s %v", e.Op, e.Kind, e.Value) }
