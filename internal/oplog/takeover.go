package oplog

import (
	"context"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

type opened struct {
	term uint64
	err  error
}

// open answers with the term, after a takeover if this instance does not write the shard.
func (s *shard) open(done chan opened) {
	if s.owned {
		done <- opened{term: s.term}
		return
	}
	s.opening = append(s.opening, done)
	if len(s.opening) > 1 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.log.ctx, openTime.Duration())
		defer cancel()
		taken, err := s.log.takeOver(ctx, s.n)
		s.loop.Post(func() { s.opened(taken, err) })
	}()
}

func (s *shard) opened(taken takeover, err error) {
	if err == nil {
		s.install(taken)
	}
	for _, done := range s.opening {
		done <- opened{term: taken.page.Term, err: err}
	}
	s.opening = nil
}

func (s *shard) install(taken takeover) {
	counter("takeovers").Inc()
	s.owned, s.term, s.version = true, taken.page.Term, taken.version
	s.segments = taken.page.Segments
	s.entries = make(map[string]*entry, len(taken.page.Records)+len(taken.older))
	s.stored = make(map[string]bool, len(taken.older))
	s.unconfirmed = make(map[string]Settlement)
	for _, r := range taken.older {
		s.entries[r.Key] = &entry{Record: r, written: true}
		s.stored[r.Key] = true
	}
	for _, r := range taken.page.Records {
		s.entries[r.Key] = &entry{Record: r, written: true}
		delete(s.stored, r.Key)
	}
	s.watchForeign(s.term)
}

// stepDown gives the shard up after another instance took it over.
func (s *shard) stepDown() {
	counter("step_downs").Inc()
	s.owned, s.dirty, s.writing = false, false, false
	s.spent = nil // the update that drops them did not take effect
	for _, e := range s.entries {
		if e.finished() || e.dispatched || e.cancelled {
			continue
		}
		e.answer(Reply{Verdict: VerdictMoved, Term: s.term})
		if e.Writer != s.log.Self || e.Term != s.term {
			continue
		}
		e.cancelled = true
		s.log.active.Add(-1)
		if e.written {
			go s.log.forward(Settlement{Shard: s.n, Key: e.Key, Attempt: e.Attempt, State: NotRun})
		}
	}
	s.entries = nil
	for _, t := range s.unconfirmed {
		s.log.active.Add(-1)
		go s.log.forward(t)
	}
	s.unconfirmed = nil
}

// watchForeign declares the operations of former writers that are gone unknown.
func (s *shard) watchForeign(term uint64) {
	if !s.owned || s.term != term {
		return
	}
	left, changed := false, false
	for _, e := range s.entries {
		if e.State != Sent || e.Term == s.term {
			continue
		}
		if s.log.WriterAlive(e.Writer) {
			left = true
			continue
		}
		e.Record = e.WithState(Unknown)
		e.answer(Reply{Verdict: VerdictUnknown, Term: s.term})
		changed = true
	}
	if changed {
		s.change()
	}
	if left {
		time.AfterFunc(foreignCheck.Duration(), func() {
			s.loop.Post(func() { s.watchForeign(term) })
		})
	}
}

// takeover is what a new writer finds.
type takeover struct {
	page    page
	version uint64
	older   []Record // from segments
}

// takeOver writes a takeover entry, so that no update of a former writer can succeed any more.
func (l *Log) takeOver(ctx context.Context, n int) (takeover, error) {
	name := objectName(n)
	for {
		found, err := l.Get(ctx, name)
		if err != nil && !store.Is(err, store.NotFound) {
			return takeover{}, &Error{Op: "take over", Kind: Unavailable, Err: err}
		}
		var p page
		if found.Version != 0 {
			if p, err = decodePage(found.Value); err != nil {
				return takeover{}, &Error{Op: "take over", Kind: Corrupt, Err: err}
			}
		}
		p.Term++
		p.Writer, p.Token = l.Self, l.token()
		version, won, err := l.update(ctx, name, found.Version, p)
		if err != nil {
			return takeover{}, err
		}
		if !won {
			counter("takeover_lost").Inc()
			if clock.Sleep(ctx, takeoverPause) != nil {
				return takeover{}, &Error{Op: "take over", Kind: Unavailable, Err: ctx.Err()}
			}
			continue
		}
		older, err := l.loadSegments(ctx, p.Segments)
		return takeover{page: p, version: version, older: older}, err
	}
}
