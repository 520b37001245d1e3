package board

import (
	"fmt"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Outcome is how a target dealt with a request.
type Outcome uint8

// The outcomes.
const (
	Inconclusive Outcome = iota // the request ended for a reason that says nothing of the target
	Succeeded                   // it answered
	Failed                      // it failed
	Unreachable                 // it could not be reached
)

// Placement is where a request runs.
type Placement struct {
	Target              Target
	Helpers             []Target     // engines that read a part of the prompt
	HelperMemory        int          // tokens that each helper is to keep; zero if the first engine has the memory for all
	PredictedFirstEvent clock.Millis // to the first event; zero for a plain service

	board  *Board
	number uint64
	lost   chan struct{}
	once   sync.Once
}

// HelperIDs returns the ids of the engines that read a part of the prompt.
func (p *Placement) HelperIDs() []string {
	ids := make([]string, len(p.Helpers))
	for i, h := range p.Helpers {
		ids[i] = h.ID
	}
	return ids
}

// FindHelper returns the id of the helper with an id or address, or nothing.
func (p *Placement) FindHelper(name string) string {
	for _, h := range p.Helpers {
		if name != "" && (h.ID == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// LeaseID names the lease of memory at a helper, uniquely for each placement.
func (p *Placement) LeaseID(helper int) string {
	return fmt.Sprintf("%s-%x-%d", p.board.Self, p.number, helper)
}

// RecordFirstEvent tells that the first event has come.
func (p *Placement) RecordFirstEvent() {
	b := p.board
	at := clock.Now()
	b.Loop.Post(func() {
		if w := b.own[p.number]; w != nil {
			w.Begun = true
		}
		b.begun(key{b.Self, p.number}, at)
		b.pending.Begun = append(b.pending.Begun, begin{Number: p.number, Age: at}) // its age is taken when it is told
	})
}

// End takes the request off its targets.
func (p *Placement) End(o Outcome) {
	b := p.board
	b.Loop.Post(func() {
		delete(b.own, p.number)
		took := clock.Now() - b.placed[p.number]
		delete(b.placed, p.number)
		delete(b.placements, p.number)
		b.ended(key{b.Self, p.number})
		b.pending.Ended = append(b.pending.Ended, p.number)
		id := p.Target.ID
		if n := b.nodes[id]; n != nil && o == Succeeded {
			n.took(took)
		}
		b.judge(id, o)
		switch o {
		case Failed:
			b.pending.Failed = append(b.pending.Failed, id)
		case Unreachable:
			b.pending.Dark = append(b.pending.Dark, id)
		}
	})
}

// MarkHelperUnreachable counts a failure against a helper.
func (p *Placement) MarkHelperUnreachable(helper string) {
	b := p.board
	b.Loop.Post(func() {
		b.judge(helper, Unreachable)
		b.pending.Dark = append(b.pending.Dark, helper)
	})
}
