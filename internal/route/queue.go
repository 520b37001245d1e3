package route

import (
	"math"
	"sort"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const rateWindow = 3 * clock.Second // over which the rate of started requests is smoothed

// queue holds the waiting requests of one service, and serves customers by
// weighted fair queueing: the one that has been served the fewest tokens for
// its weight goes first. The requests of one customer are ordered by priority
// and then by deadline.
type queue struct {
	service     string
	customers   map[string]*customerQueue
	virtualTime float64 // of the customer served last
	length      int
	byPriority  [maxPriority + 1]priorityStats
	decayedAt   clock.Millis
}

// priorityStats counts the requests of one priority.
type priorityStats struct {
	length int     // waiting
	starts float64 // requests started, decaying over rateWindow
}

// customerQueue holds the waiting requests of one customer.
type customerQueue struct {
	waiting     []*waiter
	virtualTime float64 // tokens served, divided by the weight
	weight      float64
}

// waiter is a waiting request.
type waiter struct {
	Request
	enqueuedAt clock.Millis
	orderTime  clock.Millis // sort key among the requests of one customer and priority
	result     chan acquireResult
	cancelled  bool // nobody waits for the result any more
}

// acquireResult is the outcome of Table.Acquire.
type acquireResult struct {
	slot *Slot
	err  error
}

func newQueue() *queue { return &queue{customers: make(map[string]*customerQueue)} }

func (q *queue) push(w *waiter) {
	c := q.customers[w.Customer]
	if c == nil {
		c = &customerQueue{}
		q.customers[w.Customer] = c
	}
	c.weight = float64(max(w.Weight, 1))
	if len(c.waiting) == 0 {
		// A customer without waiting requests does not accumulate credit.
		c.virtualTime = max(c.virtualTime, q.virtualTime)
	}
	at := sort.Search(len(c.waiting), func(i int) bool { return w.before(c.waiting[i]) })
	c.waiting = append(c.waiting, nil)
	copy(c.waiting[at+1:], c.waiting[at:])
	c.waiting[at] = w
	q.length++
	q.byPriority[clampPriority(w.Priority)].length++
}

func (w *waiter) before(other *waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	return w.orderTime < other.orderTime
}

// pop removes and returns the first request that can start or has been cancelled. Only the first request of each customer
// is considered, in the order of virtual time.
func (q *queue) pop(canStart func(w *waiter) bool) *waiter {
	order := make([]*customerQueue, 0, len(q.customers))
	for _, c := range q.customers {
		if len(c.waiting) > 0 {
			order = append(order, c)
		}
	}
	sort.Slice(order, func(i, j int) bool { return order[i].virtualTime < order[j].virtualTime })
	for _, c := range order {
		w := c.waiting[0]
		if !w.cancelled && !canStart(w) {
			continue
		}
		c.waiting = c.waiting[1:]
		q.length--
		q.byPriority[clampPriority(w.Priority)].length--
		if !w.cancelled {
			q.virtualTime = max(q.virtualTime, c.virtualTime)
			c.virtualTime += float64(w.PromptTokens+w.MaxOutputTokens) / c.weight
		}
		return w
	}
	return nil
}

// recordStart counts the start of a request.
func (q *queue) recordStart(now clock.Millis, priority int) {
	q.decay(now)
	q.byPriority[clampPriority(priority)].starts++
}

func (q *queue) decay(now clock.Millis) {
	if now <= q.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-q.decayedAt) / float64(rateWindow))
	for i := range q.byPriority {
		q.byPriority[i].starts *= factor
	}
	q.decayedAt = now
}

// predictWait predicts how long a new request waits, from the number of waiting requests of its priority and the rate at
// which those start.
func (q *queue) predictWait(now clock.Millis, priority int) clock.Millis {
	q.decay(now)
	stats := q.byPriority[clampPriority(priority)]
	if stats.length == 0 {
		return 0
	}
	perSecond := max(stats.starts/(float64(rateWindow)/float64(clock.Second)), 1)
	return clock.Millis(float64(stats.length) / perSecond * float64(clock.Second))
}
