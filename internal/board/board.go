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
	flushPeriod       = 50 * clock.Millis(1)   // in which ends of works are gathered before they are told
	rebroadcastPeriod = clock.Second           // between repeats of all own work
	instanceTimeout   = 3500 * clock.Millis(1) // after which the work of an instance that says nothing is forgotten
	relistGrace       = 2 * clock.Second       // within which live targets are listed again after an outage of the list
	maxPacketRequests = 24                     // works in a datagram
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

	targets          map[string]*targetState
	requests         map[requestKey]*knownRequest
	ownRequests      map[uint64]*ActiveRequest
	placedAt         map[uint64]clock.Millis
	placements       map[uint64]*Placement
	pending          packet
	announce         bool // there are other instances than before, which know nothing of own work
	lastNumber       uint64
	remotePlacements placementRate
}

// packet is what instances tell one another.
type packet struct {
	From        string          `cbor:"1,keyasint"`
	Placed      []ActiveRequest `cbor:"2,keyasint,omitempty"`
	FirstEvents []firstEvent    `cbor:"3,keyasint,omitempty"`
	Ended       []uint64        `cbor:"4,keyasint,omitempty"`
	Failed      []string        `cbor:"6,keyasint,omitempty"`
	Unreachable []string        `cbor:"7,keyasint,omitempty"` // targets that could not be reached
	Probes      []ProbeResult   `cbor:"8,keyasint,omitempty"`
}

// Init sets up the state.
func (b *Board) Init() {
	b.targets = make(map[string]*targetState)
	b.requests = make(map[requestKey]*knownRequest)
	b.ownRequests = make(map[uint64]*ActiveRequest)
	b.placedAt = make(map[uint64]clock.Millis)
	b.placements = make(map[uint64]*Placement)
}

// Run tells the other instances of own work until the context ends.
func (b *Board) Run(ctx context.Context) error {
	if b.Probe != nil {
		go b.monitorTargets(ctx)
	}
	flush := time.NewTicker(flushPeriod.Duration())
	defer flush.Stop()
	repeat := time.NewTicker(rebroadcastPeriod.Duration())
	defer repeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-flush.C:
			b.Loop.Post(b.tick)
		case <-repeat.C:
			b.Loop.Post(b.rebroadcast)
		}
	}
}

// ReplaceTargets takes a new list of targets into use. In doubt, as after an outage of the list's source, targets that are
// missing from it are used a little longer, since those that live are listed again soon.
func (b *Board) ReplaceTargets(targets []Target, uncertain bool) {
	b.Loop.Post(func() {
		listed := make(map[string]bool, len(targets))
		for _, t := range targets {
			listed[t.ID] = true
			b.target(t.ID).update(t, b.engine(t.Service))
		}
		now := clock.Now()
		for id, n := range b.targets {
			switch {
			case listed[id] || n.delisted:
			case !uncertain:
				b.delist(id, n)
			case n.missingSince == 0:
				n.missingSince = now
			}
		}
	})
}

// delist stops the use of a target.
func (b *Board) delist(id string, n *targetState) {
	n.delisted = true
	if len(n.assignments) == 0 {
		delete(b.targets, id)
	}
}

func (b *Board) engine(service string) model.Engine {
	e, _ := b.Engine(service)
	return e
}

func (n *targetState) update(t Target, e model.Engine) {
	n.Target, n.schedule.Engine, n.delisted, n.missingSince = t, e, false, 0
}

// target returns what is known of a target, which may be known from other instances only.
func (b *Board) target(id string) *targetState {
	n := b.targets[id]
	if n == nil {
		n = &targetState{delisted: true, decayedAt: clock.Now()}
		n.Target.ID = id
		b.targets[id] = n
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
	var chosen choice
	if isEngine && need.PromptTokens > 0 {
		for _, n := range nodes {
			n.schedule.Engine = engine
		}
		if most := engine.Memory * min(len(nodes), maxParts); most > 0 && need.PromptTokens+need.MaxOutputTokens > most {
			return nil, &Error{Op: "place", Kind: TooLarge}
		}
		chosen = chooseEngines(now, need, nodes, b.choiceCount(now, len(nodes)))
		if chosen.primary != nil && chosen.cost+timePrice(nodes)*engine.PrefillTime(need.PromptTokens) > need.value() {
			return nil, &Error{Op: "place", Kind: Costly}
		}
	} else {
		chosen = choosePlain(now, b.Zone, nodes)
	}
	if chosen.primary == nil {
		return nil, &Error{Op: "place", Kind: Full}
	}
	return b.commit(now, need, chosen), nil
}

// choiceCount returns among how many of the best engines a prompt takes one at random. What other instances have placed within
// the last moments is not known here, and without chance all would take the same engine.
func (b *Board) choiceCount(now clock.Millis, engines int) int {
	unknown := b.remotePlacements.perSecond(now) * float64(propagationTime) / float64(clock.Second)
	return 1 + int(min(choicesPerUnknown*unknown, maxChoicesShare*float64(engines)))
}

// candidates are the targets that may run a request; if all of those are ejected, those too.
func (b *Board) candidates(now clock.Millis, need Requirements) []*targetState {
	var usable, rest, excluded []*targetState
	for _, n := range b.targets {
		if n.Service != need.Service || n.delisted || n.Draining {
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

func (b *Board) commit(now clock.Millis, need Requirements, chosen choice) *Placement {
	b.lastNumber++
	w := ActiveRequest{
		Number: b.lastNumber, Target: chosen.primary.ID, PromptTokens: need.PromptTokens, MaxOutputTokens: need.MaxOutputTokens, Aim: need.FirstEventSLO, Pause: need.EventGapSLO,
		SplitMemory: chosen.splitMemory,
	}
	p := &Placement{Target: chosen.primary.Target, PredictedFirstEvent: clock.Millis(chosen.firstEvent), board: b, number: w.Number, down: make(chan struct{})}
	b.placements[w.Number] = p
	for _, h := range chosen.helpers {
		w.Helpers = append(w.Helpers, h.ID)
		p.Helpers = append(p.Helpers, h.Target)
	}
	if w.SplitMemory {
		p.HelperMemory = w.memoryTokens(true)
	}
	b.ownRequests[w.Number] = &w
	b.placedAt[w.Number] = now
	b.addRequest(now, requestKey{b.Self, w.Number}, w)
	b.pending.Placed = append(b.pending.Placed, w)
	b.flush()
	return p
}

func (b *Board) recordOutcome(id string, o Outcome) {
	n := b.targets[id]
	if n == nil {
		return
	}
	now := clock.Now()
	switch o {
	case Succeeded:
		n.recordSuccess(now)
	case Failed:
		n.recordFailure(now, false)
	case Unreachable:
		n.recordFailure(now, true)
	}
	if o != Succeeded && o != Inconclusive {
		metrics.GetOrCreateCounter(`pier_board_target_failed_total`).Inc()
	}
}
