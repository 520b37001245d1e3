package oplog

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	pageLimit    = 128 << 10             // estimated bytes, above which finished records move to a segment
	recordCost   = 160                   // bytes of a record without its body
	segmentPause = 200 * clock.Millis(1) // between tries to write a segment
	segmentShare = 4                     // a new segment takes all finished records but one in this many
)

// plan is one update of a shard.
type plan struct {
	name    string
	version uint64
	page    page
	fresh   []*entry // recorded as sent for the first time
	moved   []Record // to go to a new segment first
	segment segment
	settled []string // attempts whose settlement the update holds
}

// plan builds the next value of the shard from the present state.
func (s *shard) plan() plan {
	p := plan{name: objectName(s.n), version: s.version}
	p.page = page{Term: s.term, Writer: s.log.Self, Token: s.log.token(), Segments: s.segments}
	var finished []Record
	size := 0
	for _, e := range s.entries {
		if s.stored[e.Key] || (e.cancelled && !e.written) {
			continue
		}
		size += recordCost + len(e.Outcome.Body)
		if e.finished() {
			finished = append(finished, e.Record)
			continue
		}
		if e.Term == s.term && !e.dispatched {
			p.fresh = append(p.fresh, e)
		}
		e.written = true
		p.page.Records = append(p.page.Records, e.Record)
	}
	for attempt := range s.unconfirmed {
		p.settled = append(p.settled, attempt)
	}
	sortByTime(finished)
	if size > pageLimit && len(finished) > 0 {
		cut := len(finished) - len(finished)/segmentShare
		p.moved, finished = finished[:cut], finished[cut:]
		p.segment = segment{Name: objectName(s.n) + "/" + p.page.Token, Until: p.moved[cut-1].At}
		p.page.Segments = append(append([]segment(nil), s.segments...), p.segment)
	}
	p.page.Records = append(p.page.Records, finished...)
	return p
}

// prune drops what is older than the retention period.
func (s *shard) prune() {
	oldest := clock.Now() - s.log.Settings().Retention
	for key, e := range s.entries {
		if e.finished() && e.At < oldest {
			delete(s.entries, key)
			delete(s.stored, key)
		}
	}
	for len(s.segments) > 0 && s.segments[0].Until < oldest {
		s.spent = append(s.spent, s.segments[0])
		s.segments = s.segments[1:]
	}
}

// carryOut writes the segment, if any, and then the shard.
func (l *Log) carryOut(ctx context.Context, p plan) (uint64, bool, error) {
	if len(p.moved) > 0 {
		if err := l.writeSegment(ctx, p); err != nil {
			return 0, false, err
		}
	}
	return l.update(ctx, p.name, p.version, p.page)
}

// update replaces a version of a shard and returns false when another update came first.
func (l *Log) update(ctx context.Context, name string, version uint64, p page) (uint64, bool, error) {
	value, err := p.encode()
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Corrupt, Err: err}
	}
	next, err := fence.Store{Get: l.Get, Put: l.Put}.Apply(ctx, fence.Change{
		Name: name, Version: version, Value: value,
		IsOwn: func(stored []byte) bool {
			found, err := decodePage(stored)
			return err == nil && found.Token == p.Token
		},
	})
	if err != nil {
		return 0, false, &Error{Op: "update", Kind: Unavailable, Err: err}
	}
	return next, next != 0, nil
}

// writeSegment creates an immutable object; its name is never used twice.
func (l *Log) writeSegment(ctx context.Context, p plan) error {
	value, err := cbor.Marshal(p.moved)
	if err != nil {
		return &Error{Op: "write segment", Kind: Corrupt, Err: err}
	}
	for {
		_, err := l.Put(ctx, p.segment.Name, 0, value)
		if err == nil || store.Is(err, store.Conflict) {
			return nil
		}
		if clock.Sleep(ctx, segmentPause) != nil {
			return &Error{Op: "write segment", Kind: Unavailable, Err: err}
		}
	}
}

func (l *Log) loadSegments(ctx context.Context, segments []segment) ([]Record, error) {
	var all []Record
	for _, seg := range segments {
		object, err := l.Get(ctx, seg.Name)
		if store.Is(err, store.NotFound) && seg.Until < clock.Now()-l.Settings().Retention {
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
