package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// Slot is one of the request slots of a target, held until Release. Releasing it again has no effect.
type Slot struct {
	Target       roster.Target
	table        *Table
	state        *targetState
	promptTokens int
	memory       int // prompt and output, in tokens
	priority     int // between 0 and maxPriority
	promptDone   bool
	released     bool
}

// RecordLoad records a load report that the target sent with an answer.
func (s *Slot) RecordLoad(load engine.Load) {
	s.table.Loop.Post(func() { s.table.recordLoad(s.state, load) })
}

// MarkFirstToken records the first token of the answer, which means that the target has processed the prompt.
func (s *Slot) MarkFirstToken() {
	s.table.Loop.Post(func() {
		s.finishPrompt()
		s.table.dispatch()
	})
}

// Release gives the slot back. ok is false if the target failed: several failures in a row eject it. leaving means that
// the target takes no new requests, which does not count as a failure.
func (s *Slot) Release(ok, leaving bool) {
	s.table.Loop.Post(func() {
		if s.released {
			return
		}
		s.released = true
		s.finishPrompt()
		delete(s.state.ownSlots, s)
		s.state.ownMemory -= s.memory
		now := clock.Now()
		switch {
		case leaving:
			s.table.setLeaving(s.state)
		case ok:
			s.state.failures = 0
		case s.state.quiet(now): // it turns requests away and has said so
		default:
			s.state.recordFailure(now)
		}
		s.table.dispatch()
	})
}

// finishPrompt takes the prompt out of the target's backlog, once.
func (s *Slot) finishPrompt() {
	if s.promptDone {
		return
	}
	s.promptDone = true
	s.state.ownBacklog -= s.promptTokens
	s.state.ownBacklogByPriority[s.priority] -= s.promptTokens
	s.state.prefilling = false
}

// takeSlot adds a request to what this instance counts of a target.
func (t *Table) takeSlot(ts *targetState, r Request) *Slot {
	slot := &Slot{Target: ts.Target, table: t, state: ts, promptTokens: r.PromptTokens, memory: r.PromptTokens + r.MaxOutputTokens, priority: clampPriority(r.Priority)}
	ts.ownSlots[slot] = true
	ts.ownMemory += slot.memory
	ts.ownBacklog += r.PromptTokens
	ts.ownBacklogByPriority[slot.priority] += r.PromptTokens
	return slot
}
