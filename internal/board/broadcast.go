package board

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// empty reports whether a datagram has no content.
func (p packet) empty() bool {
	return len(p.Placed)+len(p.FirstEvents)+len(p.Ended)+len(p.Failed)+len(p.Unreachable)+len(p.Probes)+len(p.Limits)+len(p.Leaving) == 0 &&
		len(p.Doubted) == 0 && p.Cold == nil
}

// flush broadcasts the changes since the last flush.
func (b *Board) flush() {
	if b.pending.empty() {
		return
	}
	now := clock.Now()
	for i := range b.pending.FirstEvents {
		b.pending.FirstEvents[i].Age = now - b.pending.FirstEvents[i].Age
	}
	b.broadcast(b.pending)
	b.pending = packet{}
}

// scheduleFlush makes the pending changes go out together within flushInterval; call it on the control loop after a change.
func (b *Board) scheduleFlush() {
	if b.flushScheduled {
		return
	}
	b.flushScheduled = true
	time.AfterFunc(flushInterval.Duration(), func() { b.Loop.Post(b.tick) })
}

// tick broadcasts recent changes, and all own requests if instances have joined.
func (b *Board) tick() {
	b.flushScheduled = false
	b.flush()
	if b.announce {
		b.announce = false
		now := clock.Now()
		b.broadcastOwn(now)
		b.broadcastCold(now, true)
	}
}

// AnnounceAll schedules a broadcast of all own requests, for instances that have joined; call it on the control loop.
func (b *Board) AnnounceAll() {
	b.announce = true
	b.scheduleFlush()
}

// broadcast encodes a datagram and sends it to all other instances.
func (b *Board) broadcast(p packet) {
	p.From = b.Self
	data, err := cbor.Marshal(p)
	if err != nil {
		slog.Error("failed to encode datagram", "error", err)
		return
	}
	b.Broadcast(data)
}

// rebroadcastAndExpire broadcasts all own requests, and which entries of the list are not believed. It drops targets that have been
// missing from the list for too long, and requests that their instance has not broadcast for instanceTimeout.
func (b *Board) rebroadcastAndExpire() {
	now := clock.Now()
	b.noteCell(now)
	b.updateCold(now)
	b.broadcastOwn(now)
	b.broadcastCold(now, false)
	for id, s := range b.targets {
		if s.missingUntil > 0 && now >= s.missingUntil && !s.delisted {
			slog.Info("target still missing from the list, dropped", "target", id)
			b.noteDeparted(now, s.Target)
			s.delisted = true
		}
		if s.delisted && len(s.assignments) == 0 {
			delete(b.targets, id)
		}
	}
	b.forgetDeparted(now)
	b.endDoubtfulEvacuations(now)
	b.forgetReduced(now)
	for k, r := range b.requests {
		if k.owner != b.Self && now-r.lastHeard >= instanceTimeout {
			b.removeRequest(k)
		}
	}
}

// broadcastOwn broadcasts all own requests and the targets in doubt, for instances that have missed earlier datagrams.
func (b *Board) broadcastOwn(now clock.Millis) {
	p := packet{Doubted: b.doubts(now)}
	for number, r := range b.ownRequests {
		entry := *r
		entry.Age = now - b.placedAt[number]
		p.Placed = append(p.Placed, entry)
		if len(p.Placed) == maxPacketRequests {
			b.broadcast(p)
			p = packet{}
		}
	}
	if !p.empty() {
		b.broadcast(p)
	}
}

// Receive applies a datagram of another instance; invalid ones are ignored.
func (b *Board) Receive(data []byte) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil || p.From == b.Self {
		return
	}
	b.Loop.Post(func() { b.applyPacket(clock.Now(), p) })
}

// applyPacket applies the content of a datagram.
func (b *Board) applyPacket(now clock.Millis, p packet) {
	for _, r := range p.Placed {
		k := requestKey{p.From, r.Number}
		switch {
		case !b.refresh(now, k):
			b.addRequest(now, k, r)
			b.recordUse(now, r, 0)
			b.remotePlacements.add(now)
		case r.FirstEventSeen:
			b.recordFirstEvent(k, 0) // in case the datagram that reported the first event was lost
		}
	}
	for _, e := range p.FirstEvents {
		b.recordFirstEvent(requestKey{p.From, e.Number}, now-e.Age)
	}
	for _, number := range p.Ended {
		b.recordEnd(now, requestKey{p.From, number})
		b.removeRequest(requestKey{p.From, number})
	}
	for _, change := range p.Limits {
		b.applyLimit(change)
	}
	for _, l := range p.Leaving {
		b.closeLeaving(l.Target, l.Born)
	}
	for _, d := range p.Doubted {
		b.applyDoubt(now, d)
	}
	if p.Cold != nil {
		b.applyCold(now, *p.Cold)
	}
	for _, r := range p.Probes {
		b.applyProbe(r)
	}
	for _, entry := range []struct {
		ids     []string
		outcome Outcome
	}{{p.Failed, Failed}, {p.Unreachable, Unreachable}} {
		for _, id := range entry.ids {
			b.recordOutcome(id, entry.outcome)
		}
	}
}
