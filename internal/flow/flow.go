package flow

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Job is an admitted request.
type Job struct {
	ID       string
	Customer config.Customer
	Profile  config.Profile
	Key      string // the caller's idempotency key
	Body     string // prompt, or body of a call
	Tokens   int    // of the prompt
	Output   int    // most tokens to generate
	Deadline clock.Millis
}

// Error says why a request failed and whether it ran.
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

// FailureOf returns the reason of a failure and whether the request ran.
func FailureOf(err error) (wire.Reason, wire.Ran) {
	var e *Error
	if eris.As(err, &e) {
		return e.Kind, e.Ran
	}
	return wire.ReasonTargetFailed, wire.RanUnknown
}

func notProcessed(err error) bool {
	kind := target.KindOf(err)
	return kind == target.NotProcessed || kind == target.Leaving
}

func countRetry(reason string) {
	metrics.GetOrCreateCounter(`pier_retries_total{reason="` + reason + `"}`).Inc()
}
