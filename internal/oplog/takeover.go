package oplog

import (
	"context"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

type openResult struct {
	term uint64
	err  error
}

// open answers with the term, after a takeover if this instance does not write the shard.
func (s *shard) open(done chan openResult) {
	if s.owned {
		done <- openResult{term: s.term}
		return
	}
	s.openWaiters = append(s.openWaiters, done)
	if len(s.openWaiters) > 1 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.log.ctx, takeoverTimeout.Duration())
		defer cancel()
		taken, err := s.log.takeOver(ctx, s.index)
		s.loop.Post(func() { s.finishOpen(taken, err) })
	}()
}

func (s *shard) finishOpen(taken takeover, err error) {
	if err == nil {
		s.installTakeover(taken)
	}
	for _, done := range s.openWaiters {
		done <- openResult{term: taken.value.Term, err: err}
	}
	s.openWaiters = nil
}

func (s *shard) installTakeover(taken takeover) {
	eventCounter("takeovers").Inc()
	s.owned, s.term, s.version = true, taken.value.Term, taken.version
	s.segments = taken.value.Segments
	s.entries = make(map[string]*entry, len(taken.value.Records)+len(taken.segmentRecords))
	s.inSegment = make(map[string]bool, len(taken.segmentRecords))
	s.unconfirmed = make(map[string]Settlement)
	for _, r := range taken.segmentRecords {
		s.entries[r.Key] = &entry{Record: r, inUpdate: true}
		s.inSegment[r.Key] = true
	}
	for _, r := range taken.value.Records {
		s.entries[r.Key] = &entry{Record: r, inUpdate: true}
		delete(s.inSegment, r.Key)
	}
	s.watchFormerWriters(s.term)
}

// stepDown gives the shard up after another instance took it over.
func (s *shard) stepDown() {
	eventCounter("step_downs").Inc()
	s.owned, s.dirty, s.writing = false, false, false
	s.expiredSegments = nil // the update that drops them did not take effect
	for _, e := range s.entries {
		if e.finished() || e.dispatched || e.cancelled {
			continue
		}
		e.replyAll(Reply{Verdict: VerdictMoved, Term: s.term})
		if e.Writer != s.log.Self || e.Term != s.term {
			continue
		}
		e.cancelled = true
		s.log.active.Add(-1)
		if e.inUpdate {
			go s.log.forward(Settlement{Shard: s.index, Key: e.Key, Attempt: e.Attempt, State: NotRun})
		}
	}
	s.entries = nil
	for _, t := range s.unconfirmed {
		s.log.active.Add(-1)
		go s.log.forward(t)
	}
	s.unconfirmed = nil
}

// watchFormerWriters declares the operations of former writers that are gone unknown.
func (s *shard) watchFormerWriters(term uint64) {
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
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: s.term})
		changed = true
	}
	if changed {
		s.markDirty()
	}
	if left {
		time.AfterFunc(formerWriterCheckInterval.Duration(), func() {
			s.loop.Post(func() { s.watchFormerWriters(term) })
		})
	}
}

// takeover is what a new writer finds.
type takeover struct {
	value          storedShard
	version        uint64
	segmentRecords []Record // from segments
}

// takeOver writes a takeover entry, so that no update of a former writer can succeed any more.
func (l *Log) takeOver(ctx context.Context, n int) (takeover, error) {
	name := objectName(n)
	for {
		found, err := l.Get(ctx, name)
		if err != nil && !store.Is(err, store.NotFound) {
			return takeover{}, &Error{Op: "take over", Kind: Unavailable, Err: err}
		}
		var p storedShard
		if found.Version != 0 {
			if p, err = decodeShard(found.Value); err != nil {
				return takeover{}, &Error{Op: "take over", Kind: Corrupt, Err: err}
			}
		}
		p.Term++
		p.Writer, p.Token = l.Self, l.token()
		version, won, err := l.replaceShard(ctx, name, found.Version, p)
		if err != nil {
			return takeover{}, err
		}
		if !won {
			eventCounter("takeover_lost").Inc()
			if clock.Sleep(ctx, takeoverRetryInterval) != nil {
				return takeover{}, &Error{Op: "take over", Kind: Unavailable, Err: ctx.Err()}
			}
			continue
		}
		older, err := l.loadSegments(ctx, p.Segments)
		return takeover{value: p, version: version, segmentRecords: older}, err
	}
}
