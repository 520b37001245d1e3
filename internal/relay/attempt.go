package relay

import (
	"context"
	"log/slog"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// attempt is one attempt to have a target answer the request.
type attempt struct {
	ctx       context.Context
	cancel    context.CancelFunc
	placement *board.Placement
	leases    *ticket.LeaseSet // nil if it needs none
	answer    *Answer          // nil until its header has arrived
}

// newAttempt reserves the memory that a placement needs on its engines.
func (s *requestState) newAttempt(ctx context.Context, p *board.Placement) (*attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	leases, err := s.reserveMemory(ctx, p)
	if err != nil {
		cancel()
		return nil, err
	}
	return &attempt{ctx: ctx, cancel: cancel, placement: p, leases: leases}, nil
}

// close ends the attempt's connection and releases its memory.
func (a *attempt) close() {
	a.cancel()
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	if a.leases != nil {
		a.leases.Release()
	}
}

// send sends the request, to be resumed after the last event that the caller has, and returns once the header of the answer has arrived.
func (a *attempt) send(rl *Relay, r Request, since progress) error {
	if a.placement.Evacuated() {
		return errEvacuated
	}
	r.HasEvent = since.hasEvent
	answer, err := rl.Send(a.ctx, r, a.placement, since.lastEventID)
	if err != nil {
		return err
	}
	if answer.Status < http.StatusOK {
		_ = answer.Body.Close()
		return &Error{Op: "send", Kind: Mismatched, Err: eris.Errorf("status %d", answer.Status)}
	}
	a.answer = answer
	if answer.RateLimit != nil || !answer.NotRun {
		a.placement.RecordRateLimit(answer.RateLimit)
	}
	if answer.Notice != (board.Notice{}) {
		a.placement.RecordNotice(answer.Notice)
	}
	return nil
}

// errEvacuated is the error of an attempt whose zone was evacuated while it waited for reservations.
var errEvacuated = &Error{Op: "send", Kind: TargetEvacuated}

// sent reports whether the target may have got the request, given the error of send.
func sent(err error) bool { return err == nil || !KindOf(err).provesNotSent() }

// followUp says what may follow an attempt that has not answered the request.
type followUp uint8

const (
	noFollowUp       followUp = iota // the request is not sent again
	freeFollowUp                     // another target may be tried, as this one has got nothing
	placedAnew                       // the request is placed once more, as its target was evacuated before it was sent
	budgetedFollowUp                 // another target may be tried if the budget allows
)

// tryTarget sends the request to one target. If that falls silent, a hedge at another target may take its place. It returns the
// outcome if the request has ended, or else an empty outcome and whether another target may be tried.
func (s *requestState) tryTarget(ctx context.Context, p *board.Placement) (outcome string, tryNext bool) {
	current, err := s.newAttempt(ctx, p)
	if err != nil {
		evacuated := p.Evacuated()
		p.End(board.Inconclusive)
		if evacuated {
			countFailedAttempt(string(TargetEvacuated))
			return "", true
		}
		return "", s.awaitReservation(ctx, err)
	}
	for {
		w := s.watch(ctx, current)
		outcome, next := s.runAttempt(current)
		current.close() // before the hedge is awaited, so that its memory is free
		hedge := w.stop(outcome == "" && next != noFollowUp)
		s.attemptsSent += w.sent
		s.mayHaveRun = s.mayHaveRun || w.mayHaveRun
		if hedge != nil {
			s.exclude[current.placement.Target.ID] = true
			current = hedge
			continue
		}
		if outcome != "" || next == noFollowUp {
			return outcome, false
		}
		if next == placedAnew {
			return "", true
		}
		if current.placement.PartMemory == 0 && !s.helperFailed(current.placement) {
			s.exclude[current.placement.Target.ID] = true
		}
		if next == freeFollowUp || s.takeRetry() {
			return "", true
		}
		return s.forwardServerError(), false
	}
}

// runAttempt sends the request, unless that is done, and forwards the answer.
func (s *requestState) runAttempt(a *attempt) (outcome string, next followUp) {
	s.target, s.predictedFirstEvent, s.helpers = a.placement.Target.ID, a.placement.PredictedFirstEvent, a.placement.HelperIDs()
	s.eventsBefore, s.answering, s.serverError = s.eventsForwarded, false, nil
	if a.answer == nil {
		err := a.send(s.relay, s.Request, s.progress)
		if sent(err) {
			s.attemptsSent++
		}
		if err != nil {
			return s.handleFailure(a, err)
		}
	}
	s.rateLimit = a.answer.RateLimit
	switch answer := a.answer; {
	case answer.NotRun:
		return s.handleNotRun(a)
	case impliesNotRun(answer.Status):
		return s.handleFailure(a, &Error{Op: "send", Kind: NotRunUnproven})
	case answer.Status >= http.StatusInternalServerError:
		s.mayHaveRun = true
		return s.handleServerError(a)
	case s.responseStarted && !continues(answer, s.contentType):
		return s.handleFailure(a, notContinued(answer))
	case s.Kind == Stream && answer.Status == http.StatusOK:
		return s.forwardStream(a)
	default:
		return s.forwardWhole(a)
	}
}

// continues reports whether an answer may go on with a stream of the given content type that the caller has a part of.
func continues(answer *Answer, contentType string) bool {
	return answer.Status == http.StatusOK && answer.Header.Get("Content-Type") == contentType
}

// notContinued is the error for an answer that does not go on with a stream.
func notContinued(answer *Answer) error {
	return &Error{Op: "resume", Kind: Mismatched, Err: eris.Errorf("status %d, type %q", answer.Status, answer.Header.Get("Content-Type"))}
}

// impliesNotRun reports whether a caller takes a status to mean that its request has not run. Such a status is forwarded
// only if the target states explicitly that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// reserveMemory reserves the memory that a placement needs on its engines; it returns nil if it needs none.
func (s *requestState) reserveMemory(ctx context.Context, p *board.Placement) (*ticket.LeaseSet, error) {
	engines := p.Leased()
	if len(engines) == 0 {
		return nil, nil
	}
	leases := make([]ticket.Lease, len(engines))
	for i, engine := range engines {
		leases[i] = ticket.Lease{ID: p.LeaseID(i), Target: engine.ID, Addr: engine.Addr, Born: engine.Born, Tokens: p.PartMemory}
	}
	return s.relay.Tickets.Acquire(ctx, leases)
}

// awaitReservation waits after memory could not be reserved, if others hold it: it may be free soon. It reports whether the request may
// be tried again.
func (s *requestState) awaitReservation(ctx context.Context, err error) bool {
	s.reservationFailures++
	if s.reservationFailures >= maxReservationFailures {
		return false
	}
	if ticket.Is(err, ticket.Refused) {
		_ = clock.Sleep(ctx, reservationDelay<<(s.reservationFailures-1))
	}
	return ctx.Err() == nil
}

// handleNotRun reports to the board that a target, or a helper that it names, has rejected the request.
func (s *requestState) handleNotRun(a *attempt) (string, followUp) {
	if helper := endNotRun(a); helper != "" {
		s.exclude[helper] = true
	}
	countFailedAttempt("not_run")
	return "", budgetedFollowUp
}

// endNotRun ends the placement of an attempt that was rejected. It returns the helper because of which it was, if there is one.
func endNotRun(a *attempt) (helper string) {
	helper = a.placement.FindHelper(a.answer.FaultyTarget)
	if helper == "" {
		a.placement.End(board.Failed)
		return ""
	}
	a.placement.MarkHelperUnreachable(helper)
	a.placement.End(board.Inconclusive)
	return helper
}

// handleFailure reports a failed attempt to the board, logs it, and returns an empty outcome and what may follow.
func (s *requestState) handleFailure(a *attempt, err error) (string, followUp) {
	kind, ctx := KindOf(err), a.ctx
	if why := s.endedHere(); why != "" {
		kind, ctx = why, s.ctx
	}
	s.logFailure(a, kind, err)
	switch kind {
	case NotSent:
		return s.handleNotSent(a)
	case TargetEvacuated, Withheld:
		a.placement.End(board.Inconclusive)
		countFailedAttempt(string(kind))
		if kind == TargetEvacuated {
			return "", placedAnew // its target may be chosen again when the evacuation has ended
		}
		return "", freeFollowUp
	}
	s.mayHaveRun = true
	if ctx.Err() != nil {
		a.placement.End(board.Inconclusive)
		return "", noFollowUp
	}
	if !s.answering && kind == Broken {
		s.relay.Blame.RecordCrash(s.blamed, a.placement.Target.ID)
	}
	a.placement.End(board.Failed)
	countFailedAttempt(string(kind))
	if !s.retryable() {
		return "", noFollowUp
	}
	return "", budgetedFollowUp
}

// handleNotSent reports to the board that a target was not reached, unless the request has ended meanwhile.
func (s *requestState) handleNotSent(a *attempt) (string, followUp) {
	s.unreachableTargets++
	if a.ctx.Err() != nil {
		a.placement.End(board.Inconclusive)
		return "", freeFollowUp
	}
	a.placement.End(board.Unreachable)
	countFailedAttempt("unreachable")
	if s.unreachableTargets > maxUnreachableTargets {
		return "", noFollowUp
	}
	return "", freeFollowUp
}

// logFailure logs an attempt that has failed, or that was ended here.
func (s *requestState) logFailure(a *attempt, kind ErrorKind, err error) {
	slog.Info("attempt failed", "request", s.ID, "target", a.placement.Target.ID, "kind", kind, "error", err.Error(), "ended", s.ctx.Err() != nil,
		"silent_ms", int64(clock.Now()-s.progressAt), "events", s.eventsForwarded-s.eventsBefore, "parts", s.SharedParts, "print", s.print)
}

// takeRetry reports whether the request may be sent to one more target, and deducts the retry from the budget.
func (s *requestState) takeRetry() bool {
	if s.attemptsSent >= max(s.MaxAttempts, 1) {
		return false
	}
	if !s.relay.Budget(s.Service).TakeRetry() {
		countFailedAttempt("budget_spent")
		slog.Info("not tried again, the retry budget is spent", "request", s.ID, "service", s.Service, "sent", s.attemptsSent)
		return false
	}
	return true
}

// helperFailed reports whether a helper of the placement, and not its primary target, caused the failure.
func (s *requestState) helperFailed(p *board.Placement) bool {
	return slices.ContainsFunc(p.Helpers, func(h board.Target) bool { return s.exclude[h.ID] })
}
