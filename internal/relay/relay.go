package relay

import (
	"context"
	"log/slog"
	"net/http"

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
	stallTimeout           = 1400 * clock.Millis(1) // without an event, after which another target is asked beside one that is reported down
	stallCheckInterval     = 200 * clock.Millis(1)  // between checks whether a hedge has come to nothing
	lostLinkTimeout        = 400 * clock.Millis(1)  // the same, if this instance has lost its link to the target
	lostLinkGaps           = 2                      // multiple of the objective for the gap between events, or of the predicted time to the first one, for the same
	silentGaps             = 4                      // multiple of the objective for the gap between events, after which another target is asked beside one that is not reported down
	hedgeInterval          = 600 * clock.Millis(1)  // after a hedge that failed, or could not be had, until the next one
	maxReservationFailures = 3                      // failures to reserve memory after which a request is refused
	reservationDelay       = 100 * clock.Millis(1)  // after the first of these, until the next attempt; doubled after the next one
	answeringAfter         = 200 * clock.Millis(1)  // after the first event of an attempt, by when an engine has crashed if a part of the prompt is fatal
	minTimeLeft            = 20 * clock.Millis(1)   // before the deadline; a request with less time left is refused
)

// Relay forwards requests to targets and their answers to the callers.
type Relay struct {
	// Place selects the targets of one attempt.
	Place func(n board.Requirements) (*board.Placement, error)
	// Send sends a request to the target of a placement and returns once the header of the answer has arrived; lastEventID
	// is the id of the last event that the caller has received. It fails with TargetEvacuated or Withheld if that holds when the
	// connection to the target is open.
	Send func(ctx context.Context, r Request, p *board.Placement, lastEventID int) (*Answer, error)
	// Tickets reserves memory on helpers for prompts that are too large for one engine.
	Tickets *ticket.Manager
	// Blame learns which requests and parts of prompts crash targets.
	Blame *blame.Tracker
	// Refuse writes the answer to a caller that gets no answer from a target.
	Refuse func(w http.ResponseWriter, r Request, refusal Refusal)
	// Budget returns the retry budget of a service.
	Budget func(service string) *retry.Budget
	// OnStop arranges for a function to be called when the instance stops, and returns what undoes that. A request that has no
	// answer then is refused, rather than cut off a little later.
	OnStop func(f func()) (undo func() bool)
	// RetryAfter returns how long a refused caller is to wait before it tries again.
	RetryAfter func(r Request, reason Reason) clock.Millis
	// QuietTime returns for how long all targets of a service want no requests; zero if one takes some now. Nil if none asks for
	// that.
	QuietTime func(service string) clock.Millis
	// Room lets requests wait that cannot be placed now. Nil if none waits.
	Room *Room
}

// errStopped is why the context of a request ends when the instance stops.
var errStopped = eris.New("the instance stops")

// requestState is the state of one request across its attempts.
type requestState struct {
	Request
	sharedProgress
	print               string          // its id for package blame, by its fingerprint
	blamed              []string        // all ids of it for package blame
	ctx                 context.Context // of the whole request
	caller              context.Context // ends when the caller disconnects
	relay               *Relay
	w                   http.ResponseWriter
	exclude             map[string]bool // ids of targets to avoid, see board.Requirements.Exclude
	attemptsSent        int             // attempts that reached their target, or may have
	unreachableTargets  int             // attempts whose target was not reached
	reservationFailures int             // attempts whose memory could not be reserved
	mayHaveRun          bool            // a target may have run the request
	abortConn           bool            // close the connection to the caller, because the answer is incomplete
	eventsForwarded     int             // number of events forwarded to the caller
	eventsBefore        int             // number of events forwarded by earlier attempts
	serverError         *serverError    // that the current attempt got; nil if there is none to forward
	answering           bool            // the target of the current attempt answers it, see answeringAfter
	target              string          // id of the target of the current attempt
	rateLimit           *float64        // that the target named in its last answer
	predictedFirstEvent clock.Millis
	timeToFirstEvent    clock.Millis // since the request arrived
	helpers             []string     // ids of targets that prefill a part of the prompt
	longestGap          clock.Millis // between two events
	longestWait         clock.Millis // for room, see Room; zero before the first
	waited              clock.Millis // for room
}

// Serve forwards a request and writes the answer, or a refusal, to the caller. It panics with http.ErrAbortHandler if an
// answer cannot be completed.
func (rl *Relay) Serve(ctx context.Context, w http.ResponseWriter, r Request) {
	caller := ctx
	if r.Kind == AtMostOnce {
		ctx = context.WithoutCancel(ctx) // it may have an effect, so it is not cancelled when its caller disconnects
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline().Time())
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if rl.OnStop != nil {
		defer rl.OnStop(func() { stop(errStopped) })()
	}
	s := &requestState{Request: r, ctx: ctx, caller: caller, relay: rl, w: w, exclude: make(map[string]bool)}
	s.lastEventID, s.hasEvent = r.LastEventID, r.HasEvent || r.LastEventID > 0
	s.print = blame.Request(r.fingerprint())
	s.blamed = append([]string{s.print}, r.SharedParts...)
	rl.Budget(r.Service).RecordRequest()
	s.recordOutcome(s.serve(ctx))
	if s.abortConn {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	}
}

// retryable reports whether the request may be sent again after a target may have run it.
func (s *requestState) retryable() bool { return s.resumes(s.progress) }

// recordOutcome updates the metrics and logs the request with its outcome.
func (s *requestState) recordOutcome(outcome string) {
	took := clock.Now() - s.Arrived
	metrics.GetOrCreateCounter(`pier_relay_requests_total{outcome="` + outcome + `"}`).Inc()
	if s.abortConn {
		metrics.GetOrCreateCounter(`pier_relay_cut_total{reason="` + outcome + `"}`).Inc()
	}
	if s.timeToFirstEvent > 0 {
		metrics.GetOrCreateHistogram(`pier_relay_first_seconds{service="` + s.Service + `"}`).Update(float64(s.timeToFirstEvent) / 1000)
	}
	metrics.GetOrCreateHistogram(`pier_relay_seconds{service="` + s.Service + `"}`).Update(float64(took) / 1000)
	slog.Info("request", "request", s.ID, "service", s.Service, "customer", s.Customer, "config", s.ConfigVersion,
		"outcome", outcome, "cut", s.abortConn, "target", s.target, "limit", s.rateLimit, "helpers", s.helpers,
		"sent", s.attemptsSent, "unreachable", s.unreachableTargets, "prompt", s.PromptTokens, "parts", s.SharedParts, "print", s.print,
		"predicted_ms", int64(s.predictedFirstEvent), "first_ms", int64(s.timeToFirstEvent), "aim_ms", int64(s.FirstEventSLO),
		"events", s.eventsForwarded, "pause_ms", int64(s.longestGap), "pause_aim_ms", int64(s.EventGapSLO),
		"waited_ms", int64(s.waited), "left_ms", int64(s.Deadline-clock.Now()), "took_ms", int64(took))
}

// serve tries targets until the request is answered or refused, and returns the outcome.
func (s *requestState) serve(ctx context.Context) string {
	for {
		if s.deadline()-clock.Now() < minTimeLeft {
			return s.refuseForDeadline()
		}
		if wait, quarantined := s.relay.Blame.Quarantined(s.blamed); quarantined {
			return s.refuseFor(Quarantined, wait)
		}
		p, ended := s.place(ctx)
		if ended != "" {
			return ended
		}
		if p == nil {
			continue
		}
		outcome, tryNext := s.tryTarget(ctx, p)
		if outcome != "" {
			return outcome
		}
		if !tryNext {
			return s.giveUp(ctx)
		}
		if ctx.Err() != nil {
			return s.giveUp(ctx)
		}
	}
}

// giveUp ends a request that may not be retried: it refuses it with the reason that fits how its attempts ended, or closes
// the connection if the caller has disconnected.
func (s *requestState) giveUp(ctx context.Context) string {
	switch {
	case eris.Is(context.Cause(ctx), errStopped):
		return s.refuse(Stopped)
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
	if wait := waitOf(err); wait > 0 {
		return s.refuseFor(reason, wait)
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
	case board.Scarce:
		return Scarce
	case board.Limited:
		return Limited
	case board.Quiet:
		return Quiet
	case board.Evacuated:
		return Evacuated
	case board.Share:
		return Share
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
