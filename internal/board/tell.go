package board

import (
	"log/slog"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

func (p packet) empty() bool {
	return len(p.Placed)+len(p.Begun)+len(p.Ended)+len(p.Failed)+len(p.Dark)+len(p.Reports) == 0
}

// flush tells the others what has changed since the last time.
func (b *Board) flush() {
	if b.pending.empty() {
		return
	}
	now := clock.Now()
	for i := range b.pending.Begun {
		b.pending.Begun[i].Age = now - b.pending.Begun[i].Age
	}
	b.send(b.pending)
	b.pending = packet{}
}

// tick tells the others what has changed, and those that have come of all own work.
func (b *Board) tick() {
	b.flush()
	if b.greet {
		b.greet = false
		b.tellOwn(clock.Now())
	}
}

// AnnounceAll has all own work told soon, as other instances have come; it runs on the control loop.
func (b *Board) AnnounceAll() { b.greet = true }

func (b *Board) send(p packet) {
	p.From = b.Self
	data, err := cbor.Marshal(p)
	if err != nil {
		slog.Error("placements not encoded", "error", err)
		return
	}
	b.Broadcast(data)
}

// repeat tells the others of all own work, and forgets that of instances that are silent.
func (b *Board) repeat() {
	now := clock.Now()
	b.tellOwn(now)
	for id, n := range b.nodes {
		if n.missing > 0 && now-n.missing > doubtTime {
			slog.Info("target not listed again", "target", id)
			n.gone = true
		}
		if n.gone && len(n.jobs) == 0 {
			delete(b.nodes, id)
		}
	}
	for k, w := range b.works {
		if k.owner != b.Self && now-w.heard >= silentTime {
			b.ended(k)
		}
	}
}

// tellOwn tells the others of all own work, for those that have missed a part of it.
func (b *Board) tellOwn(now clock.Millis) {
	var p packet
	for number, w := range b.own {
		told := *w
		told.Age = now - b.placed[number]
		p.Placed = append(p.Placed, told)
		if len(p.Placed) == packetWorks {
			b.send(p)
			p = packet{}
		}
	}
	if !p.empty() {
		b.send(p)
	}
}

// Receive handles a datagram of another instance.
func (b *Board) Receive(data []byte) {
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil || p.From == b.Self {
		return
	}
	b.Loop.Post(func() { b.receive(p) })
}

func (b *Board) receive(p packet) {
	now := clock.Now()
	for _, w := range p.Placed {
		k := key{p.From, w.Number}
		switch {
		case !b.refresh(now, k):
			b.add(now, k, w)
			b.news.add(now)
		case w.Begun:
			b.begun(k, 0) // the datagram that said so may be lost
		}
	}
	for _, began := range p.Begun {
		b.begun(key{p.From, began.Number}, now-began.Age)
	}
	for _, number := range p.Ended {
		b.ended(key{p.From, number})
	}
	for _, r := range p.Reports {
		b.believe(r)
	}
	for _, told := range []struct {
		ids     []string
		outcome Outcome
	}{{p.Failed, Failed}, {p.Dark, Unreachable}} {
		for _, id := range told.ids {
			b.judge(id, told.outcome)
		}
	}
}
