package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// Slot is a slot on a target; it is ended exactly once.
type Slot struct {
	Target       roster.Target
	table        *Table
	state        *targetState
	promptTokens int
	memory       int // tokens, with the output
	priority     int // of its priority
	promptDone   bool
	released     bool
}

// RecordLoad takes in a load report that came with an answer.
func (s *Slot) RecordLoad(load engine.Load) {
	s.table.Loop.Post(func() { s.table.recordLoad(s.state, load) })
}

// MarkFirstToken tells that the target has processed the prompt.
func (s *Slot) MarkFirstToken() {
	s.table.Loop.Post(func() {
		s.finishPrompt()
		s.table.dispatch()
	})
}

// Release gives the slot back and tells whether the target did its work.
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
		default:
			s.state.recordFailure(now)
		}
		s.table.dispatch()
	})
}

func (s *Slot) finishPrompt() {
	if s.promptDone {
		return
	}
	s.promptDone = true
	s.state.backlog -= s.promptTokens
	s.state.backlogByPriority[s.priority] -= s.promptTokens
	s.state.prefilling = false
}

func (t *Table) takeSlot(ts *targetState, r Request) *Slot {
	slot := &Slot{Target: ts.Target, table: t, state: ts, promptTokens: r.Tokens, memory: r.Tokens + r.Output, priority: clampPriority(r.Priority)}
	ts.ownSlots[slot] = true
	ts.ownMemory += slot.memory
	ts.backlog += r.Tokens
	ts.backlogByPriority[slot.priority] += r.Tokens
	return slot
}
