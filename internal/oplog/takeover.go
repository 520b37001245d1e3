package oplog

import (
	"context"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/store"
)

// openResult is the result of opening a shard.
type openResult struct {
	term uint64
	err  error
}

// open sends the term to done, after a takeover if this instance is not the shard's writer. Calls during a takeover share
// its result.
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
		taken, err := s.log.takeOver(ctx, s.number)
		s.loop.Post(func() { s.finishOpen(taken, err) })
	}()
}

// finishOpen makes this instance the writer if the takeover succeeded, and replies to all callers of Open that wait for it.
func (s *shard) finishOpen(taken takeover, err error) {
	if err == nil {
		s.installTakeover(taken)
	}
	for _, done := range s.openWaiters {
		done <- openResult{term: taken.value.Term, err: err}
	}
	s.openWaiters = nil
}

// installTakeover makes this instance the writer, with the entries that the takeover has loaded.
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

// stepDown gives up the shard after an update failed or another instance's update came first. Operations that are not yet
// dispatched never will be. It sends the present writer the settlements that no confirmed update contains, and a
// settlement of not run for each undispatched operation whose record may have been stored.
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
			go s.log.forward(Settlement{Shard: s.number, Key: e.Key, Attempt: e.Attempt, State: NotRun})
		}
	}
	s.entries = nil
	for _, t := range s.unconfirmed {
		s.log.active.Add(-1)
		go s.log.forward(t)
	}
	s.unconfirmed = nil
}

// watchFormerWriters sets the operations that former writers recorded as sent to unknown once these writers are gone, as
// they can no longer send a settlement. It repeats while some of these writers are alive.
func (s *shard) watchFormerWriters(term uint64) {
	if !s.owned || s.term != term {
		return
	}
	writersAlive, changed := false, false
	for _, e := range s.entries {
		if e.State != Sent || e.Term == s.term {
			continue
		}
		if s.log.WriterAlive(e.Writer) {
			writersAlive = true
			continue
		}
		e.Record = e.WithState(Unknown)
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: s.term})
		changed = true
	}
	if changed {
		s.markDirty()
	}
	if writersAlive {
		time.AfterFunc(formerWriterCheckInterval.Duration(), func() {
			s.loop.Post(func() { s.watchFormerWriters(term) })
		})
	}
}

// takeover is the result of taking over a shard.
type takeover struct {
	value          storedShard // as stored with the new term
	version        uint64      // of the stored object
	segmentRecords []Record    // records that are in segments
}

// takeOver stores the next term in a shard's object and loads the shard's records. The new version of the object makes
// every later update of a former writer fail.
func (l *Log) takeOver(ctx context.Context, number int) (takeover, error) {
	name := objectName(number)
	for {
		found, err := l.Get(ctx, name)
		if err != nil && !store.Is(err, store.NotFound) {
			return takeover{}, &Error{Op: "take over", Kind: Unavailable, Err: err}
		}
		var next storedShard
		if found.Version != 0 {
			if next, err = decodeShard(found.Value); err != nil {
				return takeover{}, &Error{Op: "take over", Kind: Corrupt, Err: err}
			}
		}
		next.Term++
		next.Writer, next.Token = l.Self, l.token()
		version, won, err := l.replaceShard(ctx, name, found.Version, next)
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
		records, err := l.loadSegments(ctx, next.Segments)
		return takeover{value: next, version: version, segmentRecords: records}, err
	}
}
