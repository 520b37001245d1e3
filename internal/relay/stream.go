package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// forwardStream forwards each event of an answer as it arrives. It fails the attempt if an event id does not follow the last
// one, since the caller would miss an event or get one twice. An answer that resumes a stream has to begin with the event that
// follows; only comments may come before it.
func (s *requestState) forwardStream(ctx context.Context, p *board.Placement, answer *Answer) (string, bool) {
	controller := http.NewResponseController(s.w)
	events := newEventReader(answer.Body)
	started, resuming := false, s.responseStarted
	var startedAt clock.Millis
	for {
		event, err := events.next()
		if eris.Is(err, io.EOF) && started && !resuming {
			s.recordAnswering()
			p.End(board.Succeeded)
			return "answered", false
		}
		if err != nil {
			return s.handleFailure(ctx, p, &Error{Op: "stream", Kind: Broken, Err: err})
		}
		if !started {
			started, startedAt = true, clock.Now()
			s.mayHaveRun = true
			p.RecordFirstEvent()
		}
		if event.id >= 0 && event.id != s.lastEventID+1 && s.lastEventID > 0 || event.id < 0 && resuming && !event.isComment() {
			return s.handleFailure(ctx, p, &Error{Op: "stream", Kind: Mismatched})
		}
		if !s.responseStarted {
			s.responseStarted = true
			s.timeToFirstEvent = clock.Now() - s.Arrived
			copyHeader(s.w.Header(), answer.Header)
			s.w.Header().Del("Content-Length")
			s.w.WriteHeader(answer.Status)
		}
		if event.id >= 0 {
			s.lastEventID, s.numbered, resuming = event.id, true, false
		}
		s.eventsForwarded++
		now := clock.Now()
		if now-startedAt >= answeringAfter {
			s.recordAnswering()
		}
		if previous := clock.Millis(s.lastProgress.Swap(int64(now))); s.eventsForwarded > 1 {
			s.longestGap = max(s.longestGap, now-previous)
		}
		if _, err := s.w.Write(event.data); err != nil {
			p.End(board.Inconclusive)
			return "caller_gone", false
		}
		if err := controller.Flush(); err != nil {
			p.End(board.Inconclusive)
			return "caller_gone", false
		}
	}
}
