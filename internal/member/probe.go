package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

type known struct {
	Member
	since clock.Millis // of the present state
	probe int          // tick of the last probe
}

type probe struct {
	name  string
	acked bool
	relay string // address that asked for the probe
	seq   uint64 // its sequence number there
}

func (g *Group) acked(p packet) {
	sent := g.probes[p.Seq]
	if sent == nil {
		return
	}
	if sent.relay != "" {
		g.transmit(sent.relay, packet{Kind: ack, Seq: sent.seq})
		delete(g.probes, p.Seq)
		return
	}
	g.confirm(sent)
}

func (g *Group) confirm(sent *probe) {
	sent.acked = true
}

func (g *Group) tick(ctx context.Context) {
	now := time.Now()
	paused := !g.ticked.IsZero() && now.Sub(g.ticked) > pauseLimit.Duration()
	g.ticked = now
	g.ticks++
	if paused {
		// What was not answered says nothing about the others.
		g.probes = make(map[uint64]*probe)
		for _, k := range g.members {
			k.since = clock.Now()
		}
	}
	g.expire()
	if name := g.next(); name != "" {
		g.probe(ctx, name)
	}
	g.probeDead()
}

// expire turns suspicion into death and forgets what died long ago.
func (g *Group) expire() {
	now := clock.Now()
	for name, k := range g.members {
		switch {
		case k.State == Suspect && now-k.since > suspectTimeout:
			g.change(k.WithState(Dead))
		case k.State == Dead && now-k.since > forgetAfter:
			delete(g.members, name)
			g.publish()
		}
	}
}

func (g *Group) next() string {
	for {
		if len(g.order) == 0 {
			for name, k := range g.members {
				if k.State != Dead {
					g.order = append(g.order, name)
				}
			}
			if len(g.order) == 0 {
				return ""
			}
			rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
		}
		name := g.order[0]
		g.order = g.order[1:]
		if k := g.members[name]; k != nil && k.State != Dead {
			return name
		}
	}
}

func (g *Group) probe(ctx context.Context, name string) {
	g.seq++
	seq, sent := g.seq, &probe{name: name}
	g.probes[seq] = sent
	g.transmit(g.members[name].PeerAddr, packet{Kind: ping, Seq: seq})
	time.AfterFunc(directTimeout.Duration(), func() {
		g.Loop.Post(func() { g.indirect(ctx, seq, sent) })
	})
	time.AfterFunc(probeTimeout.Duration(), func() {
		g.Loop.Post(func() { g.judge(seq, sent) })
	})
}

// indirect asks other instances, and a connection of its own, about a peer that has not answered.
func (g *Group) indirect(ctx context.Context, seq uint64, sent *probe) {
	k := g.members[sent.name]
	if sent.acked || k == nil || g.probes[seq] != sent {
		return
	}
	count := 0
	for name, other := range g.members {
		if name == sent.name || other.State != Alive || count == helpers {
			continue
		}
		count++
		g.transmit(other.PeerAddr, packet{Kind: pingRequest, Seq: seq, About: k.PeerAddr})
	}
	addr := k.PeerAddr
	go func() {
		ctx, cancel := context.WithTimeout(ctx, (probeTimeout - directTimeout).Duration())
		defer cancel()
		if g.ProbeDirect(ctx, addr) == nil {
			g.Loop.Post(func() { g.confirm(sent) })
		}
	}()
}

func (g *Group) judge(seq uint64, sent *probe) {
	if g.probes[seq] != sent {
		return
	}
	delete(g.probes, seq)
	k := g.members[sent.name]
	if sent.acked || k == nil || k.State == Dead || k.State == Suspect {
		return
	}
	metrics.GetOrCreateCounter("pier_member_suspected_total").Inc()
	g.change(k.WithState(Suspect))
}

// probeDead lets the two sides of a healed partition find each other again.
func (g *Group) probeDead() {
	for _, k := range g.members {
		if k.State == Dead && g.ticks-k.probe >= deadProbe {
			k.probe = g.ticks
			g.transmit(k.PeerAddr, packet{Kind: gossip, Rumors: []Rumor{{Member: &k.Member}}})
			return
		}
	}
}
