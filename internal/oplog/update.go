package oplog

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	segmentThreshold     = 128 << 10             // estimated bytes, above which finished records move to a segment
	recordOverhead       = 160                   // bytes of a record without its body
	segmentRetryInterval = 200 * clock.Millis(1) // between tries to write a segment
	keptDivisor          = 4                     // a new segment takes all finished records but one in this many
)

// shardUpdate is one update of a shard.
type shardUpdate struct {
	name            string
	version         uint64
	value           storedShard
	newlySent       []*entry // recorded as sent for the first time
	toSegment       []Record // to go to a new segment first
	segment         segment
	settledAttempts []string // attempts whose settlement the update holds
}

// nextUpdate builds the next value of the shard from the present state.
func (s *shard) nextUpdate() shardUpdate {
	p := shardUpdate{name: objectName(s.index), version: s.version}
	p.value = storedShard{Term: s.term, Writer: s.log.Self, Token: s.log.token(), Segments: s.segments}
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
			p.newlySent = append(p.newlySent, e)
		}
		e.inUpdate = true
		p.value.Records = append(p.value.Records, e.Record)
	}
	for attempt := range s.unconfirmed {
		p.settledAttempts = append(p.settledAttempts, attempt)
	}
	sortByTime(finished)
	if size > segmentThreshold && len(finished) > 0 {
		cut := len(finished) - len(finished)/keptDivisor
		p.toSegment, finished = finished[:cut], finished[cut:]
		p.segment = segment{Name: objectName(s.index) + "/" + p.value.Token, Until: p.toSegment[cut-1].At}
		p.value.Segments = append(append([]segment(nil), s.segments...), p.segment)
	}
	p.value.Records = append(p.value.Records, finished...)
	return p
}

// dropExpired drops what is older than the retention period.
func (s *shard) dropExpired() {
	oldest := clock.Now() - s.log.Settings().Retain
	for key, e := range s.entries {
		if e.finished() && e.At < oldest {
			delete(s.entries, key)
			delete(s.inSegment, key)
		}
	}
	for len(s.segments) > 0 && s.segments[0].Until < oldest {
		s.expiredSegments = append(s.expiredSegments, s.segments[0])
		s.segments = s.segments[1:]
	}
}

// applyUpdate writes the segment, if any, and then the shard.
func (l *Log) applyUpdate(ctx context.Context, p shardUpdate) (uint64, bool, error) {
	if len(p.toSegment) > 0 {
		if err := l.writeSegment(ctx, p); err != nil {
			return 0, false, err
		}
	}
	return l.replaceShard(ctx, p.name, p.version, p.value)
}

// replaceShard replaces a version of a shard and returns false when another replaceShard came first.
func (l *Log) replaceShard(ctx context.Context, name string, version uint64, p storedShard) (uint64, bool, error) {
	value, err := p.encode()
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Corrupt, Err: err}
	}
	next, err := fence.Store{Get: l.Get, Put: l.Put}.Apply(ctx, fence.Change{
		Name: name, Version: version, Value: value,
		IsOwn: func(stored []byte) bool {
			found, err := decodeShard(stored)
			return err == nil && found.Token == p.Token
		},
	})
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Unavailable, Err: err}
	}
	return next, next != 0, nil
}

// writeSegment creates an immutable object; its name is never used twice.
func (l *Log) writeSegment(ctx context.Context, p shardUpdate) error {
	value, err := cbor.Marshal(p.toSegment)
	if err != nil {
		return &Error{Op: "write segment", Kind: Corrupt, Err: err}
	}
	for {
		_, err := l.Put(ctx, p.segment.Name, 0, value)
		if err == nil || store.Is(err, store.Conflict) {
			return nil
		}
		if clock.Sleep(ctx, segmentRetryInterval) != nil {
			return &Error{Op: "write segment", Kind: Unavailable, Err: err}
		}
	}
}

func (l *Log) loadSegments(ctx context.Context, segments []segment) ([]Record, error) {
	var all []Record
	for _, seg := range segments {
		object, err := l.Get(ctx, seg.Name)
		if store.Is(err, store.NotFound) && seg.Until < clock.Now()-l.Settings().Retain {
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
