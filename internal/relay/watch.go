package relay

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// watch looks after an attempt while it goes on. If its target sends nothing, another target is asked beside it (a hedge). Whichever
// sends something first goes on with the answer: a target that is silent for a while may be sound.
type watch struct {
	request *requestState
	attempt *attempt
	ctx     context.Context // of hedges
	cancel  context.CancelFunc
	ended   chan struct{} // closed when the attempt has ended
	group   sync.WaitGroup
	exclude map[string]bool // ids of targets that are not asked
	left    int             // attempts that the request has left

	// What came of it, once the group has ended.
	hedge      *attempt // goes on with the answer; nil if there is none
	sent       int      // hedges that reached their targets, or may have
	mayHaveRun bool     // a hedge that failed may have run the request
}

// watch begins an attempt and starts to look after it.
func (s *requestState) watch(ctx context.Context, a *attempt) *watch {
	s.beginAttempt()
	w := &watch{request: s, attempt: a, ended: make(chan struct{}), exclude: maps.Clone(s.exclude), left: max(s.MaxAttempts, 1) - s.attemptsSent}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.exclude[a.placement.Target.ID] = true
	if a.answer == nil {
		w.left-- // for the attempt itself
	}
	if s.Request.retryable() && w.left > 0 {
		w.group.Go(w.hedgeWhenSilent)
	}
	if a.leases != nil {
		w.group.Go(w.endWhenMemoryIdle)
	}
	return w
}

// stop ends the watch of an attempt that has ended. With wait, as the request is not answered yet, it lets a hedge that is under
// way go on, and returns the one that goes on with the answer.
func (w *watch) stop(wait bool) *attempt {
	close(w.ended)
	if !wait {
		w.cancel()
	}
	w.group.Wait()
	if w.hedge == nil {
		w.cancel()
		return nil
	}
	if !wait {
		w.hedge.placement.End(board.Inconclusive)
		w.hedge.close()
		return nil
	}
	return w.hedge
}

// sleep waits, and reports false if the attempt has ended. It returns early once one of two channels is closed.
func (w *watch) sleep(d clock.Millis, wake, otherWake <-chan struct{}) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-w.ended:
		return false
	case <-wake:
	case <-otherWake:
	case <-timer.C:
	}
	return true
}

// hedgeWhenSilent asks other targets, one after the other, while the target is silent for longer than it may be.
func (w *watch) hedgeWhenSilent() {
	down, lost := w.attempt.placement.TargetDown(), w.attempt.placement.LinkLost()
	for w.left > 0 && w.hedge == nil {
		at := w.request.snapshot()
		if isClosed(down) {
			down = nil
		}
		if isClosed(lost) {
			lost = nil
		}
		wait := w.maxSilence(at, down == nil, lost == nil) - (clock.Now() - at.progressAt)
		if wait < 0 {
			w.tryHedge(at)
			wait = hedgeInterval
		}
		if !w.sleep(min(wait, stallTimeout), down, lost) {
			return
		}
	}
}

// maxSilence returns for how long the target may send nothing before another one is asked. Before the first event, silence says
// little, as the prompt may wait for others; then only a target that is reported down, or whose link is lost, is suspected.
func (w *watch) maxSilence(at progress, down, lost bool) clock.Millis {
	s := w.request
	switch {
	case lost && at.responseStarted:
		return max(lostLinkTimeout, lostLinkGaps*s.EventGapSLO)
	case lost:
		return max(lostLinkTimeout, lostLinkGaps*w.attempt.placement.PredictedFirstEvent)
	case down:
		return stallTimeout
	case at.responseStarted && s.EventGapSLO > 0:
		return max(stallTimeout, silentGaps*s.EventGapSLO)
	default:
		return s.deadline() - at.progressAt
	}
}

// inProgress reports whether the attempt has not ended.
func (w *watch) inProgress() bool {
	select {
	case <-w.ended:
		return false
	default:
		return true
	}
}

// isDown reports whether a target or a helper of a placement did not answer a probe.
func isDown(p *board.Placement) bool { return isClosed(p.TargetDown()) }

// isClosed reports whether a channel is closed, on which nothing is sent.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// endWhenMemoryIdle ends an attempt that has got no event for the idle limit of its leases, if the engines say that the memory is
// not in use: its target does not work on the prompt, and others cannot use the memory.
func (w *watch) endWhenMemoryIdle() {
	s := w.request
	limit := s.relay.Tickets.IdleLimit()
	for wait := limit; w.sleep(wait, nil, nil); {
		at := s.snapshot()
		if wait = limit - (clock.Now() - at.progressAt); wait > 0 {
			continue
		}
		if w.attempt.leases.Idle(w.ctx) && s.endUnlessAdvanced(at, MemoryIdle) {
			slog.Info("attempt ended, its leased memory is not used", "request", s.ID)
			w.attempt.cancel()
			return
		}
		wait = limit
	}
}
