package queue

import (
	"errors"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

var errCostly = errors.New("costly")

// newQueue returns a queue with an eighth of the objective and a number of entries.
func newQueue(entries int) *Queue {
	return &Queue{Limits: func() Limits { return Limits{Share: 0.125, Entries: entries} }, Random: func() float64 { return 0.5 }}
}

// newEntry returns an entry whose wait begins now, of a prompt whose size gives the class.
func newEntry(now clock.Millis, tokens, priority int, customer string, longest clock.Millis) *Entry {
	return &Entry{Need: Need{Service: "models", Tokens: tokens}, Customer: customer, Priority: priority, Arrived: now, Since: now, Longest: longest}
}

// mustJoin adds an entry after a failed try, and fails the test if it is refused.
func mustJoin(t testing.TB, q *Queue, now clock.Millis, e *Entry) {
	t.Helper()
	if _, err := q.Join(now, e, errCostly, 0); err != nil {
		t.Fatal(err)
	}
}

// kindOf returns the kind of a refusal, or the empty one.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against: a request waits so long that its caller loses by it, or a third of its time left is exceeded.
func TestLongestWait(t *testing.T) {
	is := is.New(t)
	l := Limits{Share: 0.125, Entries: 256}
	is.Equal(l.LongestWait(4000, 15_000), clock.Millis(500))
	is.Equal(l.LongestWait(4000, 900), clock.Millis(300))
	is.Equal(l.LongestWait(300, 10_000), clock.Millis(37))
	is.Equal(l.LongestWait(0, 10_000), clock.Millis(0))
	is.Equal(l.LongestWait(300, -5), clock.Millis(0))
}

// Guards against: entries are tried in another order than by priority, debt of the customer and arrival, or a debt that is not a
// number puts its customer first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	debts := map[string]float64{"over": 2, "under": -1, "wrong": math.NaN()}
	q.Debt = func(customer string) float64 { return debts[customer] }
	want := []*Entry{
		newEntry(0, 5000, 0, "under", 500), newEntry(0, 5000, 0, "wrong", 500), newEntry(1, 5000, 0, "even", 500),
		newEntry(2, 5000, 0, "over", 500), newEntry(0, 5000, 1, "under", 500), newEntry(1, 5000, 1, "under", 500),
	}
	for _, i := range []int{3, 5, 1, 0, 4, 2} {
		mustJoin(t, q, 2, want[i])
	}
	q.Signal("models")
	for _, e := range want {
		is.Equal(q.Next(100), e)
		is.Equal(q.Next(100), nil) // one turn at a time
		q.Placed(100, e)
	}
	is.Equal(q.Next(100), nil)
	is.Equal(q.Len(), 0)
}

// Guards against: an entry of low priority is never tried while entries of a higher one keep coming.
func TestRankRisesWithWait(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000)
	low := newEntry(0, 5000, 1, "a", 500)
	mustJoin(t, q, 0, low)
	mustJoin(t, q, 0, newEntry(0, 5000, 0, "b", 500))
	for now := clock.Millis(75); now <= low.Until(); now += 25 {
		mustJoin(t, q, now, newEntry(now, 5000, 0, "b", 500)) // one comes for each that is placed
		q.Signal("models")
		e := q.Next(now)
		q.Placed(now, e)
		if e == low {
			is.True(now >= 250) // half of its longest wait, by which it rises by one priority
			return
		}
	}
	is.Fail() // never tried
}

// Guards against: each signal, or each entry of a line, costs a try, so that a small machine does nothing else.
func TestFailedTriesPerSecond(t *testing.T) {
	for _, c := range []struct {
		longest, signalEvery clock.Millis
		most                 int
	}{{2000, 1, 4}, {160, 1, 40}, {2000, 0, 4}, {160, 0, 12}, {37, 0, 40}} {
		is := is.New(t)
		q := newQueue(256)
		for range 200 {
			mustJoin(t, q, 0, newEntry(0, 5000, 0, "a", c.longest))
		}
		tries := 0
		for now := clock.Millis(0); now < clock.Second; now++ {
			if c.signalEvery > 0 {
				q.Signal("models")
			}
			for e := q.Next(now); e != nil; e = q.Next(now) {
				tries++
				is.Equal(q.Fail(now, e, errCostly, 0), nil)
			}
		}
		is.True(tries <= c.most)
		is.True(tries >= c.most-1)
	}
}

// Guards against: the entries behind one that is placed, or that goes in its turn, wait for the next signal although there is room.
func TestNextTriedAtOnce(t *testing.T) {
	is := is.New(t)
	q := newQueue(256)
	for range 3 {
		mustJoin(t, q, 0, newEntry(0, 5000, 0, "a", 500))
	}
	_, waits := q.NextAt()
	is.True(waits)
	is.Equal(q.Next(24), nil)
	q.Signal("other")
	is.Equal(q.Next(62), nil)
	q.Signal("models")
	at, _ := q.NextAt()
	is.Equal(at, clock.Millis(62)) // an eighth of the longest wait
	q.Placed(62, q.Next(62))
	is.True(q.Leave(q.Next(62))) // the caller is gone
	e := q.Next(62)
	is.True(e != nil)
	q.Signal("models") // after the turn has begun, so that it counts
	q.Fail(70, e, errCostly, 0)
	at, _ = q.NextAt()
	is.Equal(at, clock.Millis(132))
}

// Pattern: a long read comes first and finds no room. Guards against: it holds up short prompts for which there is room.
func TestLinesDoNotBlock(t *testing.T) {
	is := is.New(t)
	q := newQueue(256)
	mustJoin(t, q, 0, newEntry(0, 300_000, 0, "a", 500))
	is.True(q.Occupied(Need{Service: "models", Tokens: 250_000}))
	is.True(!q.Occupied(Need{Service: "models", Tokens: 5000}))
	is.True(!q.Occupied(Need{Service: "desk", Tokens: 300_000}))
	is.True(!q.Occupied(Need{Service: "models", Tokens: -7}))
	short := newEntry(1, 5000, 0, "a", 37)
	mustJoin(t, q, 1, short)
	q.Signal("models")
	is.Equal(q.Next(26), short)
	q.Fail(26, short, errCostly, 0)
	q.Leave(short)
	is.Equal(q.Next(62).Tokens, 300_000)
}

// Guards against: a full queue takes more entries, lets one that comes back push out one that waits, or keeps out one that comes first.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	q := newQueue(2)
	first, second := newEntry(0, 5000, 1, "a", 500), newEntry(1, 5000, 1, "a", 500)
	mustJoin(t, q, 1, first)
	mustJoin(t, q, 1, second)
	_, err := q.Join(2, newEntry(2, 5000, 1, "a", 500), errCostly, 0)
	is.Equal(kindOf(err), Full)
	displaced, err := q.Join(3, newEntry(3, 5000, 0, "a", 500), errCostly, 0)
	is.NoErr(err)
	is.Equal(displaced, second)
	is.Equal(q.Len(), 2)
	is.True(!q.Leave(second))
	q.Signal("models")
	is.Equal(q.Next(100).Priority, 0)
	displaced, err = q.Join(100, newEntry(100, 5000, -1, "a", 500), errCostly, 0)
	is.NoErr(err)
	is.Equal(displaced, first)
	_, err = q.Join(100, newEntry(100, 5000, 0, "a", 500), errCostly, 0) // the others come before it, one in its turn
	is.Equal(kindOf(err), Full)
}

// Guards against: a request waits although its time ends before anything is tried for it.
func TestHopelessDoNotWait(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	_, err := q.Join(0, newEntry(0, 5000, 0, "a", 24), errCostly, 0)
	is.Equal(kindOf(err), TooLate)
	_, err = q.Join(0, newEntry(0, 5000, 0, "a", 500), errCostly, 700)
	is.Equal(kindOf(err), TooLate)
	brief, patient := newEntry(0, 5000, 0, "a", 80), newEntry(1, 5000, 0, "a", 500)
	mustJoin(t, q, 1, brief)
	mustJoin(t, q, 1, patient)
	q.Signal("models")
	is.Equal(q.Next(30), brief)
	is.Equal(q.Fail(30, brief, errCostly, 100), []*Entry{brief}) // a target takes one in 100 ms, too late for it
	is.Equal(q.Len(), 1)
	q.Signal("models")
	is.Equal(q.Next(129), nil)
	is.Equal(q.Next(130), patient)
	is.Equal(q.Cause(patient.Need), errCostly)
}

// Guards against: an entry stays behind when the instance stops, or one joins after that.
func TestClose(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	for n := range 4 {
		mustJoin(t, q, 0, newEntry(0, 10<<(4*n), 0, "a", 500))
	}
	q.Signal("models")
	tried := q.Next(100)
	left := q.Close()
	is.Equal(len(left), 4)
	is.True(slices.Contains(left, tried))
	is.Equal(q.Fail(100, tried, errCostly, 0), nil)
	is.Equal(q.Next(200), nil)
	_, waits := q.NextAt()
	is.True(!waits)
	_, err := q.Join(200, newEntry(200, 5000, 0, "a", 500), errCostly, 0)
	is.Equal(kindOf(err), Closed)
}

// Guards against: callers that are refused at one moment return at one moment, before there is room, or after the time up to which they
// honour Retry-After.
func TestReturnsSpread(t *testing.T) {
	is := is.New(t)
	q := newQueue(256)
	seed := 0
	q.Random = func() float64 { seed++; return float64(seed*37%100) / 100 }
	need := Need{Service: "models", Tokens: 5000}
	for range 20 {
		mustJoin(t, q, 0, newEntry(0, 5000, 0, "a", 4000))
	}
	for now := clock.Millis(500); now <= 1000; now += 50 { // one placement in 50 ms
		q.Signal("models")
		q.Placed(now, q.Next(now))
	}
	perBucket := map[clock.Millis]int{}
	for range 100 {
		after := q.RetryAfter(1000, need, 300, 3000)
		is.True(after >= 300)
		is.True(after <= 3000)
		perBucket[after/300]++
	}
	for _, n := range perBucket {
		is.True(n <= 50) // of 100; the first ones are expected earlier, as fewer are refused before them
	}
	is.True(len(perBucket) >= 8)
	lone := newQueue(256)
	lone.Random = func() float64 { return 0.999 }
	is.True(lone.RetryAfter(0, need, 300, 3000) > 400) // spread also if no rate is known
	is.True(lone.RetryAfter(0, need, 300, 100) <= 375) // there is no room before, whatever the caller honours
}

// Guards against: lines of requests that come no more are kept for good.
func TestLinesDropped(t *testing.T) {
	is := is.New(t)
	q := newQueue(256)
	for n := range 40 {
		e := newEntry(0, 5000, 0, "a", 500)
		e.Service = string(rune('a' + n))
		mustJoin(t, q, 0, e)
		if n > 0 {
			q.Leave(e)
		}
	}
	mustJoin(t, q, 2*clock.Minute, newEntry(2*clock.Minute, 5000, 0, "a", 500))
	is.Equal(len(q.lines), 2)
}

// Guards against: a request that may hardly wait joins others between two tries of their line, and is refused without a try.
func TestBriefWaitAmongOthers(t *testing.T) {
	is := is.New(t)
	q := newQueue(10)
	mustJoin(t, q, 0, newEntry(0, 5000, 0, "a", 4000)) // tried by time at 500 ms
	for _, longest := range []clock.Millis{0, 1, 24} {
		_, err := q.Join(510, newEntry(510, 5000, 0, "a", longest), nil, 0)
		is.Equal(kindOf(err), TooLate)
	}
	is.Equal(q.Len(), 1)
	mustJoin(t, q, 510, newEntry(510, 5000, 0, "a", 25))
}

// Guards against: an answer that has begun is cut because another request takes its entry in the full queue.
func TestBegunNotDisplaced(t *testing.T) {
	is := is.New(t)
	q := newQueue(2)
	begun, other := newEntry(1, 5000, 3, "a", 500), newEntry(0, 5000, 2, "a", 500)
	begun.Begun = true
	mustJoin(t, q, 1, begun)
	mustJoin(t, q, 1, other)
	displaced, err := q.Join(2, newEntry(2, 5000, 0, "a", 500), errCostly, 0)
	is.NoErr(err)
	is.Equal(displaced, other)
}
