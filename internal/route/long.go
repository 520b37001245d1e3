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
	cellSize       = 24 // engines that share a home, about
	backfillTime   = 2 * clock.Second
	ledgerPeriod   = 500 * clock.Millis(1)
	grantGrace     = 2 * clock.Second  // after a grant's deadline, or its owner's death, until it lapses
	completeWindow = 10 * clock.Second // over which the rate of completion is smoothed
	minGrants      = 8                 // in progress, for that rate to be a measure of what the engines can do
	maxBacklog     = 2                 // grants of unprocessed prompts on one engine
)

// MemoryRequest requests memory for a long prompt at the home of a cell.
type MemoryRequest struct {
	ID       string       `cbor:"1,keyasint"`
	Owner    string       `cbor:"2,keyasint"` // instance and incarnation
	Service  string       `cbor:"3,keyasint"`
	Cell     int          `cbor:"4,keyasint"`
	Model    string       `cbor:"5,keyasint"`
	Customer string       `cbor:"6,keyasint"`
	Share    int          `cbor:"7,keyasint"`
	Tokens   int          `cbor:"8,keyasint"` // prompt and output
	Output   int          `cbor:"9,keyasint"`
	Deadline clock.Millis `cbor:"10,keyasint"`
	Exclude  []string     `cbor:"11,keyasint,omitempty"`
	Priority int          `cbor:"12,keyasint"`
	Admitted bool         `cbor:"13,keyasint"` // a further attempt of a request that is not to be shed any more
}

// Allocation is memory on one engine.
type Allocation struct {
	Target string `cbor:"1,keyasint"`
	Addr   string `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

// Grant gives a long prompt memory on one or more engines; the first part's engine runs it.
type Grant struct {
	ID          string       `cbor:"1,keyasint"`
	Allocations []Allocation `cbor:"2,keyasint"`
	Reason      wire.Reason  `cbor:"3,keyasint,omitempty"` // why there is no grant
}

// Ledger is the home of the cells whose rank this instance heads. Its state belongs to the control loop.
type Ledger struct {
	Loop     *loop.Loop
	Table    *Table
	Config   func() config.Config
	View     func() member.View
	Holdings func(ctx context.Context, addr string) ([]engine.Holding, error)

	cells map[string]*cell
}

type cell struct {
	service   string
	index     int
	queue     *queue
	asks      map[string]*pending
	grants    map[string]*granted
	inherited map[string]int // tokens by engine, held for grants of a former home
	ready     bool           // the inherited memory is known
	loading   bool
	completed float64 // tokens of completed grants, decaying over the window
	decayed   clock.Millis
}

type pending struct {
	wait *wait
	ask  MemoryRequest
	done chan Grant
}

type granted struct {
	Grant
	tokens   int
	priority int
	owner    string
	deadline clock.Millis
	orphaned clock.Millis // since when the owner is gone; zero if it is not
}

// Start sets up the state.
func (l *Ledger) Start() { l.cells = make(map[string]*cell) }

// Run expires grants until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(ledgerPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.Loop.Post(l.tick)
		}
	}
}

// Reserve waits until the memory is granted or refused; an error means that this instance stopped waiting before the deadline.
func (l *Ledger) Reserve(ctx context.Context, a MemoryRequest) (Grant, error) {
	p := &pending{ask: a, done: make(chan Grant, 1)}
	p.wait = &wait{
		Request: Request{ID: a.ID, Customer: a.Customer, Share: a.Share, Tokens: a.Tokens, Priority: a.Priority, Deadline: a.Deadline},
		since:   clock.Now(), due: a.Deadline,
	}
	l.Loop.Post(func() { l.ask(p) })
	timeout := time.NewTimer((a.Deadline - clock.Now()).Duration())
	defer timeout.Stop()
	select {
	case g := <-p.done:
		return g, nil
	case <-ctx.Done():
		l.Release(a.Service, a.Cell, a.ID)
		return Grant{}, ctx.Err()
	case <-timeout.C:
		l.Release(a.Service, a.Cell, a.ID)
		return Grant{ID: a.ID, Reason: wire.ReasonDeadline}, nil
	}
}

// Release gives granted memory back, or withdraws the request for it.
func (l *Ledger) Release(service string, index int, id string) {
	l.Loop.Post(func() {
		c := l.cells[cellKey(service, index)]
		if c == nil {
			return
		}
		if p := c.asks[id]; p != nil {
			p.wait.gone = true
			delete(c.asks, id)
		}
		if g := c.grants[id]; g != nil {
			c.complete(clock.Now(), g.tokens)
			delete(c.grants, id)
		}
		l.pump(c)
	})
}

func (l *Ledger) ask(p *pending) {
	key := cellKey(p.ask.Service, p.ask.Cell)
	c := l.cells[key]
	if c == nil {
		c = &cell{
			service: p.ask.Service, index: p.ask.Cell, queue: newQueue(), asks: make(map[string]*pending),
			grants: make(map[string]*granted), inherited: make(map[string]int),
		}
		l.cells[key] = c
	}
	if l.neverFits(c, p.ask) {
		p.done <- Grant{ID: p.ask.ID, Reason: wire.ReasonNeverFits}
		return
	}
	now := clock.Now()
	if !p.ask.Admitted && now+c.processing(now, p.ask)+clock.Millis(p.ask.Output)*tokenTime > p.ask.Deadline {
		count("shed_at_ledger")
		p.done <- Grant{ID: p.ask.ID, Reason: wire.ReasonOverload}
		return
	}
	c.asks[p.ask.ID] = p
	c.queue.push(p.wait)
	if !c.ready {
		l.load(c)
		return
	}
	l.pump(c)
}

// complete counts the work of a grant that was given back.
func (c *cell) complete(now clock.Millis, tokens int) {
	c.decay(now)
	c.completed += float64(tokens)
}

func (c *cell) decay(now clock.Millis) {
	c.completed *= math.Exp(-float64(now-c.decayed) / float64(completeWindow))
	c.decayed = now
}

// processing predicts how long a prompt takes until it is processed, from the rate at which grants complete and the
// work that goes before it. Without completions to judge by it predicts nothing.
func (c *cell) processing(now clock.Millis, a MemoryRequest) clock.Millis {
	c.decay(now)
	if len(c.grants) < minGrants || c.completed <= 0 {
		return 0
	}
	ahead := a.Tokens
	for _, g := range c.grants {
		if g.priority >= a.Priority {
			ahead += g.tokens
		}
	}
	for _, p := range c.asks {
		if p.ask.Priority >= a.Priority && p.ask.Deadline <= a.Deadline {
			ahead += p.ask.Tokens
		}
	}
	perMilli := c.completed / float64(completeWindow)
	return clock.Millis(float64(ahead) / perMilli)
}

// load learns from the engines what former homes have granted, once any are listed.
func (l *Ledger) load(c *cell) {
	engines := l.engines(c, "", nil)
	if c.loading || len(engines) == 0 {
		return
	}
	c.loading = true
	long := l.service(c).Long
	go func() {
		inherited := make(map[string]int)
		for _, ts := range engines {
			ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
			held, _ := l.Holdings(ctx, ts.Addr)
			cancel()
			for _, h := range held {
				if h.Tokens > long || h.Kind == engine.KindReservation {
					inherited[ts.ID] += h.Tokens
				}
			}
		}
		l.Loop.Post(func() {
			c.loading = false
			c.inherited = inherited
			c.ready = true
			l.pump(c)
		})
	}()
}

func (l *Ledger) tick() {
	now := clock.Now()
	view := l.View()
	for _, c := range l.cells {
		if (!c.ready || len(c.inherited) > 0) && !c.loading {
			l.load(c)
		}
		for id, g := range c.grants {
			if view.Has(g.owner) {
				g.orphaned = 0
			} else if g.orphaned == 0 {
				g.orphaned = now
			}
			if now > g.deadline+grantGrace || (g.orphaned > 0 && now > g.orphaned+grantGrace) {
				count("grant_lapsed")
				delete(c.grants, id)
			}
		}
		l.pump(c)
	}
}

// pump grants memory in order; smaller requests go ahead of one that waits for memory, but not for long.
func (l *Ledger) pump(c *cell) {
	if !c.ready || len(c.inherited) > 0 && c.loading {
		return
	}
	for c.queue.length > 0 {
		now := clock.Now()
		blocked := false
		var parts []Allocation
		w := c.queue.next(func(w *wait) bool {
			p := c.asks[w.ID]
			if blocked {
				return false
			}
			parts = l.plan(c, p.ask)
			blocked = parts == nil && now-w.since > backfillTime
			return parts != nil
		})
		if w == nil {
			return
		}
		p := c.asks[w.ID]
		if w.gone || p == nil {
			continue
		}
		delete(c.asks, w.ID)
		grant := Grant{ID: w.ID, Allocations: parts}
		c.grants[w.ID] = &granted{Grant: grant, tokens: p.ask.Tokens, priority: p.ask.Priority, owner: p.ask.Owner, deadline: p.ask.Deadline}
		p.done <- grant
	}
}

// AcquireOn returns a lease on a target that a ledger has chosen, without waiting.
func (t *Table) AcquireOn(target string, r Request) (*Slot, bool) {
	var l *Slot
	t.Loop.Call(func() {
		if ts := t.targets[target]; ts != nil && !ts.leaving && ts.State == roster.Live {
			l = t.takeSlot(ts, r)
		}
	})
	return l, l != nil
}
