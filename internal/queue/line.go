package queue

import (
	"math/bits"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	minInterval  = 25 * clock.Millis(1)  // between a failed try of a line and the next one, as a try costs processor time on machines with 0.13 cores
	triesPerWait = 8                     // most failed tries within the longest wait of the first entry, as placing a long prompt costs more
	idleInterval = 100 * clock.Millis(1) // the same without a signal of room, as prefill that goes on and rate limits give none
	sizeStep     = 2                     // powers of two by which the needs of a line differ at most
	lineLifetime = clock.Minute          // of a line without entries
	gapWeight    = 0.2                   // weight of the latest value in the moving average of the time between placements
)

// lineKey identifies a line.
type lineKey struct {
	service   string
	size      int
	excluding bool
}

// key returns the line for a need.
func (n Need) key() lineKey {
	return lineKey{n.Service, bits.Len(uint(max(0, n.Tokens))) / sizeStep, n.Excluding}
}

// line holds the entries of one service that need about the same room: if there is none for the first one, there is none for the others.
type line struct {
	entries  []*Entry
	room     bool           // there was a signal of room since the last try
	earliest clock.Millis   // next try with such a signal
	latest   clock.Millis   // next try without one
	cause    error          // of the last failed try
	usedAt   clock.Millis   // when an entry last joined or was refused
	gap      float64        // moving average of the time between placements from the line, milliseconds; zero before the first
	placedAt clock.Millis   // the last of these, or when the line ceased to be empty
	returns  []clock.Millis // when those that were refused return
}

// due returns when the line is tried again.
func (l *line) due() clock.Millis {
	if l.room {
		return min(l.earliest, l.latest)
	}
	return l.latest
}

// recordFailure sets the next tries after one has failed; wait is the time until a target may take the request, or zero.
func (l *line) recordFailure(now clock.Millis, first *Entry, cause error, wait clock.Millis) {
	l.cause = cause
	l.earliest = now + max(first.interval(), wait)
	l.latest = l.earliest
	if wait == 0 {
		l.latest = now + max(first.interval(), min(idleInterval, first.Longest/2)) // so that each entry comes to a try of its line
	}
}

// recordPlacement adds the time since the previous placement to the average.
func (l *line) recordPlacement(now clock.Millis) {
	took := float64(now - l.placedAt)
	if l.gap == 0 {
		l.gap = took
	}
	l.gap += gapWeight * (took - l.gap)
	l.placedAt = now
}

// meanGap returns the time between placements that is expected now.
func (l *line) meanGap(now clock.Millis) float64 {
	if len(l.entries) == 0 {
		return l.gap
	}
	return max(l.gap, float64(now-l.placedAt))
}

// returning returns how many requests that were refused are yet to return.
func (l *line) returning(now clock.Millis) int {
	l.returns = slices.DeleteFunc(l.returns, func(at clock.Millis) bool { return at <= now })
	return len(l.returns)
}

// remove removes an entry.
func (l *line) remove(e *Entry) {
	l.entries = slices.DeleteFunc(l.entries, func(other *Entry) bool { return other == e })
}
