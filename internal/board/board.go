package board

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	flushPeriod  = 50 * clock.Millis(1)   // in which ends of works are gathered before they are told
	repeatPeriod = clock.Second           // between repeats of all own work
	silentTime   = 3500 * clock.Millis(1) // after which the work of an instance that says nothing is forgotten
	doubtTime    = 2 * clock.Second       // within which live targets are listed again after an outage of the list
	packetWorks  = 24                     // works in a datagram
)

// Board is one instance's picture of all targets. Its state belongs to the control loop.
type Board struct {
	Self      string
	Zone      string
	Loop      *loop.Loop
	Engine    func(service string) (model.Engine, bool) // speed of a service's engines; false for a plain service
	Broadcast func(data []byte)                         // sends a datagram to the other instances
	// Monitors reports whether this instance looks after a target, and Ask how many times as long it takes as its model says.
	Monitors func(target string) bool
	Probe    func(ctx context.Context, t Target) (float64, error)

	nodes      map[string]*node
	works      map[key]*known
	own        map[uint64]*Work
	placed     map[uint64]clock.Millis
	placements map[uint64]*Placement
	pending    packet
	greet      bool // there are other instances than before, which know nothing of own work
	number     uint64
	news       news
}

// packet is what instances tell one another.
type packet struct {
	From    string   `cbor:"1,keyasint"`
	Placed  []Work   `cbor:"2,keyasint,omitempty"`
	Begun   []begin  `cbor:"3,keyasint,omitempty"`
	Ended   []uint64 `cbor:"4,keyasint,omitempty"`
	Failed  []string `cbor:"6,keyasint,omitempty"`
	Dark    []string `cbor:"7,keyasint,omitempty"` // targets that could not be reached
	Reports []Report `cbor:"8,keyasint,omitempty"`
}

// Init sets up the state.
func (b *Board) Init() {
	b.nodes = make(map[string]*node)
	b.works = make(map[key]*known)
	b.own = make(map[uint64]*Work)
	b.placed = make(map[uint64]clock.Millis)
	b.placements = make(map[uint64]*Placement)
}

// Run tells the other instances of own work until the context ends.
func (b *Board) Run(ctx context.Context) error {
	if b.Probe != nil {
		go b.watchTargets(ctx)
	}
	flush := time.NewTicker(flushPeriod.Duration())
	defer flush.Stop()
	repeat := time.NewTicker(repeatPeriod.Duration())
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-flush.C:
			b.Loop.Post(b.tick)
		case <-repeat.C:
			b.Loop.Post(b.repeat)
		}
	}
}

// ReplaceTargets takes a new list of targets into use. In doubt, as after an outage of the list's source, targets that are
// missing from it are used a little longer, since those that live are listed again soon.
func (b *Board) ReplaceTargets(targets []Target, doubt bool) {
	b.Loop.Post(func() {
		listed := make(map[string]bool, len(targets))
		for _, t := range targets {
			listed[t.ID] = true
			b.node(t.ID).list(t, b.engine(t.Service))
		}
		now := clock.Now()
		for id, n := range b.nodes {
			switch {
			case listed[id] || n.gone:
			case !doubt:
				b.unlist(id, n)
			case n.missing == 0:
				n.missing = now
			}
		}
	})
}

// unlist stops the use of a target.
func (b *Board) unlist(id string, n *node) {
	n.gone = true
	if len(n.jobs) == 0 {
		delete(b.nodes, id)
	}
}

func (b *Board) engine(service string) model.Engine {
	e, _ := b.Engine(service)
	return e
}

func (n *node) list(t Target, e model.Engine) {
	n.Target, n.passes.Engine, n.gone, n.missing = t, e, false, 0
}

// node returns what is known of a target, which may be known from other instances only.
func (b *Board) node(id string) *node {
	n := b.nodes[id]
	if n == nil {
		n = &node{gone: true, decayed: clock.Now()}
		n.Target.ID = id
		b.nodes[id] = n
	}
	return n
}

// Place chooses targets for a request and counts it there until the placement is ended.
func (b *Board) Place(need Requirements) (*Placement, error) {
	var p *Placement
	var err error
	if !b.Loop.Call(func() { p, err = b.place(need) }) {
		return nil, &Error{Op: "place", Kind: Stopped}
	}
	return p, err
}

func (b *Board) place(need Requirements) (*Placement, error) {
	now := clock.Now()
	nodes := b.candidates(now, need)
	if len(nodes) == 0 {
		return nil, &Error{Op: "place", Kind: NoTarget}
	}
	engine, isEngine := b.Engine(need.Service)
	var chosen pick
	if isEngine && need.PromptTokens > 0 {
		for _, n := range nodes {
			n.passes.Engine = engine
		}
		if most := engine.Memory * min(len(nodes), maxParts); most > 0 && need.PromptTokens+need.Output > most {
			return nil, &Error{Op: "place", Kind: TooLarge}
		}
		chosen = chooseEngine(now, need, nodes, b.choices(now, len(nodes)))
		if chosen.first != nil && chosen.cost+price(nodes)*engine.ReadTime(need.PromptTokens) > need.value() {
			return nil, &Error{Op: "place", Kind: Costly}
		}
	} else {
		chosen = choosePlain(now, b.Zone, nodes)
	}
	if chosen.first == nil {
		return nil, &Error{Op: "place", Kind: Full}
	}
	return b.take(now, need, chosen), nil
}

// choices returns among how many of the best engines a prompt takes one at random. What other instances have placed within
// the last moments is not known here, and without chance all would take the same engine.
func (b *Board) choices(now clock.Millis, engines int) int {
	unknown := b.news.rate(now) * float64(newsTime) / float64(clock.Second)
	return 1 + int(min(choicesFor*unknown, mostChoices*float64(engines)))
}

// candidates are the targets that may run a request; if all of those are ejected, those too.
func (b *Board) candidates(now clock.Millis, need Requirements) []*node {
	var usable, rest, excluded []*node
	for _, n := range b.nodes {
		if n.Service != need.Service || n.gone || n.Draining {
			continue
		}
		switch {
		case need.Exclude[n.ID]:
			excluded = append(excluded, n)
		case n.usable(now):
			usable = append(usable, n)
		default:
			rest = append(rest, n)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	if len(rest) > 0 {
		return rest
	}
	return excluded
}

func (b *Board) take(now clock.Millis, need Requirements, chosen pick) *Placement {
	b.number++
	w := Work{
		Number: b.number, Target: chosen.first.ID, Prompt: need.PromptTokens, Output: need.Output, Aim: need.FirstEventSLO, Pause: need.EventGapSLO,
		Split: chosen.split,
	}
	p := &Placement{Target: chosen.first.Target, PredictedFirstEvent: clock.Millis(chosen.predicted), board: b, number: w.Number, lost: make(chan struct{})}
	b.placements[w.Number] = p
	for _, h := range chosen.helpers {
		w.Helpers = append(w.Helpers, h.ID)
		p.Helpers = append(p.Helpers, h.Target)
	}
	if w.Split {
		p.HelperMemory = w.memory(true)
	}
	b.own[w.Number] = &w
	b.placed[w.Number] = now
	b.add(now, key{b.Self, w.Number}, w)
	b.pending.Placed = append(b.pending.Placed, w)
	b.flush()
	return p
}

func (b *Board) judge(id string, o Outcome) {
	n := b.nodes[id]
	if n == nil {
		return
	}
	now := clock.Now()
	switch o {
	case Succeeded:
		n.succeeded(now)
	case Failed:
		n.failed(now, false)
	case Unreachable:
		n.failed(now, true)
	}
	if o != Succeeded && o != Inconclusive {
		metrics.GetOrCreateCounter(`pier_board_target_failed_total`).Inc()
	}
}
