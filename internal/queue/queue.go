package queue

import (
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	maxReturns = 1024 // most refused requests of a line whose return is expected
	minSpread  = 0.5  // of the earliest Retry-After: least length of the time over which returns are spread
	lateSpread = 0.25 // the same if that time would end before the earliest Retry-After
)

// Queue holds the requests of one instance that wait for room. Its zero value with Limits and Random is empty.
type Queue struct {
	Limits func() Limits
	Random func() float64 // from 0 up to but not including 1
	// Debt returns by how far a customer is over its share; below zero if it is under it. It must neither block nor call the queue.
	// Nil if that does not matter.
	Debt func(customer string) float64

	lines  map[lineKey]*line
	length int
	number uint64 // of the last entry
	turn   *Entry // the entry that is being tried; nil if there is none
	closed bool
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.length }

// Occupied reports whether entries with a similar need wait, so that a new request may not be placed before them.
func (q *Queue) Occupied(n Need) bool {
	l := q.lines[n.key()]
	return l != nil && len(l.entries) > 0
}

// Cause returns why the last try for a similar need failed, or nil if that is not known.
func (q *Queue) Cause(n Need) error {
	if l := q.lines[n.key()]; l != nil {
		return l.cause
	}
	return nil
}

// Join adds an entry. If its line is empty, a try with the given cause and wait must just have failed. For an entry that comes before
// the last one of a full queue, the last one leaves.
func (q *Queue) Join(now clock.Millis, e *Entry, cause error, wait clock.Millis) (displaced *Entry, err error) {
	if q.closed {
		return nil, &Error{Op: "join", Kind: Closed}
	}
	l := q.line(now, e.Need)
	if len(l.entries) == 0 {
		l.room, l.placedAt = false, now
		l.recordFailure(now, e, cause, wait)
	}
	if max(now+minInterval, l.earliest) > e.Until() {
		return nil, &Error{Op: "join", Kind: TooLate}
	}
	q.number++
	e.number = q.number
	if q.length >= q.Limits().Entries {
		displaced = q.last(now)
		if displaced == nil || q.compare(now, e, displaced) >= 0 {
			return nil, &Error{Op: "join", Kind: Full}
		}
		q.Leave(displaced)
	}
	e.line = l
	l.entries = append(l.entries, e)
	q.length++
	return displaced, nil
}

// Next returns the entry whose turn it is to be tried, and begins its turn. It returns nil if there is none, or a turn has not ended.
func (q *Queue) Next(now clock.Millis) *Entry {
	if q.turn != nil {
		return nil
	}
	for _, l := range q.lines {
		if len(l.entries) == 0 || l.due() > now {
			continue
		}
		if e := q.first(now, l.entries); q.turn == nil || q.compare(now, e, q.turn) < 0 {
			q.turn = e
		}
	}
	if q.turn != nil {
		l := q.turn.line
		l.room, l.latest = false, now // unless the turn fails, the line's next entry is due at once
	}
	return q.turn
}

// NextAt returns when Next may return an entry unless anything else happens before; false if that would not be by time.
func (q *Queue) NextAt() (at clock.Millis, ok bool) {
	if q.turn != nil {
		return 0, false
	}
	for _, l := range q.lines {
		if len(l.entries) > 0 && (!ok || l.due() < at) {
			at, ok = l.due(), true
		}
	}
	return at, ok
}

// Signal records that there may be room at a target of a service.
func (q *Queue) Signal(service string) {
	for key, l := range q.lines {
		if key.service == service {
			l.room = true
		}
	}
}

// Fail ends a turn in which the entry was not placed. wait is the time until a target may take the request, or zero if that is not
// known. It returns the entries that cannot be served in time therefore; they have left.
func (q *Queue) Fail(now clock.Millis, e *Entry, cause error, wait clock.Millis) (hopeless []*Entry) {
	if q.turn != e {
		return nil
	}
	q.turn = nil
	e.line.recordFailure(now, e, cause, wait)
	if wait == 0 {
		return nil
	}
	for _, other := range slices.Clone(e.line.entries) {
		if other.Until() < now+wait {
			hopeless = append(hopeless, other)
			q.Leave(other)
		}
	}
	return hopeless
}

// Placed ends a turn in which the entry was placed. The entry leaves.
func (q *Queue) Placed(now clock.Millis, e *Entry) {
	if e.line != nil {
		e.line.recordPlacement(now)
	}
	q.Leave(e)
}

// Leave removes an entry, and ends its turn. It reports false if the entry had left.
func (q *Queue) Leave(e *Entry) bool {
	if e.line == nil {
		return false
	}
	e.line.remove(e)
	e.line = nil
	q.length--
	if q.turn == e {
		q.turn = nil
	}
	return true
}

// Close lets all entries leave, and none join any more.
func (q *Queue) Close() []*Entry {
	q.closed = true
	var left []*Entry
	for _, l := range q.lines {
		for _, e := range slices.Clone(l.entries) {
			q.Leave(e)
			left = append(left, e)
		}
	}
	return left
}

// RetryAfter returns the time after which a request that is refused should return, and expects it then. Returns are spread at random
// over the time in which there will be room for the entries that wait and for those that were refused before: from the earliest time
// until all are placed at the present rate, but not beyond the latest time, if that is after the earliest one.
func (q *Queue) RetryAfter(now clock.Millis, n Need, earliest, latest clock.Millis) clock.Millis {
	l := q.line(now, n)
	from := float64(earliest)
	ahead := float64(len(l.entries) + l.returning(now) + 1)
	to := from + max(minSpread*from, ahead*l.meanGap(now))
	to = max(min(to, float64(latest)), from*(1+lateSpread))
	after := clock.Millis(from + q.Random()*(to-from))
	if len(l.returns) < maxReturns {
		l.returns = append(l.returns, now+after)
	}
	return after
}

// line returns the line for a need. When it creates one, it drops those that have not been used for lineLifetime.
func (q *Queue) line(now clock.Millis, n Need) *line {
	key := n.key()
	l := q.lines[key]
	if l == nil {
		for other, old := range q.lines {
			if len(old.entries) == 0 && now-old.usedAt > lineLifetime {
				delete(q.lines, other)
			}
		}
		if q.lines == nil {
			q.lines = make(map[lineKey]*line)
		}
		l = &line{}
		q.lines[key] = l
	}
	l.usedAt = now
	return l
}

// first returns the entry that comes first among some.
func (q *Queue) first(now clock.Millis, entries []*Entry) *Entry {
	return slices.MinFunc(entries, func(a, b *Entry) int { return q.compare(now, a, b) })
}

// last returns the entry that comes last in the queue, but for one that is being tried and those that have begun; nil if there is none.
func (q *Queue) last(now clock.Millis) *Entry {
	var last *Entry
	for _, l := range q.lines {
		for _, e := range l.entries {
			if e != q.turn && !e.Begun && (last == nil || q.compare(now, e, last) > 0) {
				last = e
			}
		}
	}
	return last
}
