package board

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// departureMemory is for how long a target that has left is remembered. The copies from which the source of the list comes back
// are younger.
const departureMemory = clock.Minute

// ListTrust says how far a list of targets, or of evacuated zones, can be believed; the zero value, wholly.
type ListTrust struct {
	IncompleteUntil clock.Millis // until then, targets that are in use may be missing, as after an outage of the list's source
	DoubtUntil      clock.Millis // until then, entries of targets that have left are not believed, nor that a zone is no longer evacuated
}

// Notice is what a target says of itself in an answer.
type Notice struct {
	Leaving bool         // it takes no more requests
	Quiet   clock.Millis // for so long it wants no requests from this instance; zero if it does not ask for that
	Cold    ColdNotice
}

// TargetLeaving says that a target takes no more requests, as instances broadcast it.
type TargetLeaving struct {
	Target string       `cbor:"1,keyasint"`
	Born   clock.Millis `cbor:"2,keyasint,omitempty"` // see Target.Born
}

// RecordNotice records what the target says of itself in an answer, and broadcasts that it leaves or is cold. That it wants no
// requests for a while concerns this instance alone.
func (p *Placement) RecordNotice(n Notice) { p.board.RecordNotice(p.Target, n) }

// RecordNotice does the same for an answer to anything but a placed request. A notice of an earlier start of the target is
// ignored.
func (b *Board) RecordNotice(t Target, n Notice) {
	if !n.Leaving && n.Quiet == 0 && n.Cold.Left == 0 && !b.anyLimited.Load() {
		return // no target is cold, so that there is nothing to end
	}
	b.Loop.Post(func() { b.recordNotice(t, n) })
}

// recordNotice is RecordNotice on the control loop.
func (b *Board) recordNotice(t Target, n Notice) {
	s := b.targets[t.ID]
	if s == nil || s.Born != t.Born {
		return
	}
	if n.Quiet > 0 {
		s.quietUntil = max(s.quietUntil, clock.Now()+n.Quiet)
		slog.Info("target wants no requests", "target", t.ID, "for_ms", int64(n.Quiet))
		metrics.GetOrCreateCounter(`pier_board_target_quiet_total`).Inc()
	}
	if n.Cold.Named {
		b.noteAnswered(clock.Now(), s, n.Cold)
	}
	if n.Leaving && b.closeLeaving(t.ID, t.Born) {
		b.pending.Leaving = append(b.pending.Leaving, TargetLeaving{Target: t.ID, Born: t.Born})
		b.flush()
	}
}

// Closed reports whether a target takes no new requests.
func (b *Board) Closed(target string) bool {
	closed := true
	b.Loop.Call(func() {
		if s := b.targets[target]; s != nil {
			closed = s.closed(clock.Now())
		}
	})
	return closed
}

// QuietTime returns for how long a target wants no requests from this instance.
func (b *Board) QuietTime(target string) clock.Millis {
	var left clock.Millis
	b.Loop.Call(func() {
		if s := b.targets[target]; s != nil {
			left = max(0, s.quietUntil-clock.Now())
		}
	})
	return left
}

// ServiceQuietTime returns the time until the first target of a service takes requests, if all want none for a while; else zero.
// A target that has only reached its rate limit takes one sooner.
func (b *Board) ServiceQuietTime(service string) clock.Millis {
	var short shortage
	b.Loop.Call(func() {
		var open []*targetState
		if open, short = b.eligibleTargets(clock.Now(), Requirements{Service: service}, anyCell); len(open) > 0 || short.limited {
			short = shortage{}
		}
	})
	return short.quiet
}

// closeLeaving closes a target that has said that it leaves, and reports whether that is news. It is open again when the list
// says of it that it has started anew, or is ready after it was not.
func (b *Board) closeLeaving(id string, born clock.Millis) bool {
	s := b.targets[id]
	if s == nil || s.Born != born || s.leaving {
		return false
	}
	s.leaving = true
	slog.Info("target leaves", "target", id, "requests", s.runningCount())
	metrics.GetOrCreateCounter(`pier_board_target_leaving_total`).Inc()
	return true
}

// TargetDoubt says that the list names a target which has left, as instances broadcast it.
type TargetDoubt struct {
	Target string       `cbor:"1,keyasint"`
	Born   clock.Millis `cbor:"2,keyasint,omitempty"` // see Target.Born
	Left   clock.Millis `cbor:"3,keyasint"`           // time until the entry is believed again
}

// maxDoubt is the longest time for which another instance can keep a target closed by a TargetDoubt.
const maxDoubt = 15 * clock.Second

// doubts returns the targets whose entries are not believed now, for instances that have started since these left.
func (b *Board) doubts(now clock.Millis) []TargetDoubt {
	var doubted []TargetDoubt
	for id, s := range b.targets {
		if now < s.doubtedUntil {
			doubted = append(doubted, TargetDoubt{Target: id, Born: s.Born, Left: s.doubtedUntil - now})
		}
	}
	return doubted
}

// applyDoubt closes a target that another instance knows to have left, until its entry is believed again.
func (b *Board) applyDoubt(now clock.Millis, d TargetDoubt) {
	s := b.targets[d.Target]
	if s == nil || s.Born != d.Born || s.left(now) || now < s.quietUntil {
		return
	}
	s.doubtedUntil = now + min(d.Left, maxDoubt)
	slog.Info("target has left as others know, not used yet", "target", d.Target, "doubt_ms", int64(s.doubtedUntil-now))
}

// departure says which target has left under an id.
type departure struct {
	born clock.Millis
	at   clock.Millis
}

// noteListed applies an entry of the list to what is known of targets that have left. An entry of one that has left closes it
// until the list is no longer in doubt; without doubt the entry is believed.
func (b *Board) noteListed(now clock.Millis, t Target, doubtUntil clock.Millis) {
	s := b.targets[t.ID]
	old, departed := b.departed[t.ID]
	switch {
	case t.Draining:
		b.noteDeparted(now, t)
	case departed && old.born == t.Born && now < doubtUntil:
		if s.doubtedUntil != doubtUntil {
			slog.Info("target that has left is listed again, not used yet", "target", t.ID,
				"left_ms_ago", int64(now-old.at), "doubt_ms", int64(doubtUntil-now))
		}
		s.doubtedUntil = doubtUntil
	default:
		delete(b.departed, t.ID)
	}
}

// noteDeparted records that a target takes no more requests.
func (b *Board) noteDeparted(now clock.Millis, t Target) {
	b.departed[t.ID] = departure{born: t.Born, at: now}
}

// forgetDeparted drops targets that have left departureMemory ago.
func (b *Board) forgetDeparted(now clock.Millis) {
	for id, d := range b.departed {
		if now-d.at > departureMemory {
			delete(b.departed, id)
		}
	}
}
