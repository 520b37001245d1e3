package oplog

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	segmentThreshold     = 128 << 10             // estimated size of a shard's value, in bytes, above which finished records move to a segment
	recordOverhead       = 160                   // estimated bytes of an encoded record without its outcome's body
	segmentRetryInterval = 200 * clock.Millis(1) // between attempts to write a segment
	keptDivisor          = 4                     // the newest 1/keptDivisor of the finished records stay in the shard's value
)

// shardUpdate is one conditional update of a shard's object.
type shardUpdate struct {
	name            string // of the object
	version         uint64 // the version to replace
	value           storedShard
	newlySent       []*entry // operations to dispatch once the update is confirmed
	toSegment       []Record // records that move to a new segment, which is written before the shard
	segment         segment  // the new segment, if toSegment is not empty
	settledAttempts []string // attempts whose settlements the update contains
}

// nextUpdate builds the next update from the shard's state in memory.
func (s *shard) nextUpdate() shardUpdate {
	u := shardUpdate{name: objectName(s.number), version: s.version}
	u.value = storedShard{Term: s.term, Writer: s.log.Self, Token: s.log.token(), Segments: s.segments}
	var finished []Record
	size := 0
	for _, e := range s.entries {
		if s.inSegment[e.Key] || (e.cancelled && !e.inUpdate) {
			continue
		}
		size += recordOverhead + len(e.Outcome.Body)
		if e.finished() {
			finished = append(finished, e.Record)
			continue
		}
		if e.Term == s.term && !e.dispatched {
			u.newlySent = append(u.newlySent, e)
		}
		e.inUpdate = true
		u.value.Records = append(u.value.Records, e.Record)
	}
	for attempt := range s.unconfirmed {
		u.settledAttempts = append(u.settledAttempts, attempt)
	}
	sortByTime(finished)
	if size > segmentThreshold && len(finished) > 0 {
		cut := len(finished) - len(finished)/keptDivisor
		u.toSegment, finished = finished[:cut], finished[cut:]
		u.segment = segment{Name: objectName(s.number) + "/" + u.value.Token, NewestAt: u.toSegment[cut-1].CreatedAt}
		u.value.Segments = append(append([]segment(nil), s.segments...), u.segment)
	}
	u.value.Records = append(u.value.Records, finished...)
	return u
}

// dropExpired drops finished records and segments that are older than the retention period.
func (s *shard) dropExpired() {
	oldest := clock.Now() - s.log.Settings().Retention
	for key, e := range s.entries {
		if e.finished() && e.CreatedAt < oldest {
			delete(s.entries, key)
			delete(s.inSegment, key)
		}
	}
	for len(s.segments) > 0 && s.segments[0].NewestAt < oldest {
		s.expiredSegments = append(s.expiredSegments, s.segments[0])
		s.segments = s.segments[1:]
	}
}

// applyUpdate writes the new segment, if any, and then the shard. It returns the shard's new version, or false if another
// update came first.
func (l *Log) applyUpdate(ctx context.Context, u shardUpdate) (uint64, bool, error) {
	if len(u.toSegment) > 0 {
		if err := l.writeSegment(ctx, u); err != nil {
			return 0, false, err
		}
	}
	return l.replaceShard(ctx, u.name, u.version, u.value)
}

// replaceShard replaces one version of a shard's value. It returns the new version, or false if another update came first.
func (l *Log) replaceShard(ctx context.Context, name string, version uint64, replacement storedShard) (uint64, bool, error) {
	value, err := replacement.encode()
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Corrupt, Err: err}
	}
	next, err := fence.Store{Get: l.Get, Put: l.Put}.Apply(ctx, fence.Change{
		Name: name, Version: version, Value: value,
		IsOwn: func(stored []byte) bool {
			found, err := decodeShard(stored)
			return err == nil && found.Token == replacement.Token
		},
	})
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Unavailable, Err: err}
	}
	return next, next != 0, nil
}

// writeSegment creates the object of a new segment. A segment's name contains the unique token of its update, so a
// conflict means that an earlier try, whose answer was lost, has written it.
func (l *Log) writeSegment(ctx context.Context, u shardUpdate) error {
	value, err := cbor.Marshal(u.toSegment)
	if err != nil {
		return &Error{Op: "write segment", Kind: Corrupt, Err: err}
	}
	for {
		_, err := l.Put(ctx, u.segment.Name, 0, value)
		if err == nil || store.Is(err, store.Conflict) {
			return nil
		}
		if clock.Sleep(ctx, segmentRetryInterval) != nil {
			return &Error{Op: "write segment", Kind: Unavailable, Err: err}
		}
	}
}

// loadSegments reads the records of the segments. It skips a segment that is missing if its records have expired: a former
// writer has deleted it.
func (l *Log) loadSegments(ctx context.Context, segments []segment) ([]Record, error) {
	var all []Record
	for _, seg := range segments {
		object, err := l.Get(ctx, seg.Name)
		if store.Is(err, store.NotFound) && seg.NewestAt < clock.Now()-l.Settings().Retention {
			continue
		}
		if err != nil {
			return nil, &Error{Op: "load segment", Kind: Unavailable, Err: err}
		}
		var records []Record
		if err := cbor.Unmarshal(object.Value, &records); err != nil {
			return nil, &Error{Op: "load segment", Kind: Corrupt, Err: err}
		}
		all = append(all, records...)
	}
	return all, nil
}
