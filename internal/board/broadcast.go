package board

import (
	"log/slog"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

func (p packet) empty() bool {
	return len(p.Placed)+len(p.FirstEvents)+len(p.Ended)+len(p.Failed)+len(p.Unreachable)+len(p.Probes) == 0
}

// flush tells the others what has changed since the last time.
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

// tick tells the others what has changed, and those that have come of all own work.
func (b *Board) tick() {
	b.flush()
	if b.announce {
		b.announce = false
		b.broadcastOwn(clock.Now())
	}
}

// AnnounceAll has all own work told soon, as other instances have come; it runs on the control loop.
func (b *Board) AnnounceAll() { b.announce = true }

func (b *Board) broadcast(p packet) {
	p.From = b.Self
	data, err := cbor.Marshal(p)
	if err != nil {
		slog.Error("placements not encoded", "error", err)
		return
	}
	b.Broadcast(data)
}

// rebroadcast tells the others of all own work, and forgets that of instances that are silent.
func (b *Board) rebroadcast() {
	now := clock.Now()
	b.broadcastOwn(now)
	for id, n := range b.targets {
		if n.missingSince > 0 && now-n.missingSince > relistGrace {
			slog.Info("target not listed again", "target", id)
			n.delisted = true
		}
		if n.delisted && len(n.assignments) == 0 {
			delete(b.targets, id)
		}
	}
	for k, w := range b.requests {
		if k.owner != b.Self && now-w.lastHeard >= instanceTimeout {
			b.removeRequest(k)
		}
	}
}

// broadcastOwn tells the others of all own work, for those that have missed a part of it.
func (b *Board) broadcastOwn(now clock.Millis) {
	var p packet
	for number, w := range b.ownRequests {
		told := *w
		told.Age = now - b.placedAt[number]
		p.Placed = append(p.Placed, told)
		if len(p.Placed) == maxPacketRequests {
			b.broadcast(p)
			p = packet{}
		}
	}
	if !p.empty() {
		b.broadcast(p)
	}
}

// Receive handles a datagram of another instance.
func (b *Board) Receive(data []byte) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil || p.From == b.Self {
		return
	}
	b.Loop.Post(func() { b.applyPacket(p) })
}

func (b *Board) applyPacket(p packet) {
	now := clock.Now()
	for _, w := range p.Placed {
		k := requestKey{p.From, w.Number}
		switch {
		case !b.refresh(now, k):
			b.addRequest(now, k, w)
			b.remotePlacements.add(now)
		case w.FirstEventSeen:
			b.recordFirstEvent(k, 0) // the datagram that said so may be lost
		}
	}
	for _, began := range p.FirstEvents {
		b.recordFirstEvent(requestKey{p.From, began.Number}, now-began.Age)
	}
	for _, number := range p.Ended {
		b.removeRequest(requestKey{p.From, number})
	}
	for _, r := range p.Probes {
		b.applyProbe(r)
	}
	for _, told := range []struct {
		ids     []string
		outcome Outcome
	}{{p.Failed, Failed}, {p.Unreachable, Unreachable}} {
		for _, id := range told.ids {
			b.recordOutcome(id, told.outcome)
		}
	}
}
