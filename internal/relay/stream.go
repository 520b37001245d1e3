package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// stream passes events on as they come.
func (s *run) stream(ctx context.Context, p *board.Placement, answer *Answer) (string, bool) {
	out := http.NewResponseController(s.w)
	source := newEvents(answer.Body)
	heard := false
	for {
		e, err := source.next()
		if eris.Is(err, io.EOF) && heard {
			p.End(board.Succeeded)
			return "answered", false
		}
		if err != nil {
			return s.failed(ctx, p, &Error{Op: "stream", Kind: Broken, Err: err})
		}
		if !heard {
			heard = true
			s.ran = true
			p.RecordFirstEvent()
		}
		if e.id >= 0 && e.id != s.last+1 && s.last > 0 {
			return s.failed(ctx, p, &Error{Op: "stream", Kind: Mismatched})
		}
		if !s.begun {
			s.begun = true
			s.first = clock.Now() - s.Arrived
			copyHeader(s.w.Header(), answer.Header)
			s.w.Header().Del("Content-Length")
			s.w.WriteHeader(answer.Status)
		}
		if e.id >= 0 {
			s.last = e.id
		}
		s.events++
		now := clock.Now()
		if before := clock.Millis(s.heard.Swap(int64(now))); s.events > 1 {
			s.pause = max(s.pause, now-before)
		}
		if _, err := s.w.Write(e.data); err != nil {
			p.End(board.Inconclusive)
			return "caller_gone", false
		}
		if err := out.Flush(); err != nil {
			p.End(board.Inconclusive)
			return "caller_gone", false
		}
	}
}
