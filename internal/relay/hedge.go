package relay

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

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
	begun, another := make(chan struct{}), w.left > 1
	w.group.Go(func() { w.endHungHedge(hedge, begun, another) })
	defer close(begun)
	err = hedge.send(s.relay, s.Request, since)
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
// can be asked, if its link is lost and another attempt is left, or if nothing uses the memory that it has leased.
func (w *watch) endHungHedge(hedge *attempt, begun <-chan struct{}, another bool) {
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
		down := w.inProgress() && isDown(hedge.placement) && clock.Now()-asked > stallTimeout
		lost := another && isClosed(hedge.placement.LinkLost()) && clock.Now()-asked > max(stallTimeout, lostLinkGaps*hedge.placement.PredictedFirstEvent)
		if idle || down || lost {
			hedge.cancel()
			return
		}
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
	req := s.placementRequirements(since, w.exclude)
	req.Hedge = true
	placement, err := s.relay.Place(req)
	if err != nil {
		w.recordNoHedge(string(refusalReason(err)), since)
		return nil
	}
	if w.exclude[placement.Target.ID] {
		placement.End(board.Inconclusive)
		w.recordNoHedge("no_other", since)
		return nil
	}
	if !s.relay.Budget(s.Service).TakeRetry() {
		placement.End(board.Inconclusive)
		w.recordNoHedge("budget_spent", since)
		return nil
	}
	return placement
}

// recordNoHedge counts and logs that no other target could be asked beside a silent one.
func (w *watch) recordNoHedge(why string, since progress) {
	countHedge(why)
	slog.Info("target silent, no other one is asked", "request", w.request.ID, "target", w.attempt.placement.Target.ID,
		"silent_ms", int64(clock.Now()-since.progressAt), "reason", why)
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
	w.mayHaveRun = w.mayHaveRun || !kind.provesNotSent()
	switch {
	case hedge.ctx.Err() != nil, kind == TargetEvacuated, kind == Withheld:
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

// countHedge counts a hedge, or one that could not be had, by what came of it.
func countHedge(result string) {
	metrics.GetOrCreateCounter(`pier_relay_hedges_total{result="` + result + `"}`).Inc()
}
