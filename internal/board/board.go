package board

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/model"
	"github.com/corianderpier/corianderpier/internal/share"
)

const (
	flushInterval       = 50 * clock.Millis(1)   // between broadcasts of batched changes; placements are broadcast at once
	rebroadcastInterval = clock.Second           // between broadcasts of all own requests
	instanceTimeout     = 3500 * clock.Millis(1) // after which another instance's requests are dropped if it has not broadcast them again
	maxPacketRequests   = 24                     // most requests in a datagram
)

// Board is one instance's view of all targets and of the requests on them. Its state is accessed only on the control
// loop.
type Board struct {
	Self      string // id of this instance
	Zone      string // availability zone of this instance
	Loop      *loop.Loop
	Engine    func(service string) (model.Engine, bool) // capacity and speed of a service's engines; false for a plain service
	Broadcast func(data []byte)                         // sends a datagram to all other instances of the cell
	InCell    func(target string) bool                  // whether a target belongs to this instance's cell; nil if all do
	// HearsPlacements reports whether this instance hears of the placements of all others on a target; nil if it does.
	HearsPlacements func(target string) bool
	// Monitors reports whether this instance probes a target. Probe asks a target for its state. A nil Probe disables probing.
	Monitors func(target string) bool
	Probe    func(ctx context.Context, t Target) (Report, error)
	// Unlinked reports whether this instance has lost its links to all targets, so that a target which it does not reach may be
	// sound. Nil if it never does.
	Unlinked func() bool
	// Cold returns what the targets of a service bear while they are cold, and ColdLimit the limit on what they get. Without both,
	// nothing is limited.
	Cold      func(service string) ColdRate
	ColdLimit func() ColdLimit
	// Cell returns the names of the active instances of the cell, and whether this instance has joined the others. Nil if there are
	// no others.
	Cell func() (members []string, joined bool)
	// OnRoom is called on the control loop when a request, or its part, has left a target of a service. It must neither block nor call
	// the board. Nil if nobody waits for that.
	OnRoom func(service string)
	// Weights returns the weights of the customers that the configuration gives a priority; nil while customers have no shares. A
	// nil Weights is the same.
	Weights func() map[share.Customer]share.Weight

	targets          map[string]*targetState      // by id
	departed         map[string]departure         // targets that have left lately, by id
	requests         map[requestKey]*knownRequest // of all instances
	ownRequests      map[uint64]*ActiveRequest    // by number, as placedAt and placements
	placedAt         map[uint64]clock.Millis
	placements       map[uint64]*Placement
	pending          packet // changes that are not broadcast yet
	flushScheduled   bool   // a tick is due that broadcasts them
	announce         bool   // set when instances have joined, which do not know the own requests yet
	lastNumber       uint64 // number of the last own request, see firstNumber
	remotePlacements placementRate
	shares           shareState
	limitNamed       atomic.Bool // some target has named a rate limit
	anyLimited       atomic.Bool // the rates of some target are limited, see limitCold
	cell             cell
	listed           bool                   // there was a list of targets
	evacuations      map[string]*evacuation // by zone
	anyEvacuated     atomic.Bool            // some zone is evacuated, or may be
}

// packet is a datagram between instances.
type packet struct {
	From        string          `cbor:"1,keyasint"`
	Placed      []ActiveRequest `cbor:"2,keyasint,omitempty"`
	FirstEvents []firstEvent    `cbor:"3,keyasint,omitempty"`
	Ended       []uint64        `cbor:"4,keyasint,omitempty"` // numbers of requests
	Failed      []string        `cbor:"6,keyasint,omitempty"` // ids of targets at which a request failed, once per request
	Unreachable []string        `cbor:"7,keyasint,omitempty"` // ids of targets that could not be reached
	Probes      []ProbeResult   `cbor:"8,keyasint,omitempty"`
	Limits      []TargetLimit   `cbor:"9,keyasint,omitempty"` // changes of rate limits
	Leaving     []TargetLeaving `cbor:"10,keyasint,omitempty"`
	Doubted     []TargetDoubt   `cbor:"11,keyasint,omitempty"`
	Cold        *coldNews       `cbor:"12,keyasint,omitempty"`
}

// Init prepares the state; it must be called before all other methods.
func (b *Board) Init() {
	b.targets = make(map[string]*targetState)
	b.departed = make(map[string]departure)
	b.evacuations = make(map[string]*evacuation)
	b.requests = make(map[requestKey]*knownRequest)
	b.ownRequests = make(map[uint64]*ActiveRequest)
	b.placedAt = make(map[uint64]clock.Millis)
	b.placements = make(map[uint64]*Placement)
	b.shares = shareState{
		ledgers: make(map[string]*share.Ledger), shortUntil: make(map[string]clock.Millis), reduced: make(map[reducedKey]clock.Millis),
	}
	b.lastNumber = firstNumber()
}

// firstNumber returns where an instance begins to number its requests. Requests and leases of its former process may still be known
// when it starts again, so that each process has numbers of its own, also if the system time has gone back.
func firstNumber() uint64 {
	seed := binary.BigEndian.AppendUint64(nil, rand.Uint64())
	seed = binary.BigEndian.AppendUint64(seed, uint64(time.Now().UnixNano()))
	return xxhash.Sum64(seed) / 2 // so that counting on never overflows
}

// Run broadcasts the own requests and probes targets until the context ends.
func (b *Board) Run(ctx context.Context) error {
	if b.Probe != nil {
		go clock.Every(ctx, probeInterval, func() { b.probeTargets(ctx) })
	}
	clock.Every(ctx, rebroadcastInterval, func() { b.Loop.Post(b.rebroadcastAndExpire) })
	return nil
}

// ReplaceTargets replaces the list of targets. Targets missing from it stay in use while it is incomplete, since those that are
// alive will be listed again soon. Targets that have left take no requests while the list is in doubt.
func (b *Board) ReplaceTargets(targets []Target, trust ListTrust) {
	b.Loop.Post(func() { b.applyTargets(clock.Now(), targets, trust) })
}

// applyTargets is ReplaceTargets on the control loop.
func (b *Board) applyTargets(now clock.Millis, targets []Target, trust ListTrust) {
	b.noteCell(now)
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		s := b.target(t.ID)
		change := s.update(t, b.engine(t.Service), b.evacuations[t.Zone])
		b.noteStarted(now, s, change)
		b.noteListed(now, t, trust.DoubtUntil)
	}
	for id, s := range b.targets {
		switch {
		case listed[id] || s.delisted:
		case now >= trust.IncompleteUntil:
			b.noteDeparted(now, s.Target)
			b.delist(id, s)
		case s.missingUntil == 0:
			s.missingUntil = trust.IncompleteUntil
			slog.Info("target missing from the list, still used", "target", id, "for_ms", int64(trust.IncompleteUntil-now))
		}
	}
	b.countUnknownZones()
	b.listed = true
}

// delist marks a target as no longer listed, and drops it once it has no requests.
func (b *Board) delist(id string, s *targetState) {
	s.delisted = true
	if len(s.assignments) == 0 {
		delete(b.targets, id)
	}
}

// engine returns the capacity and speed of a service's engines, or the zero value for a plain service.
func (b *Board) engine(service string) model.Engine {
	e, _ := b.Engine(service)
	return e
}

// entryChange says what is new in a target's entry.
type entryChange struct {
	returned bool // the target is new, has started again or takes requests again
	cold     bool // its cold time or its start differ
}

// update applies an entry of the list of targets. zone is the evacuation of its zone, or nil.
func (s *targetState) update(t Target, e model.Engine, zone *evacuation) entryChange {
	restarted := t.Born != s.Born || t.Addr != s.Addr
	change := entryChange{
		returned: s.delisted || restarted || s.Draining && !t.Draining,
		cold:     s.delisted || restarted || t.WarmupLeft != s.WarmupLeft,
	}
	if restarted {
		s.leaving, s.quietUntil, s.doubtedUntil, s.cold = false, 0, 0, coldState{}
	}
	if s.Draining && !t.Draining {
		s.leaving = false
	}
	s.Target, s.schedule.Engine, s.delisted, s.missingUntil, s.evacuation = t, e, false, 0, zone
	return change
}

// target returns the state of a target, and creates it if the target is known only from other instances so far.
func (b *Board) target(id string) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{delisted: true, decayedAt: clock.Now()}
		s.Target.ID = id
		b.targets[id] = s
	}
	return s
}

// Place chooses the targets for a request and counts the request there until Placement.End.
func (b *Board) Place(req Requirements) (*Placement, error) {
	var p *Placement
	var err error
	if !b.Loop.Call(func() { p, err = b.place(clock.Now(), req) }) {
		return nil, &Error{Op: "place", Kind: Stopped}
	}
	return p, err
}

// place is Place on the control loop.
func (b *Board) place(now clock.Millis, req Requirements) (*Placement, error) {
	b.noteCell(now)
	targets, short := b.eligibleTargets(now, req, b.inCell)
	engine, isEngine := b.Engine(req.Service)
	if isEngine && req.exceeds(engine, len(targets)) {
		targets, short = b.eligibleTargets(now, req, anyCell)
	}
	if len(targets) == 0 {
		return nil, short.err()
	}
	var chosen choice
	if isEngine && req.PromptTokens > 0 {
		for _, s := range targets {
			s.schedule.Engine = engine
		}
		if req.exceeds(engine, len(targets)) && short != (shortage{}) {
			return nil, short.err()
		}
		if req.exceeds(engine, len(targets)) {
			return nil, &Error{Op: "place", Kind: TooLarge}
		}
		chosen = chooseEngines(now, req, engine, targets, b.randomness(now, len(targets)))
		if chosen.primary != nil && !req.Begun {
			if err := b.admit(now, req, engine, targets, chosen); err != nil {
				return nil, err
			}
		}
	} else {
		if wait := b.overShare(now, req, targets); wait > 0 {
			return nil, &Error{Op: "place", Kind: Share, Wait: wait}
		}
		chosen = choosePlain(now, b.Zone, targets)
	}
	if chosen.primary == nil {
		return nil, &Error{Op: "place", Kind: Full}
	}
	return b.commit(now, req, chosen), nil
}

// shortage says why targets were left out that may run a request later.
type shortage struct {
	limited   bool         // some have reached their rate limits
	wait      clock.Millis // time until the first cold one of these may take a request; zero if none is cold
	quiet     clock.Millis // time until the first of those that want no requests for a while takes one; zero if there is none
	evacuated bool         // some are in zones that are evacuated, or may be
}

// err returns the error for a request that no target may run now.
func (s shortage) err() error {
	switch {
	case s.limited:
		return &Error{Op: "place", Kind: Limited, Wait: s.wait}
	case s.quiet > 0:
		return &Error{Op: "place", Kind: Quiet, Wait: s.quiet}
	case s.evacuated:
		return &Error{Op: "place", Kind: Evacuated}
	default:
		return &Error{Op: "place", Kind: NoTarget}
	}
}

// addLimited records a target that has reached a rate limit, and after how long it may take a request if it is cold.
func (s *shortage) addLimited(wait clock.Millis) {
	s.limited = true
	if wait > 0 && (s.wait == 0 || wait < s.wait) {
		s.wait = wait
	}
}

// addClosed records a target that takes no new requests, if that is only for a while.
func (s *shortage) addClosed(now clock.Millis, t *targetState) {
	switch {
	case t.onlyQuiet(now):
		s.addQuiet(t.quietUntil - now)
	case t.onlyEvacuated(now):
		s.evacuated = true
	}
}

// addQuiet records a target that wants no requests for so long.
func (s *shortage) addQuiet(left clock.Millis) {
	if s.quiet == 0 || left < s.quiet {
		s.quiet = left
	}
}

// eligibleTargets returns the targets that may run a request: the first of these groups that is not empty. Usable ones of the cell; those
// of other cells; ejected ones; for a hedge, cold ones; those that the request excludes; those of zones whose evacuation is in doubt.
func (b *Board) eligibleTargets(now clock.Millis, req Requirements, inCell func(target string) bool) (eligible []*targetState, short shortage) {
	var usable, elsewhere, ejected, cold, excluded, doubtful []*targetState
	for _, s := range b.targets {
		if s.Service != req.Service {
			continue
		}
		if s.closed(now) {
			short.addClosed(now, s)
			continue
		}
		if may, wait := b.mayUse(now, s); !may {
			short.addLimited(wait)
			continue
		}
		switch {
		case s.evacuation.inDoubt():
			short.evacuated = true
			doubtful = append(doubtful, s)
		case req.Exclude[s.ID]:
			excluded = append(excluded, s)
		case req.Hedge && s.cold.isCold(now):
			cold = append(cold, s)
		case s.usable(now) && inCell(s.ID):
			usable = append(usable, s)
		case s.usable(now):
			elsewhere = append(elsewhere, s)
		default:
			ejected = append(ejected, s)
		}
	}
	for _, targets := range [][]*targetState{usable, elsewhere, ejected, cold, excluded} {
		if len(targets) > 0 {
			return targets, short
		}
	}
	return notExcluded(doubtful, req), short
}

// anyCell is used in place of Board.inCell when targets of all cells are eligible.
func anyCell(string) bool { return true }

// inCell reports whether a target belongs to this instance's cell.
func (b *Board) inCell(target string) bool { return b.InCell == nil || b.InCell(target) }

// commit counts a request at the chosen targets and broadcasts the placement.
func (b *Board) commit(now clock.Millis, req Requirements, chosen choice) *Placement {
	b.lastNumber++
	r := ActiveRequest{
		Number: b.lastNumber, Target: chosen.primary.ID, PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens,
		FirstEventSLO: req.FirstEventSLO, EventGapSLO: req.EventGapSLO, SplitMemory: chosen.splitMemory, Customer: b.customerOf(req),
	}
	p := &Placement{
		Target: chosen.primary.Target, PredictedFirstEvent: clock.Millis(chosen.firstEvent),
		board: b, number: r.Number, down: make(chan struct{}), lost: make(chan struct{}),
	}
	b.placements[r.Number] = p
	for _, h := range chosen.helpers {
		r.Helpers = append(r.Helpers, h.ID)
		p.Helpers = append(p.Helpers, h.Target)
	}
	if r.SplitMemory {
		p.PartMemory = r.memoryTokens(true)
	}
	b.ownRequests[r.Number] = &r
	b.placedAt[r.Number] = now
	b.addRequest(now, requestKey{b.Self, r.Number}, r)
	p.tokenTaken = chosen.primary.cold.limited
	if r.Customer != 0 {
		b.recordUse(now, r, b.weightOf(req))
	}
	b.pending.Placed = append(b.pending.Placed, r)
	b.flush()
	return p
}

// recordOutcome applies the outcome of a request, of this instance or another, to the state of its target.
func (b *Board) recordOutcome(id string, o Outcome) {
	s := b.targets[id]
	if s == nil {
		return
	}
	now := clock.Now()
	switch o {
	case Succeeded:
		s.recordSuccess(now)
	case Failed:
		s.recordFailure(now, false)
	case Unreachable:
		s.recordFailure(now, true)
	}
	if o != Succeeded && o != Inconclusive {
		metrics.GetOrCreateCounter(`pier_board_target_failed_total`).Inc()
	}
}
