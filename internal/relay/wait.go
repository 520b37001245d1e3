package relay

import (
	"context"
	"time"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/queue"
)

// place selects the targets of the next attempt. If there is no room now, the request may wait for it. Without a placement it returns the
// outcome of the request, or an empty one if what must hold before an attempt is to be checked again.
func (s *requestState) place(ctx context.Context) (p *board.Placement, outcome string) {
	room := s.relay.Room
	mayWait := room.enabled() && !s.relay.Blame.Suspected(s.blamed) // else it has been let through on trial, at this time only
	if mayWait && !s.responseStarted {                              // an answer that is cut costs more than a place in the order
		w, err := room.joinOccupied(s.entry())
		if w != nil {
			return s.awaitRoom(ctx, w)
		}
		if kindOfQueue(err) == queue.Full {
			recordNoWait(s.ID, err)
			return nil, s.refuseSpread(room.cause(s.need()))
		}
	}
	p, err := s.tryPlace()
	if err == nil {
		return p, ""
	}
	if !mayWait || !isShort(err) {
		return nil, s.refuseUnplaced(err)
	}
	w, joinErr := room.join(s.entry(), err)
	if joinErr != nil {
		recordNoWait(s.ID, joinErr)
		return nil, s.refuseSpread(err)
	}
	return s.awaitRoom(ctx, w)
}

// tryPlace selects the targets of the next attempt as there is room now.
func (s *requestState) tryPlace() (*board.Placement, error) {
	return s.relay.Place(s.placementRequirements(s.progress, s.exclude))
}

// need returns what the request needs room for.
func (s *requestState) need() queue.Need {
	return queue.Need{Service: s.Service, Tokens: max(0, s.PromptTokens+s.MaxOutputTokens), Excluding: len(s.exclude) > 0}
}

// maxWaitPriority is the lowest priority that is told from a lower one while requests wait.
const maxWaitPriority = 100

// entry returns the request as it joins the queue. Its longest wait is set when it first does so, and holds for all its attempts; a later
// wait ends sooner if it would exceed the allowed part of the time left by then.
func (s *requestState) entry() *queue.Entry {
	now := clock.Now()
	left := s.deadline() - now
	if s.longestWait == 0 {
		s.longestWait = s.relay.Room.Queue.Limits().LongestWait(s.FirstEventSLO, left)
	}
	return &queue.Entry{
		Need: s.need(), Customer: s.Customer, Priority: int(min(s.Priority, maxWaitPriority)), Arrived: s.Arrived, Since: now - s.waited,
		Longest: min(s.longestWait, s.waited+left/queue.LeftParts), Begun: s.responseStarted,
	}
}

// awaitRoom waits until the request is placed, or is no longer to wait. It returns the same as place.
func (s *requestState) awaitRoom(ctx context.Context, w *waiter) (*board.Placement, string) {
	p, result, err := s.wait(ctx, w)
	switch result {
	case waitPlaced:
		return p, ""
	case waitBarred:
		return nil, ""
	case waitCallerGone:
		return nil, s.abort("caller_gone")
	case waitEnded:
		return nil, s.giveUp(ctx)
	case waitRefused:
		return nil, s.refuseUnplaced(err)
	case waitDraining:
		return nil, s.refuseFor(Draining, s.spread(s.relay.RetryAfter(s.Request, Draining)))
	default:
		return nil, s.refuseSpread(w.room.cause(w.entry.Need))
	}
}

// wait waits for the turns of the request until it ends its wait. The error is that of a placement that failed for want of something other
// than room.
func (s *requestState) wait(ctx context.Context, w *waiter) (p *board.Placement, result waitResult, err error) {
	defer func() {
		if result == "" {
			result = waitFailed // a fault ends it
		}
		w.leave(result)
		took := clock.Now() - w.since
		s.waited += took
		recordWait(s.ID, result, took, w.room.length.Load())
	}()
	timer := time.NewTimer((w.entry.Until() - clock.Now()).Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.caller.Done(): // also that of a request that would run on without it
			return nil, waitCallerGone, nil
		case <-ctx.Done():
			return nil, s.endOfContext(), nil
		case <-timer.C:
			return nil, waitExpired, nil
		case told := <-w.told:
			if told != turn {
				return nil, resultOf(told), nil
			}
			if p, result, err = s.takeTurn(ctx); result != "" {
				return p, result, err
			}
			w.fail(err)
		}
	}
}

// takeTurn tries to place the request. The result is empty if there is still no room.
func (s *requestState) takeTurn(ctx context.Context) (*board.Placement, waitResult, error) {
	switch {
	case s.caller.Err() != nil, ctx.Err() != nil:
		return nil, s.endOfContext(), nil
	case s.barred():
		return nil, waitBarred, nil
	}
	p, err := s.tryPlace()
	switch {
	case err == nil:
		return p, waitPlaced, nil
	case isShort(err):
		return nil, "", err
	default:
		return nil, waitRefused, err
	}
}

// endOfContext returns how the wait of a request ends whose context has ended. That of a caller that has gone ends both contexts.
func (s *requestState) endOfContext() waitResult {
	if s.caller.Err() != nil {
		return waitCallerGone
	}
	return waitEnded
}

// barred reports whether the request may not be sent any more.
func (s *requestState) barred() bool {
	return s.deadline()-clock.Now() < minTimeLeft || s.relay.Blame.Suspected(s.blamed)
}

// resultOf returns how the wait of a request ended that is told that it has left the queue.
func resultOf(told notice) waitResult {
	switch told {
	case displaced:
		return waitDisplaced
	case hopeless:
		return waitHopeless
	default:
		return waitDraining
	}
}

// refuseSpread refuses a request for which Place has returned an error as there was no room. Such callers do not return together.
func (s *requestState) refuseSpread(err error) string {
	reason := refusalReason(err)
	retryAfter := waitOf(err)
	if retryAfter == 0 {
		retryAfter = s.relay.RetryAfter(s.Request, reason)
	}
	return s.refuseFor(reason, s.spread(retryAfter))
}

// spread returns a time after which the caller may try again, not before the given one.
func (s *requestState) spread(retryAfter clock.Millis) clock.Millis {
	return s.relay.Room.retryAfter(s.need(), retryAfter, (s.deadline()-clock.Now())/queue.LeftParts)
}
