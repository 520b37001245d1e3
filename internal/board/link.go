package board

import (
	"log/slog"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Accepts reports whether a target is known under an id and address, and takes new requests as far as this instance knows. With
// control it need not take any, as for orders and reports.
func (b *Board) Accepts(id, addr string, control bool) bool {
	accepts := false
	b.Loop.Call(func() {
		s := b.targets[id]
		accepts = s != nil && s.Addr == addr && (control || !s.closed(clock.Now()))
	})
	return accepts
}

// Targets returns the targets that take requests, as far as this instance knows.
func (b *Board) Targets() []Target {
	var targets []Target
	b.Loop.Call(func() {
		now := clock.Now()
		for _, s := range b.targets {
			if !s.closed(now) {
				targets = append(targets, s.Target)
			}
		}
	})
	return targets
}

// RecordLinkLost records that this instance has lost its link to an address, so that own requests at the target there may get no answer.
// They are notified through Placement.LinkLost.
func (b *Board) RecordLinkLost(addr string) {
	b.Loop.Post(func() { b.notifyLinkLost(func(s *targetState) bool { return s.Addr == addr }) })
}

// RecordLinksLost records that this instance has lost its links to all targets.
func (b *Board) RecordLinksLost() {
	b.Loop.Post(func() { b.notifyLinkLost(func(*targetState) bool { return true }) })
}

// notifyLinkLost notifies the own requests at some targets.
func (b *Board) notifyLinkLost(at func(s *targetState) bool) {
	count := 0
	for _, s := range b.targets {
		if !at(s) {
			continue
		}
		for _, p := range b.placementsAt(s) {
			p.lostOnce.Do(func() { close(p.lost); count++ })
		}
	}
	slog.Info("requests warned, their links are lost", "requests", count)
}

// LinkLost returns a channel that is closed when this instance has lost its link to the target, since the request was placed. The
// connection of the request may be silent since then, or live on.
func (p *Placement) LinkLost() <-chan struct{} { return p.lost }

// placementsAt returns the own requests at a target.
func (b *Board) placementsAt(s *targetState) []*Placement {
	var placements []*Placement
	for _, a := range s.assignments {
		if p := b.placements[a.number]; p != nil && a.owner == b.Self {
			placements = append(placements, p)
		}
	}
	return placements
}

// unlinked reports whether this instance has lost its links to all targets.
func (b *Board) unlinked() bool { return b.Unlinked != nil && b.Unlinked() }
