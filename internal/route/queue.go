package route

import (
	"math"
	"sort"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const rateWindow = 3 * clock.Second // over which the rate of starts is smoothed

// queue holds the waiting requests of one service. Among customers the one
// that has been given the fewest tokens for its share goes first; within a
// customer the priority and then the deadline decide.
type queue struct {
	service   string
	customers map[string]*customer
	served    float64 // share-weighted tokens of the customer served last
	length    int
	levels    [maxPriority + 1]level
	decayed   clock.Millis
}

// level is what is known of the requests of one priority.
type level struct {
	length int
	starts float64 // decaying over the window
}

type customer struct {
	waiting []*wait
	served  float64 // tokens divided by share
	share   float64
}

type wait struct {
	Request
	since   clock.Millis
	due     clock.Millis // order among requests of one priority
	granted chan grant
	gone    bool
}

type grant struct {
	lease *Slot
	err   error
}

func newQueue() *queue { return &queue{customers: make(map[string]*customer)} }

func (q *queue) push(w *wait) {
	c := q.customers[w.Customer]
	if c == nil {
		c = &customer{}
		q.customers[w.Customer] = c
	}
	c.share = float64(max(w.Share, 1))
	if len(c.waiting) == 0 {
		// Time without requests earns no claim.
		c.served = max(c.served, q.served)
	}
	at := sort.Search(len(c.waiting), func(i int) bool { return w.before(c.waiting[i]) })
	c.waiting = append(c.waiting, nil)
	copy(c.waiting[at+1:], c.waiting[at:])
	c.waiting[at] = w
	q.length++
	q.levels[clampPriority(w.Priority)].length++
}

func (w *wait) before(other *wait) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	return w.due < other.due
}

// next takes the first request in the order of shares that can start, or that no longer waits.
func (q *queue) next(start func(w *wait) bool) *wait {
	order := make([]*customer, 0, len(q.customers))
	for _, c := range q.customers {
		if len(c.waiting) > 0 {
			order = append(order, c)
		}
	}
	sort.Slice(order, func(i, j int) bool { return order[i].served < order[j].served })
	for _, c := range order {
		w := c.waiting[0]
		if !w.gone && !start(w) {
			continue
		}
		c.waiting = c.waiting[1:]
		q.length--
		q.levels[clampPriority(w.Priority)].length--
		if !w.gone {
			q.served = max(q.served, c.served)
			c.served += float64(w.Tokens+w.Output) / c.share
		}
		return w
	}
	return nil
}

// progress counts the start of a request.
func (q *queue) progress(now clock.Millis, priority int) {
	q.decay(now)
	q.levels[clampPriority(priority)].starts++
}

func (q *queue) decay(now clock.Millis) {
	if now <= q.decayed {
		return
	}
	factor := math.Exp(-float64(now-q.decayed) / float64(rateWindow))
	for i := range q.levels {
		q.levels[i].starts *= factor
	}
	q.decayed = now
}

// delay predicts how long a request of a priority waits, from the rate at which those of its priority start.
func (q *queue) delay(now clock.Millis, priority int) clock.Millis {
	q.decay(now)
	l := q.levels[clampPriority(priority)]
	if l.length == 0 {
		return 0
	}
	perSecond := max(l.starts/(float64(rateWindow)/float64(clock.Second)), 1)
	return clock.Millis(float64(l.length) / perSecond * float64(clock.Second))
}
