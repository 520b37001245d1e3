package board

import (
	"log/slog"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// leftMemory is for how long a target that has left is remembered; a copy from which the source of the list comes back is younger.
const leftMemory = clock.Minute

// ListTrust says how far a list of targets can be believed; the zero value, wholly.
type ListTrust struct {
	IncompleteUntil clock.Millis // until then, targets that are in use may be missing, as after an outage of the list's source
	DoubtUntil      clock.Millis // until then, entries of targets that have left are not believed
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
	old, left := b.left[t.ID]
	switch {
	case t.Draining:
		b.noteLeft(now, t)
	case left && old.born == t.Born && now < doubtUntil:
		if s.closedUntil != doubtUntil {
			slog.Info("target that has left is listed again, not used yet", "target", t.ID, "left_ms_ago", int64(now-old.at), "doubt_ms", int64(doubtUntil-now))
		}
		s.closedUntil = doubtUntil
	default:
		s.closedUntil = 0
		delete(b.left, t.ID)
	}
}

// noteLeft records that a target takes no more requests.
func (b *Board) noteLeft(now clock.Millis, t Target) { b.left[t.ID] = departure{born: t.Born, at: now} }

// forgetLeft drops targets that have left leftMemory ago.
func (b *Board) forgetLeft(now clock.Millis) {
	for id, d := range b.left {
		if now-d.at > leftMemory {
			delete(b.left, id)
		}
	}
}
