package flow

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Job is an admitted request, to a model engine or a plain service.
type Job struct {
	ID              string
	Customer        config.Customer
	Profile         config.Profile
	IdempotencyKey  string // from the header of the caller
	Body            string // the prompt, or the body of a call
	PromptTokens    int    // the caller's count or, if that is lower, an estimate from the length
	MaxOutputTokens int    // maximum number of tokens to generate
	Deadline        clock.Millis
}

// Error tells why a request failed (Kind) and whether a target ran it (Ran).
type Error struct {
	Op   string
	Kind wire.Reason
	Ran  wire.Ran
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

// FailureOf returns why a request failed and whether it ran. An error of another type counts as a failure of the target
// after which it is unknown whether the request ran.
func FailureOf(err error) (wire.Reason, wire.Ran) {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind, e.Ran
	}
	return wire.ReasonTargetFailed, wire.RanUnknown
}

// notProcessed reports whether the error proves that the target did not act on the request.
func notProcessed(err error) bool {
	kind := target.KindOf(err)
	return kind == target.NotProcessed || kind == target.Leaving
}

func countRetry(reason string) {
	metrics.GetOrCreateCounter(`pier_retries_total{reason="` + reason + `"}`).Inc()
}
