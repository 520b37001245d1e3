package relay

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// forwardStream forwards each event of an answer as it arrives. It fails the attempt if an event does not follow the last one,
// since the caller would miss an event or get one twice.
func (s *requestState) forwardStream(a *attempt) (string, followUp) {
	events := newEventReader(a.answer.Body)
	started, resuming := false, s.responseStarted
	var startedAt clock.Millis
	for {
		event, err := events.next()
		if eris.Is(err, io.EOF) && started && !resuming {
			return s.completeStream(a)
		}
		if err != nil {
			return s.handleFailure(a, &Error{Op: "stream", Kind: Broken, Err: err})
		}
		if !started {
			started, startedAt = true, clock.Now()
			s.mayHaveRun = true
			a.placement.RecordFirstEvent()
		}
		if !s.follows(event, resuming) {
			return s.handleFailure(a, &Error{Op: "stream", Kind: Mismatched})
		}
		if !s.recordEvent(event, a.answer) {
			return s.handleFailure(a, errReplaced)
		}
		resuming = resuming && event.id < 0
		if clock.Now()-startedAt >= answeringAfter {
			s.recordAnswering()
		}
		if err := s.writeEvent(event); err != nil {
			a.placement.End(board.Inconclusive)
			return "caller_gone", noFollowUp
		}
	}
}

// completeStream records that a stream has ended after its last event.
func (s *requestState) completeStream(a *attempt) (string, followUp) {
	if !s.advance(func(*progress) {}) {
		return s.handleFailure(a, errReplaced)
	}
	s.recordAnswering()
	a.placement.End(board.Succeeded)
	return "answered", noFollowUp
}

// recordEvent records an event that is about to be forwarded, and sends the header of the answer before the first one. It reports
// false if the attempt was ended here, so that its events are no longer forwarded.
func (s *requestState) recordEvent(e event, answer *Answer) bool {
	first, previous := !s.responseStarted, s.progressAt
	advanced := s.advance(func(p *progress) {
		if first {
			p.responseStarted, p.contentType = true, answer.Header.Get("Content-Type")
		}
		if e.id >= 0 {
			p.lastEventID, p.hasEvent, p.numbered = e.id, true, true
		}
	})
	if !advanced {
		return false
	}
	s.eventsForwarded++
	if s.eventsForwarded > 1 {
		s.longestGap = max(s.longestGap, s.progressAt-previous)
	}
	if first {
		s.timeToFirstEvent = clock.Now() - s.Arrived
		copyHeader(s.w.Header(), answer.Header)
		s.w.Header().Del("Content-Length")
		s.w.WriteHeader(http.StatusOK)
	}
	return true
}

// writeEvent sends an event to the caller at once.
func (s *requestState) writeEvent(e event) error {
	if _, err := s.w.Write(e.data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}
