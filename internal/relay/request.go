package relay

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

const fingerprintBytes = 12 // of a hash, which travel between instances

// Kind tells how a request is answered and whether it may be retried.
type Kind uint8

// The kinds of request.
const (
	AtMostOnce Kind = iota // not sent again once a target may have run it
	Idempotent             // may run more than once
	Stream                 // answered by a stream of server-sent events
)

// Request is a caller's request whose route is known.
type Request struct {
	ID               string // given by the caller
	Kind             Kind
	Resumable        bool        // another target may continue the stream
	LastEventID      int         // of the last event that the caller has; zero also if it has none
	HasEvent         bool        // the caller has an event with an id, whatever that is
	Service          string      // name of the service that runs the request
	Customer         string      // name; empty if the request has none
	Priority         float64     // of the customer, or else of the route; 0 is the highest
	ConfigVersion    uint64      // version of the configuration that the route comes from
	Header           http.Header // end-to-end headers
	Method           string
	Host             string
	Path             string // with the query, as the caller sent it
	Body             []byte
	PromptTokens     int          // zero for a plain service
	MaxOutputTokens  int          // limit of generated tokens
	SharedParts      []string     // ids of the parts of the prompt, without the last one, which no other request shares
	PartList         string       // all parts of the prompt, as the caller names them
	FirstEventSLO    clock.Millis // objective for the time to the first event
	EventGapSLO      clock.Millis // objective for the longest gap between events
	Arrived          clock.Millis // time at which it arrived
	Deadline         clock.Millis // after which the caller no longer waits
	OperatorDeadline clock.Millis // set by the operator for the route
	MaxAttempts      int          // limit of targets to which it is sent, without those that prove unreachable
}

// deadline returns the time after which the request is no longer tried.
func (r Request) deadline() clock.Millis { return min(r.Deadline, r.OperatorDeadline) }

// retryable reports whether the request may be sent again after a target may have run it.
func (r Request) retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// fingerprint returns what is the same for a request that its caller sends again with another id.
func (r Request) fingerprint() []byte {
	hash := sha256.New()
	for _, field := range []string{r.Method, r.Host, r.Path, r.Customer, r.PartList} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(field), field)
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum(nil)[:fingerprintBytes]
}

// resumes reports whether another target may go on with an answer that has got so far. A stream that the caller has a part of must
// have got to an event with an id.
func (r Request) resumes(p progress) bool { return r.retryable() && (!p.responseStarted || p.numbered) }

// placementRequirements returns what the board needs to know to place the next attempt, when the answer has got so far; exclude are
// ids of targets. Once a stream has begun, its caller waits for the next event since the last one.
func (r Request) placementRequirements(p progress, exclude map[string]bool) board.Requirements {
	now, waitingSince := clock.Now(), r.Arrived
	if p.responseStarted {
		waitingSince = p.stepAt
	}
	return board.Requirements{
		ID: r.ID, Service: r.Service, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		FirstEventSLO: r.FirstEventSLO, EventGapSLO: r.EventGapSLO, Elapsed: now - waitingSince, Deadline: r.deadline(),
		Exclude: exclude, Begun: p.responseStarted, Customer: r.Customer, Priority: r.Priority,
	}
}

// Answer is the response of a target.
type Answer struct {
	Status       int
	Header       http.Header // end-to-end headers, to be forwarded
	Body         io.ReadCloser
	RateLimit    *float64 // requests per second that the target takes from all instances together; nil if it names no limit
	NotRun       bool     // the target states that it has not run and will not run the request
	Notice       board.Notice
	FaultyTarget string // id of another target that caused the failure, if the target names one
}

// Reason says why the caller gets no answer from a target.
type Reason string

// The reasons for a refusal; the values go to callers, logs and metrics.
const (
	NotReady     Reason = "not_ready"      // the instance has no configuration
	NoRoute      Reason = "no_route"       // the configuration has no such route
	UnknownKey   Reason = "no_key"         // no customer has the caller's key
	NoTarget     Reason = "no_target"      // the service has no target
	TooLarge     Reason = "too_large"      // no engine can hold the prompt
	Costly       Reason = "costly"         // the engines are busy, and the prompt would make other requests miss their objectives
	Scarce       Reason = "scarce"         // nearly all slots of the engines are in use, and the answer would be late
	Full         Reason = "full"           // no engine has enough free memory, or the request cannot be placed for another reason
	Limited      Reason = "limited"        // all targets have reached the rate limits that they name, or bear while they are cold
	Quiet        Reason = "quiet"          // all targets want no requests for a while
	Refused      Reason = "refused"        // none of the targets that were tried ran the request
	Expired      Reason = "expired"        // the deadline passed, or was too near, before the request could have run
	TimedOut     Reason = "timed_out"      // the deadline passed, or was too near for a retry, after a target may have run the request
	TargetFailed Reason = "target_failed"  // a target may have run the request, but gave no complete answer
	Malformed    Reason = "malformed"      // the request is invalid
	Quarantined  Reason = "quarantined"    // engines crashed under a part of the prompt, see package blame
	Draining     Reason = "draining"       // the instance shuts down, and might not finish the request
	Stopped      Reason = "stopped"        // the instance shut down before there was an answer
	BodyTooLarge Reason = "body_too_large" // the body is longer than the configuration allows
	BodyLate     Reason = "body_late"      // the body did not come in time
	NoMemory     Reason = "memory"         // the instance has no memory for the request
	Evacuated    Reason = "evacuated"      // all targets of the service are in evacuated availability zones
	Share        Reason = "share"          // all targets are in use, and the customer uses far more than its share
)

// Refusal is the answer to a caller that gets none from a target.
type Refusal struct {
	Reason     Reason
	MayHaveRun bool         // a target may have run the request, or may still run it
	RetryAfter clock.Millis // time after which the caller may try again; zero for no advice
}
