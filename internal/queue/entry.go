package queue

import (
	"cmp"
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// LeftParts divides the time that a request has left before its deadline: it may wait for one such part, and callers honour Retry-After up
// to the same time.
const LeftParts = 3

const levelsPerWait = 2 // priorities by which an entry rises within its longest wait

// Limits bound the queue.
type Limits struct {
	Share   float64 // of its objective for which a request may wait
	Entries int     // most entries; zero if nothing waits
}

// LongestWait returns for how long a request with an objective and some time left before its deadline may wait.
func (l Limits) LongestWait(objective, left clock.Millis) clock.Millis {
	return max(0, min(clock.Millis(l.Share*float64(objective)), left/LeftParts))
}

// Need says what a request needs room for.
type Need struct {
	Service   string
	Tokens    int  // of the prompt and the answer; zero for a plain service
	Excluding bool // targets are excluded, so that there may be room for others when there is none for it
}

// Entry is a request that waits for room.
type Entry struct {
	Need
	Customer string
	Priority int          // 0 is highest
	Arrived  clock.Millis // when the request arrived
	Since    clock.Millis // when its wait began, less what it had waited before
	Longest  clock.Millis // longest wait
	Begun    bool         // part of the answer has been sent, so that it is not displaced

	line   *line  // nil if it does not wait
	number uint64 // in the order of joining
}

// Until returns when the longest wait ends.
func (e *Entry) Until() clock.Millis { return e.Since + e.Longest }

// level returns the priority, raised by one for each half of the longest wait that has passed.
func (e *Entry) level(now clock.Millis) int {
	return e.Priority - int(levelsPerWait*(now-e.Since)/max(e.Longest, 1))
}

// interval returns the time between tries of a line in which the entry comes first.
func (e *Entry) interval() clock.Millis { return max(minInterval, e.Longest/triesPerWait) }

// compare returns a negative number if an entry comes before another one.
func (q *Queue) compare(now clock.Millis, a, b *Entry) int {
	if c := cmp.Compare(a.level(now), b.level(now)); c != 0 {
		return c
	}
	if c := cmp.Compare(q.debt(a.Customer), q.debt(b.Customer)); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.number, b.number))
}

// debt returns by how far a customer is over its share.
func (q *Queue) debt(customer string) float64 {
	if q.Debt == nil {
		return 0
	}
	debt := q.Debt(customer)
	if math.IsNaN(debt) {
		return 0 // so that the order stays total
	}
	return debt
}
