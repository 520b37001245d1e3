package board

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// ColdNotice is the cold time that a target names in an answer.
type ColdNotice struct {
	Named   bool         // the answer names one
	Left    clock.Millis // zero if the target is not cold
	AskedAt clock.Millis // when the request was sent
}

// TargetCold says for how long a target is cold, as instances broadcast it.
type TargetCold struct {
	Target   string       `cbor:"1,keyasint"`
	Born     clock.Millis `cbor:"2,keyasint,omitempty"` // see Target.Born
	Left     clock.Millis `cbor:"3,keyasint,omitempty"` // by its answers
	Returned clock.Millis `cbor:"4,keyasint,omitempty"` // the same by the end of an evacuation
	Ended    bool         `cbor:"5,keyasint,omitempty"` // an answer has ended what its entry and answers gave
	Entry    clock.Millis `cbor:"6,keyasint,omitempty"` // as Left, by its entry in the list
	Age      clock.Millis `cbor:"7,keyasint,omitempty"` // since the sender last learned itself that the target is cold
}

// coldNews is what an instance tells others of cold targets.
type coldNews struct {
	Targets []TargetCold `cbor:"1,keyasint,omitempty"`
	All     bool         `cbor:"2,keyasint,omitempty"` // with this datagram the sender has told all that it knows
}

// told returns what this instance tells of a target: what it has learned itself. If instances told each other's word, they would
// prolong it each time by the delay of the network.
func (s *targetState) told(now clock.Millis) TargetCold {
	left := func(source coldSource) clock.Millis { return max(0, s.cold.until[source]-now) }
	return TargetCold{
		Target: s.ID, Born: s.Born, Left: left(fromAnswer), Returned: left(fromReturn), Entry: left(fromEntry), Age: now - s.cold.learnedAt,
	}
}

// announceCold broadcasts a change of a target's cold time with the next flush, or at once if a datagram is full.
func (b *Board) announceCold(change TargetCold) {
	if b.pending.Cold == nil {
		b.pending.Cold = &coldNews{}
	}
	b.pending.Cold.Targets = append(b.pending.Cold.Targets, change)
	if len(b.pending.Cold.Targets) >= maxPacketRequests {
		b.flush()
		return
	}
	b.scheduleFlush()
}

// announcesEntry reports whether this instance tells others of the cold time in a target's entry. All read the list themselves, and one
// of them tells those whose list is older: the instance that probes the target. If all did, hundreds of targets that start at once
// would cost each instance megabytes.
func (b *Board) announcesEntry(target string) bool { return b.Monitors == nil || b.Monitors(target) }

// broadcastCold broadcasts the targets of which this instance has learned by their answers that they are cold, for instances that have
// missed earlier datagrams. With all it broadcasts all cold targets, for those that have joined.
func (b *Board) broadcastCold(now clock.Millis, all bool) {
	if _, enabled := b.coldLimit(); !enabled {
		return
	}
	news := coldNews{All: all}
	for _, s := range b.targets {
		told := s.told(now)
		if !b.announcesEntry(s.ID) {
			told.Entry = 0
		}
		if told.Left+told.Returned+told.Entry == 0 || !all && told.Left == 0 {
			continue
		}
		if len(news.Targets) == maxPacketRequests {
			b.broadcast(packet{Cold: &coldNews{Targets: news.Targets}})
			news.Targets = nil
		}
		news.Targets = append(news.Targets, told)
	}
	if all || len(news.Targets) > 0 {
		b.broadcast(packet{Cold: &news})
	}
}

// applyCold applies what another instance has told of cold targets.
func (b *Board) applyCold(now clock.Millis, news coldNews) {
	for _, t := range news.Targets {
		b.applyTargetCold(now, t)
	}
	b.cell.synced = b.cell.synced || news.All
}

// applyTargetCold applies what another instance has told of one target. Its end is not applied right after the target was said to be
// cold, as it may be older than that.
func (b *Board) applyTargetCold(now clock.Millis, t TargetCold) {
	s := b.targets[t.Target]
	if s == nil || s.Born != t.Born {
		return
	}
	if min(t.Left, t.Returned, t.Entry) < 0 || max(t.Left, t.Returned, t.Entry) > maxColdTime {
		slog.Info("cold time of a target out of range", "target", t.Target, "left_ms", int64(t.Left), "returned_ms", int64(t.Returned),
			"entry_ms", int64(t.Entry))
		metrics.GetOrCreateCounter(`pier_board_cold_invalid_total`).Inc()
	}
	if t.Ended {
		s.cold.finishUnlessRecent(now, fromEntry, fromAnswer, entryOfOther, answerOfOther)
	}
	if max(t.Left, t.Returned, t.Entry) > 0 {
		s.cold.reportedAt = max(s.cold.reportedAt, now-max(0, t.Age)) // what is repeated is no newer than when it was learned
	}
	b.prolongCold(now, s, returnOfOther, t.Returned)
	b.prolongCold(now, s, entryOfOther, t.Entry)
	b.prolongCold(now, s, answerOfOther, t.Left)
}
