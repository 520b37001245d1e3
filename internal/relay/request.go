package relay

import (
	"io"
	"net/http"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// Kind tells what may be repeated.
type Kind uint8

// The kinds of request.
const (
	AtMostOnce Kind = iota // runs at most once
	Idempotent             // idempotent
	Stream                 // answered by a series of events
)

// Request is a caller's request whose route is known.
type Request struct {
	ID               string
	Kind             Kind
	Resumable        bool   // a stream that may be continued by another target
	LastEventID      int    // id of the last event that the caller has
	Service          string // that runs it
	Customer         string
	ConfigVersion    uint64      // of the configuration by which it is served
	Header           http.Header // end-to-end headers
	Method           string
	Host             string
	Path             string // and query, as the caller sent them
	Body             []byte
	PromptTokens     int // tokens
	MaxOutputTokens  int // most tokens to generate
	FirstEventSLO    clock.Millis
	EventGapSLO      clock.Millis // longest wanted pause between events
	Arrived          clock.Millis
	Deadline         clock.Millis // of the caller, a point in time
	OperatorDeadline clock.Millis // of the operator, a point in time
	MaxAttempts      int          // targets to which it may be sent
}

// end is when the request is given up.
func (r Request) end() clock.Millis { return min(r.Deadline, r.OperatorDeadline) }

// repeatable reports whether the request may run again.
func (r Request) repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

func (r Request) need(exclude map[string]bool) board.Requirements {
	now := clock.Now()
	return board.Requirements{
		ID: r.ID, Service: r.Service, PromptTokens: r.PromptTokens, Output: r.MaxOutputTokens, FirstEventSLO: r.FirstEventSLO, EventGapSLO: r.EventGapSLO,
		Elapsed: now - r.Arrived, Deadline: r.end(), Exclude: exclude,
	}
}

// Answer is what a target has sent.
type Answer struct {
	Status       int
	Header       http.Header // to be passed on
	Body         io.ReadCloser
	NotRun       bool   // the target states that it has not run and will not run the request
	FaultyTarget string // id of another target that caused the failure, if the target names one
}

// Reason says why the caller gets no answer of a target.
type Reason string

// The reasons.
const (
	NotReady     Reason = "not_ready"     // the instance has no configuration
	NoRoute      Reason = "no_route"      // the configuration has no such route
	UnknownKey   Reason = "no_key"        // the caller's key is not known
	NoTarget     Reason = "no_target"     // the service has no target
	TooLarge     Reason = "too_large"     // no engine can hold the prompt
	Costly       Reason = "costly"        // the engines are loaded, and the prompt would make others late
	Full         Reason = "full"          // all targets are busy
	Refused      Reason = "refused"       // the targets that were tried did not run it
	Expired      Reason = "expired"       // the time was up before a target was tried
	TimedOut     Reason = "timed_out"     // the time was up while a target worked
	TargetFailed Reason = "target_failed" // a target may have run it and gave no whole answer
	Malformed    Reason = "malformed"     // the request can't be understood
	Draining     Reason = "draining"      // the instance stops
)

// Refusal is the answer to a caller who gets none of a target.
type Refusal struct {
	Reason     Reason
	MayHaveRun bool         // a target may have run it, or may still
	RetryAfter clock.Millis // after which the caller may come again; zero for no advice
}
