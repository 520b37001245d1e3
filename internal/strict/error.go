package strict

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const maxQuotedBytes = 64 // of what is wrong with a head

// Kind classifies what is wrong with a response.
type Kind string

// The kinds of failure.
const (
	InvalidStatus Kind = "status" // the status is none of a final response
	InvalidField  Kind = "field"  // the head has a line that is no field, or a field that cannot be there
	TooManyLines  Kind = "lines"  // the heads have more lines than maxHeadLines
)

// Error is a response that is no HTTP.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// refuse counts a response that is refused, and returns the error that quotes what is wrong with it.
func refuse(kind Kind, quoted string) *Error {
	metrics.GetOrCreateCounter(`pier_answer_refused_total{reason="` + string(kind) + `"}`).Inc()
	return &Error{Op: "read", Kind: kind, Err: eris.Errorf("%.*q", maxQuotedBytes, quoted)}
}

func (e *Error) Error() string { return e.Op + ": invalid " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
