package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/ticket"
)

// attempt tries one target; it returns what became of the request, or whether another target may be tried.
func (s *run) attempt(ctx context.Context, p *board.Placement) (done string, again bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	release, err := s.hold(ctx, p)
	if err != nil {
		p.End(board.Inconclusive)
		s.holds++
		return "", s.holds < holdTries && ctx.Err() == nil
	}
	defer release()
	ended := make(chan struct{})
	defer close(ended)
	s.heard.Store(int64(clock.Now()))
	more := s.repeatable() && s.sent+1 < max(s.MaxAttempts, 1)
	if more || p.HelperMemory > 0 {
		go s.watch(watched{p.TargetDown(), ended, more, p.HelperMemory > 0}, cancel)
	}
	answer, err := s.relay.Send(ctx, s.Request, p, s.last)
	if err == nil || KindOf(err) != NotSent {
		s.sent++
	}
	if err != nil {
		return s.failed(ctx, p, err)
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.NotRun:
		if helper := p.FindHelper(answer.FaultyTarget); helper != "" {
			s.exclude[helper] = true
			p.MarkHelperUnreachable(helper)
			p.End(board.Inconclusive)
		} else {
			p.End(board.Failed)
		}
		count("not_run")
		return "", s.another()
	case promises(answer.Status):
		return s.failed(ctx, p, &Error{Op: "send", Kind: NotRunUnproven})
	case answer.Status >= http.StatusInternalServerError:
		s.ran = true
		return s.errorAnswer(p, answer)
	case s.Kind == Stream && answer.Status == http.StatusOK:
		return s.stream(ctx, p, answer)
	default:
		return s.whole(ctx, p, answer)
	}
}

// promises reports whether a status tells the caller that its request has not run, which is passed on only where the
// target states it.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// watched is an attempt whose target may prove to be down.
type watched struct {
	lost, ended <-chan struct{} // closed when the target is down, and when the attempt has ended
	more        bool            // the request may be sent once more
	holds       bool            // the attempt holds memory of helpers
}

// watch cuts an attempt off whose target was found to be down, once nothing has been heard of it for a while and the
// budget has another attempt. A target that still sends is left to finish. An attempt that holds memory of helpers is cut
// off also without another one, so that the memory does not stay held for a target that is gone.
func (s *run) watch(w watched, cancel context.CancelFunc) {
	select {
	case <-w.ended:
		return
	case <-w.lost:
	}
	ticker := time.NewTicker(silentPeriod.Duration())
	defer ticker.Stop()
	for {
		if clock.Now()-clock.Millis(s.heard.Load()) > silentTime {
			again := w.more && s.relay.Budget(s.Service).TakeRetry()
			if again || w.holds {
				s.paid.Store(again)
				s.lost.Store(true)
				cancel()
				return
			}
		}
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
	}
}

// hold reserves the memory that a placement needs on its helpers; the function that it returns gives it back.
func (s *run) hold(ctx context.Context, p *board.Placement) (func(), error) {
	if p.HelperMemory == 0 {
		return func() {}, nil
	}
	parts := make([]ticket.Lease, len(p.Helpers))
	for i, h := range p.Helpers {
		parts[i] = ticket.Lease{ID: p.LeaseID(i), Target: h.ID, Addr: h.Addr, Tokens: p.HelperMemory}
	}
	held, err := s.relay.Tickets.Acquire(ctx, parts)
	if err != nil {
		return nil, err
	}
	return held.Release, nil
}

// failed deals with an attempt without an answer.
func (s *run) failed(ctx context.Context, p *board.Placement, err error) (string, bool) {
	kind := KindOf(err)
	if s.lost.Swap(false) {
		kind, ctx = Stalled, s.ctx
	}
	slog.Info("attempt failed", "request", s.ID, "target", p.Target.ID, "error", err.Error(), "ended", ctx.Err() != nil)
	if kind == NotSent {
		s.dials++
		if ctx.Err() != nil {
			p.End(board.Inconclusive)
			return "", true
		}
		p.End(board.Unreachable)
		count("unreachable")
		return "", s.dials <= dialRetries
	}
	s.ran = true
	if ctx.Err() != nil {
		p.End(board.Inconclusive)
		return "", false
	}
	p.End(board.Failed)
	count(string(kind))
	return "", s.repeatable() && s.another()
}

// another reports whether the request may be sent to one more target.
func (s *run) another() bool {
	if s.paid.Swap(false) {
		return true
	}
	if s.sent >= max(s.MaxAttempts, 1) {
		return false
	}
	if !s.relay.Budget(s.Service).TakeRetry() {
		count("budget_spent")
		return false
	}
	return true
}

// errorAnswer repeats a request that failed at its target, or passes the failure on.
func (s *run) errorAnswer(p *board.Placement, answer *Answer) (string, bool) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	p.End(board.Failed)
	if s.repeatable() && s.another() {
		count("error_answer")
		return "", true
	}
	if err != nil || s.begun {
		return "", false
	}
	s.pass(answer, body)
	return "error", false
}

// whole passes on an answer that is not a stream once all of it is there.
func (s *run) whole(ctx context.Context, p *board.Placement, answer *Answer) (string, bool) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return s.failed(ctx, p, &Error{Op: "read", Kind: Broken, Err: err})
	}
	s.ran = true
	p.End(board.Succeeded)
	s.first = clock.Now() - s.Arrived
	s.pass(answer, body)
	return "answered", false
}

// pass answers the caller with what a target said.
func (s *run) pass(answer *Answer, body []byte) {
	copyHeader(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
	_, _ = s.w.Write(body)
}

// blamed reports whether a helper of the placement was at fault, and not the target itself.
func (s *run) blamed(p *board.Placement) bool {
	return slices.ContainsFunc(p.Helpers, func(h board.Target) bool { return s.exclude[h.ID] })
}
