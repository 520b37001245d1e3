package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

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

// sleep waits, and reports false if the attempt has ended. It returns early once wake is closed.
func (w *watch) sleep(d clock.Millis, wake <-chan struct{}) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-w.ended:
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}

// hedgeWhenSilent asks other targets, one after the other, while the target is silent for longer than it may be.
func (w *watch) hedgeWhenSilent() {
	down := w.attempt.placement.TargetDown()
	for w.left > 0 && w.hedge == nil {
		at := w.request.snapshot()
		if isDown(w.attempt.placement) {
			down = nil
		}
		wait := w.maxSilence(at, down == nil) - (clock.Now() - at.progressAt)
		if wait < 0 {
			w.tryHedge(at)
			wait = hedgeInterval
		}
		if !w.sleep(min(wait, stallTimeout), down) {
			return
		}
	}
}

// maxSilence returns for how long the target may send nothing before another one is asked. Before the first event, silence says
// little, as the prompt may wait for others; then only a target that is reported down is suspected.
func (w *watch) maxSilence(at progress, down bool) clock.Millis {
	s := w.request
	switch {
	case down:
		return stallTimeout
	case at.responseStarted && s.EventGapSLO > 0:
		return max(stallTimeout, silentGaps*s.EventGapSLO)
	default:
		return s.deadline() - at.progressAt
	}
}

// tryHedge asks one other target to go on with the answer. If that does before the silent one sends something, the attempt at the
// silent one is ended.
func (w *watch) tryHedge(since progress) {
	placement := w.place(since)
	if placement == nil {
		return
	}
	s := w.request
	slog.Info("target silent, another one is asked", "request", s.ID, "target", w.attempt.placement.Target.ID,
		"silent_ms", int64(clock.Now()-since.progressAt), "other", placement.Target.ID)
	hedge, err := s.newAttempt(w.ctx, placement)
	if err != nil {
		placement.End(board.Inconclusive)
		countHedge("no_memory")
		return
	}
	s.whenAdvanced(since, hedge.cancel) // it can no longer go on with the answer then
	begun := make(chan struct{})
	w.group.Go(func() { w.endHungHedge(hedge, begun) })
	defer close(begun)
	err = hedge.send(s.relay, s.Request, since.lastEventID)
	if sent(err) {
		w.left--
		w.sent++
	}
	if err == nil {
		err = hedge.readAhead(s.Kind, since)
	}
	if err != nil {
		w.endFailed(hedge, err)
		return
	}
	if !s.endUnlessAdvanced(since, Stalled) {
		placement.End(board.Inconclusive)
		hedge.close()
		countHedge("late")
		return
	}
	countHedge("taken")
	hedge.cancel = w.cancel
	w.hedge = hedge
	w.attempt.cancel()
}

// endHungHedge ends a hedge that does not begin: if its own target is down and silent while the attempt goes on, so that another one
// can be asked, or if nothing uses the memory that it has leased.
func (w *watch) endHungHedge(hedge *attempt, begun <-chan struct{}) {
	asked := clock.Now()
	idleSince := asked
	ticker := time.NewTicker(stallCheckInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-begun:
			return
		case <-ticker.C:
		}
		idle := false
		if hedge.leases != nil && clock.Now()-idleSince > w.request.relay.Tickets.IdleLimit() {
			idle, idleSince = hedge.leases.Idle(hedge.ctx), clock.Now()
		}
		if idle || w.inProgress() && isDown(hedge.placement) && clock.Now()-asked > stallTimeout {
			hedge.cancel()
			return
		}
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
func isDown(p *board.Placement) bool {
	select {
	case <-p.TargetDown():
		return true
	default:
		return false
	}
}

// place chooses a target for a hedge, within the budget of retries; it returns nil if there is none.
func (w *watch) place(since progress) *board.Placement {
	s := w.request
	if !s.Request.resumes(since) || s.deadline()-clock.Now() < minTimeLeft {
		return nil
	}
	if _, quarantined := s.relay.Blame.Quarantined(s.blamed); quarantined {
		return nil
	}
	placement, err := s.relay.Place(s.placementRequirements(since, w.exclude))
	if err != nil {
		countHedge(string(refusalReason(err)))
		return nil
	}
	if w.exclude[placement.Target.ID] {
		placement.End(board.Inconclusive)
		countHedge("no_other")
		return nil
	}
	if !s.relay.Budget(s.Service).TakeRetry() {
		placement.End(board.Inconclusive)
		countHedge("budget_spent")
		return nil
	}
	return placement
}

// endFailed ends a hedge that does not go on with the answer.
func (w *watch) endFailed(hedge *attempt, err error) {
	defer hedge.close()
	s, p, kind := w.request, hedge.placement, KindOf(err)
	w.exclude[p.Target.ID] = true
	slog.Info("hedge failed", "request", s.ID, "target", p.Target.ID, "kind", kind, "error", err.Error())
	countHedge("failed")
	if hedge.answer != nil && hedge.answer.NotRun {
		if helper := endNotRun(hedge); helper != "" {
			w.exclude[helper] = true
		}
		return
	}
	w.mayHaveRun = w.mayHaveRun || kind != NotSent
	switch {
	case hedge.ctx.Err() != nil:
		p.End(board.Inconclusive)
	case kind == NotSent:
		p.End(board.Unreachable)
	default:
		if kind == Broken {
			s.relay.Blame.RecordCrash(s.blamed, p.Target.ID)
		}
		p.End(board.Failed)
	}
}

// readAhead waits until the target goes on with an answer that has got so far: until the next event of a stream, or else until the
// first part of the answer is read. What it reads stays in the answer's body.
func (a *attempt) readAhead(kind Kind, since progress) error {
	answer := a.answer
	switch {
	case answer.NotRun || impliesNotRun(answer.Status) || answer.Status >= http.StatusInternalServerError:
		return &Error{Op: "hedge", Kind: NotRunUnproven, Err: eris.Errorf("status %d", answer.Status)}
	case since.responseStarted && !continues(answer, since.contentType):
		return notContinued(answer)
	}
	var read bytes.Buffer
	source := io.TeeReader(answer.Body, &read)
	var err error
	if kind == Stream && answer.Status == http.StatusOK {
		err = awaitNext(source, since)
	} else {
		_, _, err = readBuffered(source)
	}
	answer.Body = readCloser{io.MultiReader(&read, answer.Body), answer.Body}
	return err
}

// readCloser reads from one source and closes another.
type readCloser struct {
	io.Reader
	io.Closer
}

// awaitNext reads a stream until the event that follows those that the caller has.
func awaitNext(source io.Reader, since progress) error {
	events := newEventReader(source)
	for {
		e, err := events.next()
		if err != nil {
			return &Error{Op: "hedge", Kind: Broken, Err: err}
		}
		if !since.follows(e, since.responseStarted) {
			return &Error{Op: "hedge", Kind: Mismatched}
		}
		if !e.isComment() {
			return nil
		}
	}
}

// endWhenMemoryIdle ends an attempt that has got no event for the idle limit of its leases, if the engines say that the memory is
// not in use: its target does not work on the prompt, and others cannot use the memory.
func (w *watch) endWhenMemoryIdle() {
	s := w.request
	limit := s.relay.Tickets.IdleLimit()
	for wait := limit; w.sleep(wait, nil); {
		at := s.snapshot()
		if wait = limit - (clock.Now() - at.progressAt); wait > 0 {
			continue
		}
		if w.attempt.leases.Idle(s.ctx) && s.endUnlessAdvanced(at, MemoryIdle) {
			slog.Info("attempt ended, its leased memory is not used", "request", s.ID)
			w.attempt.cancel()
			return
		}
		wait = limit
	}
}

// countHedge counts a hedge, or one that could not be had, by what came of it.
func countHedge(result string) {
	metrics.GetOrCreateCounter(`pier_relay_hedges_total{result="` + result + `"}`).Inc()
}
