package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/blame"
	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/retry"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

const (
	maxAnswerBytes         = 16 << 20               // of an answer that is not a stream; a longer one fails
	maxBufferedBytes       = 64 << 10               // of such an answer that are read before the caller gets any, so that it may be retried
	maxUnreachableTargets  = 3                      // targets of a request that may prove unreachable without counting as attempts
	stallTimeout           = 1200 * clock.Millis(1) // without an event, after which an attempt at a target that is reported down is cancelled
	stallCheckInterval     = 200 * clock.Millis(1)
	maxReservationFailures = 3                     // failures to reserve memory after which a request is refused
	answeringAfter         = 200 * clock.Millis(1) // after the first event of an attempt, by when an engine has crashed if a part of the prompt is fatal
	minTimeLeft            = 20 * clock.Millis(1)  // before the deadline; a request with less time left is refused
)

// Relay forwards requests to targets and their answers to the callers.
type Relay struct {
	// Place selects the targets of one attempt.
	Place func(n board.Requirements) (*board.Placement, error)
	// Send sends a request to the target of a placement and returns once the header of the answer has arrived; lastEventID
	// is the id of the last event that the caller has received.
	Send func(ctx context.Context, r Request, p *board.Placement, lastEventID int) (*Answer, error)
	// Tickets reserves memory on helpers for prompts that are too large for one engine.
	Tickets *ticket.Manager
	// Blame learns which parts of prompts crash engines.
	Blame *blame.Tracker
	// Refuse writes the answer to a caller that gets no answer from a target.
	Refuse func(w http.ResponseWriter, r Request, refusal Refusal)
	// Budget returns the retry budget of a service.
	Budget func(service string) *retry.Budget
	// RetryAfter returns how long a refused caller is to wait before it tries again.
	RetryAfter func(r Request, reason Reason) clock.Millis
	// QuietTime returns for how long all targets of a service want no requests; zero if one takes some now. Nil if none asks for
	// that.
	QuietTime func(service string) clock.Millis
}

// requestState is the state of one request across its attempts.
type requestState struct {
	Request
	ctx                 context.Context // of the whole request
	relay               *Relay
	w                   http.ResponseWriter
	exclude             map[string]bool           // ids of targets to avoid, see board.Requirements.Exclude
	attemptsSent        int                       // attempts that reached their target, or may have
	unreachableTargets  int                       // attempts whose target was not reached
	reservationFailures int                       // attempts whose memory could not be reserved
	mayHaveRun          bool                      // a target may have run the request
	responseStarted     bool                      // the status and header have been sent to the caller
	numbered            bool                      // an event with an id has been forwarded to the caller, so that the stream can be resumed
	abortConn           bool                      // close the connection to the caller, because the answer is incomplete
	abandoned           atomic.Pointer[ErrorKind] // why the current attempt was cancelled here; nil if it was not
	retryReserved       atomic.Bool               // the next attempt is already deducted from the retry budget
	lastEventID         int                       // of the last event forwarded to the caller
	eventsForwarded     int                       // number of events forwarded to the caller
	eventsBefore        int                       // number of events forwarded by earlier attempts
	answering           bool                      // the target of the current attempt answers it, see answeringAfter
	target              string                    // id of the target of the current attempt
	rateLimit           *float64                  // that the target named in its last answer
	predictedFirstEvent clock.Millis
	timeToFirstEvent    clock.Millis // since the request arrived
	helpers             []string     // ids of targets that prefill a part of the prompt
	lastProgress        atomic.Int64 // time of the last event, or of the start of the attempt, in milliseconds
	longestGap          clock.Millis // between two events
}

// Serve forwards a request and writes the answer, or a refusal, to the caller. It panics with http.ErrAbortHandler if an
// answer cannot be completed.
func (rl *Relay) Serve(ctx context.Context, w http.ResponseWriter, r Request) {
	if r.Kind == AtMostOnce {
		ctx = context.WithoutCancel(ctx) // it may have an effect, so it is not cancelled when its caller disconnects
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline().Time())
	defer cancel()
	s := &requestState{Request: r, ctx: ctx, relay: rl, w: w, exclude: make(map[string]bool), lastEventID: r.LastEventID}
	rl.Budget(r.Service).RecordRequest()
	s.recordOutcome(s.serve(ctx))
	if s.abortConn {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	}
}

// retryable reports whether the request may be sent again after a target may have run it. A stream that the caller has a part
// of must have got to an event with an id, from which another target can go on.
func (s *requestState) retryable() bool {
	return s.Request.retryable() && (!s.responseStarted || s.numbered)
}

// recordOutcome updates the metrics and logs the request with its outcome.
func (s *requestState) recordOutcome(outcome string) {
	took := clock.Now() - s.Arrived
	metrics.GetOrCreateCounter(`pier_relay_requests_total{outcome="` + outcome + `"}`).Inc()
	if s.timeToFirstEvent > 0 {
		metrics.GetOrCreateHistogram(`pier_relay_first_seconds{service="` + s.Service + `"}`).Update(float64(s.timeToFirstEvent) / 1000)
	}
	metrics.GetOrCreateHistogram(`pier_relay_seconds{service="` + s.Service + `"}`).Update(float64(took) / 1000)
	slog.Info("request", "request", s.ID, "service", s.Service, "customer", s.Customer, "config", s.ConfigVersion,
		"outcome", outcome, "target", s.target, "limit", s.rateLimit, "helpers", s.helpers, "sent", s.attemptsSent, "unreachable", s.unreachableTargets,
		"prompt", s.PromptTokens, "parts", s.SharedParts, "predicted_ms", int64(s.predictedFirstEvent), "first_ms", int64(s.timeToFirstEvent), "aim_ms", int64(s.FirstEventSLO),
		"events", s.eventsForwarded, "pause_ms", int64(s.longestGap), "pause_aim_ms", int64(s.EventGapSLO),
		"left_ms", int64(s.Deadline-clock.Now()), "took_ms", int64(took))
}

// serve tries targets until the request is answered or refused, and returns the outcome.
func (s *requestState) serve(ctx context.Context) string {
	for {
		if s.deadline()-clock.Now() < minTimeLeft {
			return s.refuseForDeadline()
		}
		if wait, quarantined := s.relay.Blame.Quarantined(s.SharedParts); quarantined {
			return s.refuseFor(Quarantined, wait)
		}
		p, err := s.relay.Place(s.placementRequirements(s.exclude))
		if err != nil {
			return s.refuseUnplaced(err)
		}
		s.target, s.predictedFirstEvent, s.helpers = p.Target.ID, p.PredictedFirstEvent, p.HelperIDs()
		outcome, tryNext := s.tryTarget(ctx, p)
		if outcome != "" {
			return outcome
		}
		if p.PartMemory == 0 && !s.helperFailed(p) {
			s.exclude[p.Target.ID] = true
		}
		if !tryNext {
			return s.giveUp(ctx)
		}
		if ctx.Err() != nil {
			return s.refuseForDeadline()
		}
	}
}

// giveUp ends a request that may not be retried: it refuses it with the reason that fits how its attempts ended, or closes
// the connection if the caller has disconnected.
func (s *requestState) giveUp(ctx context.Context) string {
	switch {
	case eris.Is(ctx.Err(), context.Canceled):
		return s.abort("caller_gone")
	case ctx.Err() != nil:
		return s.refuseForDeadline()
	case s.mayHaveRun:
		return s.refuse(TargetFailed)
	default:
		return s.refuseTurnedAway()
	}
}

// refuseTurnedAway refuses a request that its targets have turned away. If all targets of the service want no requests now, the
// caller is to come back when the first of them takes some.
func (s *requestState) refuseTurnedAway() string {
	retryAfter := s.relay.RetryAfter(s.Request, Refused)
	if s.relay.QuietTime != nil {
		retryAfter = max(retryAfter, s.relay.QuietTime(s.Service))
	}
	return s.refuseFor(Refused, retryAfter)
}

// refuseForDeadline refuses a request whose deadline has passed or is too near for another attempt.
func (s *requestState) refuseForDeadline() string {
	if s.mayHaveRun {
		return s.refuse(TimedOut)
	}
	return s.refuse(Expired)
}

// refuseUnplaced refuses a request for which Place has returned an error. If that says when a target may take the request, the
// caller may try again then.
func (s *requestState) refuseUnplaced(err error) string {
	reason := refusalReason(err)
	var e *board.Error
	if eris.As(err, &e) && e.Wait > 0 {
		return s.refuseFor(reason, e.Wait)
	}
	return s.refuse(reason)
}

// refuse tells the caller why there is no answer, and when to try again.
func (s *requestState) refuse(reason Reason) string {
	return s.refuseFor(reason, s.relay.RetryAfter(s.Request, reason))
}

// refuseFor is refuse with the time after which the caller may try again. If part of an answer has been sent already, the
// connection is closed instead, so that the caller does not mistake it for a complete answer.
func (s *requestState) refuseFor(reason Reason, retryAfter clock.Millis) string {
	if s.responseStarted {
		return s.abort(string(reason))
	}
	refusal := Refusal{Reason: reason, MayHaveRun: s.mayHaveRun}
	if !s.mayHaveRun {
		refusal.RetryAfter = retryAfter
	}
	s.relay.Refuse(s.w, s.Request, refusal)
	return string(reason)
}

// abort makes Serve close the connection to the caller after the outcome is recorded.
func (s *requestState) abort(outcome string) string {
	s.abortConn = true
	return outcome
}

// refusalReason returns the reason to give to the caller for an error of Place.
func refusalReason(err error) Reason {
	var e *board.Error
	if !eris.As(err, &e) {
		return Full
	}
	switch e.Kind {
	case board.NoTarget:
		return NoTarget
	case board.TooLarge:
		return TooLarge
	case board.Costly:
		return Costly
	case board.Limited:
		return Limited
	case board.Quiet:
		return Quiet
	default:
		return Full
	}
}

// copyHeader sets in one header all fields of another.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// countFailedAttempt counts a failed attempt in the metrics.
func countFailedAttempt(reason string) {
	metrics.GetOrCreateCounter(`pier_relay_failed_attempts_total{reason="` + reason + `"}`).Inc()
}
