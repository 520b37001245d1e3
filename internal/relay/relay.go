package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/retry"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

const (
	maxAnswer    = 16 << 20               // bytes of an answer that is not a stream
	dialRetries  = 3                      // targets that may prove unreachable without counting as attempts
	silentTime   = 1200 * clock.Millis(1) // without an event of a target that was found to be down
	silentPeriod = 200 * clock.Millis(1)
	holdTries    = 3                    // placements whose memory is asked for
	minLeft      = 20 * clock.Millis(1) // a request with less time left is not sent
)

// Relay passes requests on.
type Relay struct {
	Place func(n board.Requirements) (*board.Placement, error)
	// Send starts a request at a placement; after is the id of the last event that the caller has.
	Send func(ctx context.Context, r Request, p *board.Placement, after int) (*Answer, error)
	// Tickets holds memory on helpers for prompts that are too large for one engine.
	Tickets *ticket.Manager
	// Refuse answers a caller who gets no answer of a target.
	Refuse func(w http.ResponseWriter, r Request, no Refusal)
	// Budget returns the bounds of repeats for a service.
	Budget func(service string) *retry.Budget
	// RetryAfter says when a caller who was refused may come again.
	RetryAfter func(r Request, reason Reason) clock.Millis
}

// run is the state of one request over its attempts.
type run struct {
	Request
	ctx     context.Context // of the whole request
	relay   *Relay
	w       http.ResponseWriter
	exclude map[string]bool
	sent    int // attempts that reached a target, or may have
	dials   int // attempts that reached none
	holds   int // attempts for which the memory was not had
	ran     bool
	begun   bool        // the answer to the caller has begun
	broken  bool        // the connection to the caller is to be broken off
	lost    atomic.Bool // the target of this attempt was found to be down
	paid    atomic.Bool // the next attempt is taken from the budget already
	last    int         // id of the last event that was passed on
	events  int
	target  string
	wanted  clock.Millis // predicted time to the first event
	first   clock.Millis // time to the first event
	helpers []string     // targets that read a part
	heard   atomic.Int64 // when the last event came, or the attempt began, milliseconds
	pause   clock.Millis // longest between events
}

// Serve answers a request.
func (l *Relay) Serve(ctx context.Context, w http.ResponseWriter, r Request) {
	if r.Kind == AtMostOnce {
		ctx = context.WithoutCancel(ctx) // what may have an effect is not broken off when its caller leaves
	}
	ctx, cancel := context.WithDeadline(ctx, r.end().Time())
	defer cancel()
	s := &run{Request: r, ctx: ctx, relay: l, w: w, exclude: make(map[string]bool), last: r.LastEventID}
	l.Budget(r.Service).RecordRequest()
	s.note(s.serve(ctx))
	if s.broken {
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
	}
}

// note counts and logs what became of the request.
func (s *run) note(outcome string) {
	took := clock.Now() - s.Arrived
	metrics.GetOrCreateCounter(`pier_relay_requests_total{outcome="` + outcome + `"}`).Inc()
	if s.first > 0 {
		metrics.GetOrCreateHistogram(`pier_relay_first_seconds{service="` + s.Service + `"}`).Update(float64(s.first) / 1000)
	}
	metrics.GetOrCreateHistogram(`pier_relay_seconds{service="` + s.Service + `"}`).Update(float64(took) / 1000)
	slog.Info("request", "request", s.ID, "service", s.Service, "customer", s.Customer, "config", s.ConfigVersion,
		"outcome", outcome, "target", s.target, "helpers", s.helpers, "sent", s.sent, "unreachable", s.dials,
		"prompt", s.PromptTokens, "predicted_ms", int64(s.wanted), "first_ms", int64(s.first), "aim_ms", int64(s.FirstEventSLO),
		"events", s.events, "pause_ms", int64(s.pause), "pause_aim_ms", int64(s.EventGapSLO),
		"left_ms", int64(s.Deadline-clock.Now()), "took_ms", int64(took))
}

// serve tries targets until the request has an answer, and returns what became of it.
func (s *run) serve(ctx context.Context) string {
	for {
		if s.end()-clock.Now() < minLeft {
			return s.timeUp()
		}
		p, err := s.relay.Place(s.need(s.exclude))
		if err != nil {
			return s.refuse(placeReason(err))
		}
		s.target, s.wanted, s.helpers = p.Target.ID, p.PredictedFirstEvent, p.HelperIDs()
		done, again := s.attempt(ctx, p)
		if done != "" {
			return done
		}
		if p.HelperMemory == 0 && !s.blamed(p) {
			s.exclude[p.Target.ID] = true
		}
		if !again {
			return s.giveUp(ctx)
		}
		if ctx.Err() != nil {
			return s.timeUp()
		}
	}
}

// giveUp ends a request that may not be tried again.
func (s *run) giveUp(ctx context.Context) string {
	switch {
	case eris.Is(ctx.Err(), context.Canceled):
		return s.abort("caller_gone")
	case ctx.Err() != nil:
		return s.timeUp()
	case s.ran:
		return s.refuse(TargetFailed)
	default:
		return s.refuse(Refused)
	}
}

func (s *run) timeUp() string {
	if s.ran {
		return s.refuse(TimedOut)
	}
	return s.refuse(Expired)
}

// refuse tells the caller why there is no answer; an answer that has begun is broken off, so that it does not look whole.
func (s *run) refuse(reason Reason) string {
	if s.begun {
		return s.abort(string(reason))
	}
	no := Refusal{Reason: reason, MayHaveRun: s.ran}
	if !s.ran {
		no.RetryAfter = s.relay.RetryAfter(s.Request, reason)
	}
	s.relay.Refuse(s.w, s.Request, no)
	return string(reason)
}

// abort has the connection to the caller broken off once the request is counted.
func (s *run) abort(outcome string) string {
	s.broken = true
	return outcome
}

func placeReason(err error) Reason {
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
	default:
		return Full
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func count(reason string) {
	metrics.GetOrCreateCounter(`pier_relay_failed_attempts_total{reason="` + reason + `"}`).Inc()
}
