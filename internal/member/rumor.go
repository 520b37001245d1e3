package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
)

// TargetLeaving states that a target takes no new work; it is never revoked.
type TargetLeaving struct {
	Target string `cbor:"1,keyasint"`
}

// Rumor is a statement about an instance or a target that spreads by gossip; one of the fields is set.
type Rumor struct {
	Member        *Member        `cbor:"1,keyasint,omitempty"`
	TargetLeaving *TargetLeaving `cbor:"2,keyasint,omitempty"`
}

// List is everything that an instance knows of the others and of targets. Two instances exchange lists when their digests
// differ.
type List struct {
	Members        []Member `cbor:"1,keyasint"`
	LeavingTargets []string `cbor:"2,keyasint"`
}

// queuedRumor is a rumor that is sent with the next packets.
type queuedRumor struct {
	rumor  Rumor
	key    string // identifies the subject; a newer rumor with the same key replaces it
	sent   int    // number of packets that have carried it
	urgent bool   // it is sent before others, as a wrong view lasts until it has spread
}

// addLeavingTarget records that a target takes no new work and tells the others.
func (g *Group) addLeavingTarget(target string) {
	if g.leavingTargets[target] {
		return
	}
	g.leavingTargets[target] = true
	g.queueRumor(&queuedRumor{rumor: Rumor{TargetLeaving: &TargetLeaving{Target: target}}, key: "t/" + target, urgent: true})
	if g.OnTargetLeaving != nil {
		g.OnTargetLeaving(target)
	}
	g.sendGossip()
}

// queueMember queues the state of an instance.
func (g *Group) queueMember(m Member, urgent bool) {
	g.queueRumor(&queuedRumor{rumor: Rumor{Member: &m}, key: "m/" + m.Name, urgent: urgent})
}

// queueRumor queues a rumor in place of an older one about the same subject.
func (g *Group) queueRumor(added *queuedRumor) {
	for i, old := range g.rumors {
		if old.key == added.key {
			g.rumors[i] = added
			return
		}
	}
	g.rumors = append(g.rumors, added)
}

// sendGossip sends queued rumors to random peers, so that they need not wait for the next probe.
func (g *Group) sendGossip() {
	if len(g.rumors) == 0 || len(g.members) == 0 {
		return
	}
	count := 1
	if slices.ContainsFunc(g.rumors, func(q *queuedRumor) bool { return q.urgent }) {
		count = urgentFanout
	}
	peers := g.View().NotDead()
	for range count {
		to := peers[rand.IntN(len(peers))]
		if to.Name != g.Self.Name && len(g.rumors) > 0 {
			g.transmit(to.PeerAddr, packet{Kind: gossip})
		}
	}
}

// takeRumors returns the next queued rumors, and drops those that were sent often enough. Urgent ones go first, and then
// those that were sent least often.
func (g *Group) takeRumors() []Rumor {
	slices.SortStableFunc(g.rumors, func(a, b *queuedRumor) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sent, b.sent)
	})
	limit := retransmitFactor * len(strconv.Itoa(len(g.members)))
	var rumors []Rumor
	for _, queued := range g.rumors[:min(len(g.rumors), rumorsPerPacket)] {
		queued.sent++
		rumors = append(rumors, queued.rumor)
	}
	kept := g.rumors[:0]
	for _, queued := range g.rumors {
		if queued.sent < limit {
			kept = append(kept, queued)
		}
	}
	g.rumors = kept
	return rumors
}

// syncWith exchanges lists with a peer whose digest differs, at most once each minSyncTicks, or each tick while exchanges
// bring much that rumors would take long to tell.
func (g *Group) syncWith(peer Member) {
	wait := minSyncTicks
	if g.syncLearned > rumorsPerPacket {
		wait = 1
	}
	if g.ticks-g.lastSyncTick < wait && g.lastSyncTick != 0 {
		return
	}
	g.lastSyncTick = max(g.ticks, 1)
	g.syncLearned = 0
	own := g.ownList()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeInterval.Duration())
		defer cancel()
		theirs, err := g.SyncLists(ctx, peer.PeerAddr, own)
		if err == nil {
			g.Loop.Post(func() { g.mergeList(theirs) })
		}
	}()
}

// mergeList applies a peer's list. The view is published once, as that sorts all members.
func (g *Group) mergeList(l List) {
	before := len(g.members)
	g.merging = true
	for _, m := range l.Members {
		g.mergeMember(m)
	}
	g.endMerge()
	g.syncLearned += len(g.members) - before
	for _, target := range l.LeavingTargets {
		g.addLeavingTarget(target)
	}
}

// endMerge publishes the view if a merge of several members has changed it.
func (g *Group) endMerge() {
	g.merging = false
	if g.viewChanged {
		g.viewChanged = false
		g.publishView()
	}
}

func (g *Group) ownList() List {
	l := List{Members: g.View().Members}
	for target := range g.leavingTargets {
		l.LeavingTargets = append(l.LeavingTargets, target)
	}
	return l
}

// digest summarizes the list for comparison with a peer's. It is a sum, which does not depend on the order, so that
// neither side has to sort.
func (g *Group) digest() uint64 { return g.memberDigest + uint64(len(g.leavingTargets)) }

// digestOf returns the part of the members in the digest.
func digestOf(members []Member) uint64 {
	sum := uint64(0)
	for _, m := range members {
		if m.State != Dead {
			sum += memberHash(m)
		}
	}
	return sum
}
