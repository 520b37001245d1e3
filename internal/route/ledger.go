package route

import (
	"context"
	"math"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	enginesPerCell     = 24               // on average; all engines of a cell have the same home
	maxBackfillWait    = 2 * clock.Second // while smaller requests may overtake one that waits for memory
	ledgerInterval     = 500 * clock.Millis(1)
	grantGrace         = 2 * clock.Second  // from the deadline of a grant, or the loss of its owner, until it expires
	completionWindow   = 10 * clock.Second // over which the rate of completions is smoothed
	minGrantsToPredict = 8                 // in progress; with fewer, that rate does not show what the engines can do
	maxGrantsPerEngine = 2                 // an engine with as many gets no further prompt that fits on one engine
)

// MemoryRequest asks the home of a cell for memory for a long prompt.
type MemoryRequest struct {
	ID              string       `cbor:"1,keyasint"`
	Owner           string       `cbor:"2,keyasint"` // instance and incarnation
	Service         string       `cbor:"3,keyasint"`
	Cell            int          `cbor:"4,keyasint"`
	Model           string       `cbor:"5,keyasint"`
	Customer        string       `cbor:"6,keyasint"`
	Weight          int          `cbor:"7,keyasint"`
	Tokens          int          `cbor:"8,keyasint"` // memory needed: prompt and output
	MaxOutputTokens int          `cbor:"9,keyasint"` // included in Tokens
	Deadline        clock.Millis `cbor:"10,keyasint"`
	Exclude         []string     `cbor:"11,keyasint,omitempty"`
	Priority        int          `cbor:"12,keyasint"`
	Admitted        bool         `cbor:"13,keyasint"` // a retry; its request was admitted before and is not shed any more
}

// Allocation is the memory that a grant takes on one engine.
type Allocation struct {
	Target string `cbor:"1,keyasint"`
	Addr   string `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

// Grant is the answer to a MemoryRequest: memory on one or more engines, one of which runs the prompt, or a reason.
type Grant struct {
	ID          string       `cbor:"1,keyasint"`
	Allocations []Allocation `cbor:"2,keyasint"`
	Reason      wire.Reason  `cbor:"3,keyasint,omitempty"` // why no memory was granted; empty if it was
}

// Ledger accounts for the memory granted to long prompts in the cells whose home is this instance, and grants it. Its
// state belongs to the control loop.
type Ledger struct {
	Loop     *loop.Loop
	Table    *Table
	Config   func() config.Config
	View     func() member.View
	Holdings func(ctx context.Context, addr string) ([]engine.Holding, error) // asks an engine what memory it holds

	cells map[string]*cell
}

// cell is a group of engines of one service, with the requests for their memory.
type cell struct {
	service         string
	index           int
	queue           *queue
	pending         map[string]*pendingRequest
	grants          map[string]*activeGrant
	inherited       map[string]int // tokens by engine that are in use under grants of earlier homes
	ready           bool           // inherited is known, so that memory can be granted
	fetching        bool           // inherited is being fetched
	completedTokens float64        // tokens of released grants, decaying over completionWindow
	decayedAt       clock.Millis
}

// pendingRequest is a request that waits for memory.
type pendingRequest struct {
	waiter  *waiter
	request MemoryRequest
	result  chan Grant
}

// activeGrant is a grant that has neither been released nor expired.
type activeGrant struct {
	Grant
	tokens        int
	priority      int
	owner         string
	deadline      clock.Millis
	orphanedSince clock.Millis // since when the owner has been missing; zero if it is present
}

// Init initializes the ledger; call it before any other method.
func (l *Ledger) Init() { l.cells = make(map[string]*cell) }

// Run expires grants and retries pending requests periodically until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	clock.Every(ctx, ledgerInterval, func() { l.Loop.Post(l.tick) })
	return nil
}

// Reserve waits until the memory is granted or refused. An error means that ctx ended first, so that this instance
// stopped waiting; a deadline that passes is a refusal, not an error.
func (l *Ledger) Reserve(ctx context.Context, r MemoryRequest) (Grant, error) {
	p := &pendingRequest{request: r, result: make(chan Grant, 1)}
	p.waiter = &waiter{
		Request:    Request{ID: r.ID, Customer: r.Customer, Weight: r.Weight, PromptTokens: r.Tokens, Priority: r.Priority, Deadline: r.Deadline},
		enqueuedAt: clock.Now(), orderTime: r.Deadline,
	}
	l.Loop.Post(func() { l.enqueue(p) })
	timeout := time.NewTimer((r.Deadline - clock.Now()).Duration())
	defer timeout.Stop()
	select {
	case grant := <-p.result:
		return grant, nil
	case <-ctx.Done():
		l.Release(r.Service, r.Cell, r.ID)
		return Grant{}, ctx.Err()
	case <-timeout.C:
		l.Release(r.Service, r.Cell, r.ID)
		return Grant{ID: r.ID, Reason: wire.ReasonDeadline}, nil
	}
}

// Release gives granted memory back, or cancels a pending request for it.
func (l *Ledger) Release(service string, index int, id string) {
	l.Loop.Post(func() {
		c := l.cells[cellKey(service, index)]
		if c == nil {
			return
		}
		if p := c.pending[id]; p != nil {
			p.waiter.cancelled = true
			delete(c.pending, id)
		}
		if g := c.grants[id]; g != nil {
			c.recordCompletion(clock.Now(), g.tokens)
			delete(c.grants, id)
		}
		l.grantPending(c)
	})
}

// enqueue refuses a request that can never fit or would miss its deadline, and queues any other one.
func (l *Ledger) enqueue(p *pendingRequest) {
	key := cellKey(p.request.Service, p.request.Cell)
	c := l.cells[key]
	if c == nil {
		c = &cell{
			service: p.request.Service, index: p.request.Cell, queue: newQueue(), pending: make(map[string]*pendingRequest),
			grants: make(map[string]*activeGrant), inherited: make(map[string]int),
		}
		l.cells[key] = c
	}
	if l.neverFits(c, p.request) {
		p.result <- Grant{ID: p.request.ID, Reason: wire.ReasonNeverFits}
		return
	}
	now := clock.Now()
	if !p.request.Admitted && now+c.predictPrefill(now, p.request)+clock.Millis(p.request.MaxOutputTokens)*timePerToken > p.request.Deadline {
		countEvent("shed_at_ledger")
		p.result <- Grant{ID: p.request.ID, Reason: wire.ReasonOverload}
		return
	}
	c.pending[p.request.ID] = p
	c.queue.push(p.waiter)
	if !c.ready {
		l.fetchInherited(c)
		return
	}
	l.grantPending(c)
}

// recordCompletion counts the tokens of a released grant.
func (c *cell) recordCompletion(now clock.Millis, tokens int) {
	c.decay(now)
	c.completedTokens += float64(tokens)
}

func (c *cell) decay(now clock.Millis) {
	c.completedTokens *= math.Exp(-float64(now-c.decayedAt) / float64(completionWindow))
	c.decayedAt = now
}

// predictPrefill predicts how long it takes until a prompt has been processed, from the rate at which grants complete
// and the work ahead of it. It returns zero while there are too few grants or completions to know the rate.
func (c *cell) predictPrefill(now clock.Millis, r MemoryRequest) clock.Millis {
	c.decay(now)
	if len(c.grants) < minGrantsToPredict || c.completedTokens <= 0 {
		return 0
	}
	ahead := r.Tokens
	for _, g := range c.grants {
		if g.priority >= r.Priority {
			ahead += g.tokens
		}
	}
	for _, p := range c.pending {
		if p.request.Priority >= r.Priority && p.request.Deadline <= r.Deadline {
			ahead += p.request.Tokens
		}
	}
	perMilli := c.completedTokens / float64(completionWindow)
	return clock.Millis(float64(ahead) / perMilli)
}

// fetchInherited asks the engines what memory is in use under grants of earlier homes. It does nothing until an engine
// is listed.
func (l *Ledger) fetchInherited(c *cell) {
	engines := l.usableEngines(c, "", nil)
	if c.fetching || len(engines) == 0 {
		return
	}
	c.fetching = true
	longThreshold := l.service(c).LongPromptTokens
	go func() {
		inherited := make(map[string]int)
		for _, ts := range engines {
			ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
			holdings, _ := l.Holdings(ctx, ts.Addr)
			cancel()
			for _, h := range holdings {
				if h.Tokens > longThreshold || h.Kind == engine.KindReservation {
					inherited[ts.ID] += h.Tokens
				}
			}
		}
		l.Loop.Post(func() {
			c.fetching = false
			c.inherited = inherited
			c.ready = true
			l.grantPending(c)
		})
	}()
}

// tick updates the inherited memory, drops expired grants and grants what has become free.
func (l *Ledger) tick() {
	now := clock.Now()
	view := l.View()
	for _, c := range l.cells {
		if (!c.ready || len(c.inherited) > 0) && !c.fetching {
			l.fetchInherited(c)
		}
		for id, g := range c.grants {
			if view.HasOwner(g.owner) {
				g.orphanedSince = 0
			} else if g.orphanedSince == 0 {
				g.orphanedSince = now
			}
			if now > g.deadline+grantGrace || (g.orphanedSince > 0 && now > g.orphanedSince+grantGrace) {
				countEvent("grant_lapsed")
				delete(c.grants, id)
			}
		}
		l.grantPending(c)
	}
}

// grantPending grants memory in the order of the queue. Smaller requests may overtake one that waits for memory, but
// only until it has waited for maxBackfillWait, so that it is not starved.
func (l *Ledger) grantPending(c *cell) {
	if !c.ready || len(c.inherited) > 0 && c.fetching {
		return
	}
	for c.queue.length > 0 {
		now := clock.Now()
		blocked := false
		var allocations []Allocation
		w := c.queue.pop(func(w *waiter) bool {
			p := c.pending[w.ID]
			if blocked {
				return false
			}
			allocations = l.allocate(c, p.request)
			blocked = allocations == nil && now-w.enqueuedAt > maxBackfillWait
			return allocations != nil
		})
		if w == nil {
			return
		}
		p := c.pending[w.ID]
		if w.cancelled || p == nil {
			continue
		}
		delete(c.pending, w.ID)
		grant := Grant{ID: w.ID, Allocations: allocations}
		c.grants[w.ID] = &activeGrant{Grant: grant, tokens: p.request.Tokens, priority: p.request.Priority, owner: p.request.Owner, deadline: p.request.Deadline}
		p.result <- grant
	}
}

// AcquireOn takes a slot on the target that a ledger has chosen, without waiting. It fails if the target is not listed or
// takes no new requests now.
func (t *Table) AcquireOn(targetID string, r Request) (*Slot, bool) {
	var slot *Slot
	t.Loop.Call(func() {
		if ts := t.targets[targetID]; ts != nil && !ts.leaving && !ts.quiet(clock.Now()) && ts.State == roster.Live {
			slot = t.takeSlot(ts, r)
		}
	})
	return slot, slot != nil
}
