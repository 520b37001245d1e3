package board

import (
	"fmt"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Outcome tells what the end of a request says about the health of its target.
type Outcome uint8

// The outcomes of a request.
const (
	Inconclusive Outcome = iota // the request ended for a reason unrelated to the target
	Succeeded                   // the target answered
	Failed                      // the request failed at the target
	Unreachable                 // the target could not be reached
)

// Placement is the choice of targets for one attempt of a request.
type Placement struct {
	Target              Target
	Helpers             []Target     // engines that prefill a part of the prompt
	PartMemory          int          // tokens that the target and each helper keep in memory; zero if the target has the memory for the whole prompt
	PredictedFirstEvent clock.Millis // time to the first event; zero for a plain service

	board      *Board
	number     uint64        // see ActiveRequest.Number
	tokenTaken bool          // of its target, whose rates were limited then; see MaySend
	down       chan struct{} // see TargetDown
	downOnce   sync.Once
	lost       chan struct{} // see LinkLost
	lostOnce   sync.Once
}

// HelperIDs returns the ids of the engines that prefill a part of the prompt.
func (p *Placement) HelperIDs() []string {
	ids := make([]string, len(p.Helpers))
	for i, h := range p.Helpers {
		ids[i] = h.ID
	}
	return ids
}

// FindHelper returns the id of the helper that has the given id or address, or the empty string if none has.
func (p *Placement) FindHelper(name string) string {
	for _, h := range p.Helpers {
		if name != "" && (h.ID == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// Leased returns the engines whose memory is to be leased, the target first: none if the target has the memory for the whole
// prompt.
//
// The target is one of them, so that all memory is acquired at once or not at all. A prompt that waited for memory at its target
// while it holds leases could wait for a prompt that waits for these, where instances do not hear of each other.
func (p *Placement) Leased() []Target {
	if p.PartMemory == 0 {
		return nil
	}
	return append([]Target{p.Target}, p.Helpers...)
}

// LeaseID returns an id for the lease at an engine of Leased, given by its index. No other process uses it, nor an earlier one of this
// instance, whose leases an engine would renew in place of granting new ones.
func (p *Placement) LeaseID(engine int) string {
	return fmt.Sprintf("%s-%x-%d", p.board.Self, p.number, engine)
}

// RecordFirstEvent records that the first event has been received, and broadcasts it.
func (p *Placement) RecordFirstEvent() {
	b := p.board
	at := clock.Now()
	b.Loop.Post(func() {
		if r := b.ownRequests[p.number]; r != nil {
			r.FirstEventSeen = true
		}
		b.recordFirstEvent(requestKey{b.Self, p.number}, at)
		b.pending.FirstEvents = append(b.pending.FirstEvents, firstEvent{Number: p.number, Age: at}) // flush replaces the point in time by the age
		b.scheduleFlush()
	})
}

// End removes the request from its targets, records the outcome, and broadcasts both.
func (p *Placement) End(o Outcome) {
	b := p.board
	b.Loop.Post(func() {
		if o == Unreachable && b.unlinked() {
			o = Inconclusive // the target may be sound
		}
		delete(b.ownRequests, p.number)
		took := clock.Now() - b.placedAt[p.number]
		delete(b.placedAt, p.number)
		delete(b.placements, p.number)
		b.recordEnd(clock.Now(), requestKey{b.Self, p.number})
		b.removeRequest(requestKey{b.Self, p.number})
		b.pending.Ended = append(b.pending.Ended, p.number)
		id := p.Target.ID
		if s := b.targets[id]; s != nil && o == Succeeded {
			s.recordAnswerTime(took)
		}
		b.recordOutcome(id, o)
		switch o {
		case Failed:
			b.pending.Failed = append(b.pending.Failed, id)
		case Unreachable:
			b.pending.Unreachable = append(b.pending.Unreachable, id)
		}
		b.scheduleFlush()
	})
}

// MarkHelperUnreachable records that a helper could not be reached, and broadcasts it.
func (p *Placement) MarkHelperUnreachable(helper string) {
	b := p.board
	b.Loop.Post(func() {
		b.recordOutcome(helper, Unreachable)
		b.pending.Unreachable = append(b.pending.Unreachable, helper)
		b.scheduleFlush()
	})
}
