package route

import (
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// Slot is a slot on a target; it is ended exactly once.
type Slot struct {
	Target roster.Target
	table  *Table
	node   *node
	tokens int
	memory int // tokens, with the output
	rank   int // of its priority
	first  bool
	ended  bool
}

// RecordLoad takes in a load report that came with an answer.
func (l *Slot) RecordLoad(load engine.Load) {
	l.table.Loop.Post(func() { l.table.learn(l.node, load) })
}

// MarkFirstToken tells that the target has processed the prompt.
func (l *Slot) MarkFirstToken() {
	l.table.Loop.Post(func() {
		l.settlePrompt()
		l.table.pump()
	})
}

// Release gives the slot back and tells whether the target did its work.
func (l *Slot) Release(ok, leaving bool) {
	l.table.Loop.Post(func() {
		if l.ended {
			return
		}
		l.ended = true
		l.settlePrompt()
		delete(l.node.own, l)
		l.node.held -= l.memory
		now := clock.Now()
		switch {
		case leaving:
			l.table.gone(l.node)
		case ok:
			l.node.failures = 0
		default:
			l.node.failed(now)
		}
		l.table.pump()
	})
}

func (l *Slot) settlePrompt() {
	if l.first {
		return
	}
	l.first = true
	l.node.backlog -= l.tokens
	l.node.ranked[l.rank] -= l.tokens
	l.node.busy = false
}

func (t *Table) lease(n *node, r Request) *Slot {
	l := &Slot{Target: n.Target, table: t, node: n, tokens: r.Tokens, memory: r.Tokens + r.Output, rank: rank(r.Priority)}
	n.own[l] = true
	n.held += l.memory
	n.backlog += r.Tokens
	n.ranked[l.rank] += r.Tokens
	return l
}
