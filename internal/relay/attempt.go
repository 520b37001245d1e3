package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// tryTarget sends the request to one target. It returns the outcome if the request has ended, or else an empty outcome and
// whether another target may be tried.
func (s *requestState) tryTarget(ctx context.Context, placement *board.Placement) (outcome string, tryNext bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leases, err := s.reserveMemory(ctx, placement)
	if err != nil {
		placement.End(board.Inconclusive)
		s.reservationFailures++
		return "", s.reservationFailures < maxReservationFailures && ctx.Err() == nil
	}
	if leases != nil {
		defer leases.Release()
	}
	ended := make(chan struct{})
	defer close(ended)
	s.lastProgress.Store(int64(clock.Now()))
	s.eventsBefore, s.answering = s.eventsForwarded, false
	mayRetry := s.retryable() && s.attemptsSent+1 < max(s.MaxAttempts, 1)
	if mayRetry || placement.PartMemory > 0 {
		go s.cancelIfTargetDown(watchedAttempt{placement.TargetDown(), ended, mayRetry, placement.PartMemory > 0}, cancel)
	}
	if leases != nil {
		go s.cancelIfMemoryIdle(leases, s.lastProgress.Load(), watchedAttempt{placement.TargetDown(), ended, mayRetry, true}, cancel)
	}
	answer, err := s.relay.Send(ctx, s.Request, placement, s.lastEventID)
	if err == nil || KindOf(err) != NotSent {
		s.attemptsSent++
	}
	if err != nil {
		return s.handleFailure(ctx, placement, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if s.rateLimit = answer.RateLimit; s.rateLimit != nil || !answer.NotRun {
		placement.RecordRateLimit(s.rateLimit)
	}
	if answer.Notice != (board.Notice{}) {
		placement.RecordNotice(answer.Notice)
	}
	switch {
	case answer.NotRun:
		if helper := placement.FindHelper(answer.FaultyTarget); helper != "" {
			s.exclude[helper] = true
			placement.MarkHelperUnreachable(helper)
			placement.End(board.Inconclusive)
		} else {
			placement.End(board.Failed)
		}
		countFailedAttempt("not_run")
		return "", s.takeRetry()
	case impliesNotRun(answer.Status):
		return s.handleFailure(ctx, placement, &Error{Op: "send", Kind: NotRunUnproven})
	case answer.Status >= http.StatusInternalServerError:
		s.mayHaveRun = true
		return s.handleServerError(placement, answer)
	case s.responseStarted && !s.continues(answer):
		return s.handleFailure(ctx, placement, &Error{Op: "resume", Kind: Mismatched, Err: eris.Errorf("status %d, type %q", answer.Status, answer.Header.Get("Content-Type"))})
	case s.Kind == Stream && answer.Status == http.StatusOK:
		return s.forwardStream(ctx, placement, answer)
	default:
		return s.forwardWhole(ctx, placement, answer)
	}
}

// continues reports whether an answer may go on with the stream that the caller has a part of.
func (s *requestState) continues(answer *Answer) bool {
	return answer.Status == http.StatusOK && answer.Header.Get("Content-Type") == s.w.Header().Get("Content-Type")
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

// watchedAttempt is an attempt that is cancelled if its target goes down.
type watchedAttempt struct {
	targetDown, ended <-chan struct{} // closed when the target or a helper is reported down, and when the attempt has ended
	mayRetry          bool            // the request may be sent once more
	holdsMemory       bool            // the attempt has memory reserved
}

// cancelIfTargetDown cancels an attempt whose target is reported down, once the target has sent nothing for stallTimeout
// and the budget allows a retry. An attempt whose target still sends may finish. An attempt with reserved memory is
// cancelled even if no retry is allowed, so that the memory is not kept for a target that is down.
func (s *requestState) cancelIfTargetDown(watched watchedAttempt, cancel context.CancelFunc) {
	select {
	case <-watched.ended:
		return
	case <-watched.targetDown:
	}
	ticker := time.NewTicker(stallCheckInterval.Duration())
	defer ticker.Stop()
	for {
		if clock.Now()-clock.Millis(s.lastProgress.Load()) > stallTimeout && s.abandon(Stalled, watched, cancel) {
			return
		}
		select {
		case <-watched.ended:
			return
		case <-ticker.C:
		}
	}
}

// abandon cancels an attempt as a failure of the given kind if a retry is allowed or if it has reserved memory, and
// reports whether it did.
func (s *requestState) abandon(kind ErrorKind, watched watchedAttempt, cancel context.CancelFunc) bool {
	retry := watched.mayRetry && s.relay.Budget(s.Service).TakeRetry()
	if !retry && !watched.holdsMemory {
		return false
	}
	s.retryReserved.Store(retry)
	s.abandoned.Store(&kind)
	cancel()
	return true
}

// cancelIfMemoryIdle cancels an attempt that has got no event by the idle limit of its leases, if the engines say that the memory
// is not in use: its target does not work on the prompt, and others cannot use the memory.
func (s *requestState) cancelIfMemoryIdle(leases *ticket.LeaseSet, startedAt int64, watched watchedAttempt, cancel context.CancelFunc) {
	timer := time.NewTimer(s.relay.Tickets.IdleLimit().Duration())
	defer timer.Stop()
	select {
	case <-watched.ended:
		return
	case <-timer.C:
	}
	if s.lastProgress.Load() != startedAt || !leases.Idle(s.ctx) {
		return
	}
	select {
	case <-watched.ended:
	default:
		slog.Info("attempt abandoned, its leased memory is not used", "request", s.ID)
		s.abandon(MemoryIdle, watched, cancel)
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

// handleFailure reports a failed attempt to the board, logs it, and returns an empty outcome and whether another target
// may be tried.
func (s *requestState) handleFailure(ctx context.Context, p *board.Placement, err error) (string, bool) {
	kind := KindOf(err)
	if why := s.abandoned.Swap(nil); why != nil {
		kind, ctx = *why, s.ctx
	}
	slog.Info("attempt failed", "request", s.ID, "target", p.Target.ID, "error", err.Error(), "ended", ctx.Err() != nil,
		"events", s.eventsForwarded-s.eventsBefore, "parts", s.SharedParts, "print", s.print)
	if kind == NotSent {
		s.unreachableTargets++
		if ctx.Err() != nil {
			p.End(board.Inconclusive)
			return "", true
		}
		p.End(board.Unreachable)
		countFailedAttempt("unreachable")
		return "", s.unreachableTargets <= maxUnreachableTargets
	}
	s.mayHaveRun = true
	if ctx.Err() != nil {
		p.End(board.Inconclusive)
		return "", false
	}
	if !s.answering && kind == Broken {
		s.relay.Blame.RecordCrash(s.blamed, p.Target.ID)
	}
	p.End(board.Failed)
	countFailedAttempt(string(kind))
	return "", s.retryable() && s.takeRetry()
}

// takeRetry reports whether the request may be sent to one more target, and deducts the retry from the budget.
func (s *requestState) takeRetry() bool {
	if s.retryReserved.Swap(false) {
		return true
	}
	if s.attemptsSent >= max(s.MaxAttempts, 1) {
		return false
	}
	if !s.relay.Budget(s.Service).TakeRetry() {
		countFailedAttempt("budget_spent")
		return false
	}
	return true
}

// handleServerError handles an answer with a 5xx status: the request is retried if that is allowed, and otherwise the error
// is forwarded, unless it is too long to be kept.
func (s *requestState) handleServerError(p *board.Placement, answer *Answer) (string, bool) {
	body, whole, err := readBuffered(answer.Body)
	p.End(board.Failed)
	if s.retryable() && s.takeRetry() {
		countFailedAttempt("error_answer")
		return "", true
	}
	if err != nil || !whole || s.responseStarted {
		return "", false
	}
	s.writeAnswer(answer, body)
	return "error", false
}

// recordAnswering records that the target of the current attempt answers the request, so that neither it nor a part of its prompt is
// fatal.
func (s *requestState) recordAnswering() {
	if !s.answering {
		s.answering = true
		s.relay.Blame.RecordAnswer(s.blamed)
	}
}

// recordAnswered records a complete answer, unless it may be a rejection of a request that has not run.
func (s *requestState) recordAnswered(status int) {
	if status/100 == http.StatusOK/100 {
		s.recordAnswering()
	}
}

// readBuffered reads the first maxBufferedBytes of a body, and reports whether that is the whole body.
func readBuffered(body io.Reader) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	return data, len(data) <= maxBufferedBytes, err
}

// forwardWhole forwards an answer that is not a stream. A short one is read completely before.
func (s *requestState) forwardWhole(ctx context.Context, p *board.Placement, answer *Answer) (string, bool) {
	if length, err := strconv.Atoi(answer.Header.Get("Content-Length")); err == nil && length > maxAnswerBytes {
		return s.handleFailure(ctx, p, &Error{Op: "read", Kind: Broken, Err: eris.Errorf("answer of %d bytes is too long", length)})
	}
	body, whole, err := readBuffered(answer.Body)
	if err != nil {
		return s.handleFailure(ctx, p, &Error{Op: "read", Kind: Broken, Err: err})
	}
	s.mayHaveRun = true
	s.timeToFirstEvent = clock.Now() - s.Arrived
	if !whole {
		return s.forwardLarge(p, answer, body)
	}
	s.recordAnswered(answer.Status)
	p.End(board.Succeeded)
	s.writeAnswer(answer, body)
	return "answered", false
}

// forwardLarge forwards an answer as it arrives, after its first part. If it breaks or is too long, the connection to the
// caller is closed.
func (s *requestState) forwardLarge(p *board.Placement, answer *Answer, first []byte) (string, bool) {
	s.responseStarted = true
	s.writeAnswer(answer, first)
	limit := int64(maxAnswerBytes - len(first))
	copied, err := io.Copy(s.w, io.LimitReader(answer.Body, limit))
	if err == nil && copied < limit {
		s.recordAnswered(answer.Status)
		p.End(board.Succeeded)
		return "answered", false
	}
	slog.Info("answer not complete", "request", s.ID, "target", p.Target.ID, "bytes", copied, "error", err)
	p.End(board.Failed)
	countFailedAttempt("incomplete_answer")
	return s.abort("incomplete_answer"), false
}

// writeAnswer sends an answer of a target, with the given body, to the caller.
func (s *requestState) writeAnswer(answer *Answer, body []byte) {
	copyHeader(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
	_, _ = s.w.Write(body)
}

// helperFailed reports whether a helper of the placement, and not its primary target, caused the failure.
func (s *requestState) helperFailed(p *board.Placement) bool {
	return slices.ContainsFunc(p.Helpers, func(h board.Target) bool { return s.exclude[h.ID] })
}
