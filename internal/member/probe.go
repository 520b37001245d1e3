package member

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// peerState is what this instance knows of another one.
type peerState struct {
	Member
	since         clock.Millis // when the state last changed
	lastProbeTick int          // while the instance is dead, the tick of the last attempt to contact it
}

// probe is a ping that awaits its ack. It is sent for this instance or, if requester is set, for another one.
type probe struct {
	name         string
	acked        bool
	requester    string // peer address of the instance that asked for the probe
	requesterSeq uint64 // sequence number that the requester used
}

// receiveAck completes the probe that a peer has answered, or forwards the ack to the instance that asked for it.
func (g *Group) receiveAck(p packet) {
	sent := g.pendingProbes[p.Seq]
	if sent == nil {
		return
	}
	if sent.requester != "" {
		g.transmit(sent.requester, packet{Kind: ack, Seq: sent.requesterSeq})
		delete(g.pendingProbes, p.Seq)
		return
	}
	g.markAcked(sent)
}

func (g *Group) markAcked(sent *probe) {
	sent.acked = true
}

// tick runs once each probeInterval: it updates the states and probes the next instance.
func (g *Group) tick(ctx context.Context) {
	now := time.Now()
	paused := !g.lastTickAt.IsZero() && now.Sub(g.lastTickAt) > maxTickGap.Duration()
	g.lastTickAt = now
	g.ticks++
	if paused {
		// Acks may have been missed during the pause, so that missing ones say nothing about the peers.
		g.pendingProbes = make(map[uint64]*probe)
		for _, k := range g.members {
			k.since = clock.Now()
		}
	}
	g.expireMembers()
	if name := g.nextProbe(); name != "" {
		g.sendProbe(ctx, name)
	}
	g.probeDead()
}

// expireMembers marks instances dead that have been suspected for suspectTimeout, and removes those that have been dead for
// forgetAfter.
func (g *Group) expireMembers() {
	now := clock.Now()
	limit := suspectTimeout * clock.Millis(max(1, len(strconv.Itoa(len(g.members)))-1)) // rumors take longer to spread in a larger group
	for name, k := range g.members {
		switch {
		case k.State == Suspect && now-k.since > limit:
			g.setMember(k.WithState(Dead))
		case k.State == Dead && now-k.since > forgetAfter:
			delete(g.members, name)
			g.publishView()
		}
	}
}

// nextProbe returns the name of the next instance to probe, or "" if there is none. Each round goes through all instances
// that are not dead in random order.
func (g *Group) nextProbe() string {
	for {
		if len(g.probeOrder) == 0 {
			for name, k := range g.members {
				if k.State != Dead {
					g.probeOrder = append(g.probeOrder, name)
				}
			}
			if len(g.probeOrder) == 0 {
				return ""
			}
			rand.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
		}
		name := g.probeOrder[0]
		g.probeOrder = g.probeOrder[1:]
		if k := g.members[name]; k != nil && k.State != Dead {
			return name
		}
	}
}

// sendProbe pings an instance and schedules the steps that follow if no ack arrives.
func (g *Group) sendProbe(ctx context.Context, name string) {
	g.seq++
	seq, sent := g.seq, &probe{name: name}
	g.pendingProbes[seq] = sent
	g.transmit(g.members[name].PeerAddr, packet{Kind: ping, Seq: seq})
	time.AfterFunc(directTimeout.Duration(), func() {
		g.Loop.Post(func() { g.probeIndirectly(ctx, seq, sent) })
	})
	time.AfterFunc(probeTimeout.Duration(), func() {
		g.Loop.Post(func() { g.suspectIfUnacked(seq, sent) })
	})
}

// probeFor pings an instance for another one, which has given up waiting when probeTimeout is over.
func (g *Group) probeFor(request packet) {
	g.seq++
	seq := g.seq
	g.pendingProbes[seq] = &probe{requester: request.From.PeerAddr, requesterSeq: request.Seq}
	g.transmit(request.ProbeAddr, packet{Kind: ping, Seq: seq})
	time.AfterFunc(probeTimeout.Duration(), func() {
		g.Loop.Post(func() { delete(g.pendingProbes, seq) })
	})
}

// probeIndirectly probes a peer that has not answered in two further ways: through other instances, and by a call, which
// uses another socket than datagrams.
func (g *Group) probeIndirectly(ctx context.Context, seq uint64, sent *probe) {
	k := g.members[sent.name]
	if sent.acked || k == nil || g.pendingProbes[seq] != sent {
		return
	}
	count := 0
	for name, other := range g.members {
		if name == sent.name || other.State != Alive || count == indirectProbers {
			continue
		}
		count++
		g.transmit(other.PeerAddr, packet{Kind: pingRequest, Seq: seq, ProbeAddr: k.PeerAddr})
	}
	addr := k.PeerAddr
	go func() {
		ctx, cancel := context.WithTimeout(ctx, (probeTimeout - directTimeout).Duration())
		defer cancel()
		if g.ProbeDirect(ctx, addr) == nil {
			g.Loop.Post(func() { g.markAcked(sent) })
		}
	}()
}

// suspectIfUnacked ends a probe and suspects the instance if no ack has arrived.
func (g *Group) suspectIfUnacked(seq uint64, sent *probe) {
	if g.pendingProbes[seq] != sent {
		return
	}
	delete(g.pendingProbes, seq)
	k := g.members[sent.name]
	if sent.acked || k == nil || k.State == Dead || k.State == Suspect {
		return
	}
	metrics.GetOrCreateCounter("pier_member_suspected_total").Inc()
	suspected := k.WithState(Suspect)
	g.setMember(suspected)
	g.transmit(k.PeerAddr, packet{Kind: gossip, Rumors: []Rumor{{Member: &suspected}}}) // it may refute this at once
}

// probeDead sends a packet to one dead instance that is due, so that the two sides of a healed partition find each other
// again. The packet carries the rumor of its death for the instance to refute.
func (g *Group) probeDead() {
	for _, k := range g.members {
		if k.State == Dead && g.ticks-k.lastProbeTick >= deadProbeTicks {
			k.lastProbeTick = g.ticks
			g.transmit(k.PeerAddr, packet{Kind: gossip, Rumors: []Rumor{{Member: &k.Member}}})
			return
		}
	}
}
