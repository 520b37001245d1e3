package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
)

// Mark says that a target takes no new work; it is never undone.
type Mark struct {
	Target string `cbor:"1,keyasint"`
}

// Rumor is news about an instance or a target.
type Rumor struct {
	Member *Member `cbor:"1,keyasint,omitempty"`
	Mark   *Mark   `cbor:"2,keyasint,omitempty"`
}

// List is the whole of what an instance knows, exchanged when two lists differ.
type List struct {
	Members []Member `cbor:"1,keyasint"`
	Marks   []string `cbor:"2,keyasint"`
}

type item struct {
	rumor Rumor
	key   string
	sent  int
}

func (g *Group) mark(target string) {
	if g.marks[target] {
		return
	}
	g.marks[target] = true
	g.queue(&item{rumor: Rumor{Mark: &Mark{Target: target}}, key: "t/" + target})
	if g.OnTargetLeaving != nil {
		g.OnTargetLeaving(target)
	}
	g.spread()
}

func (g *Group) queueMember(m Member) {
	g.queue(&item{rumor: Rumor{Member: &m}, key: "m/" + m.Name})
}

func (g *Group) queue(fresh *item) {
	for i, old := range g.news {
		if old.key == fresh.key {
			g.news[i] = fresh
			return
		}
	}
	g.news = append(g.news, fresh)
}

// spread sends fresh news to a random peer, so that it does not wait for the next probe.
func (g *Group) spread() {
	if len(g.news) == 0 || len(g.members) == 0 {
		return
	}
	present := g.View().NotDead()
	to := present[rand.IntN(len(present))]
	if to.Name != g.Self.Name {
		g.transmit(to.PeerAddr, packet{Kind: gossip})
	}
}

// pick takes the least sent news and retires what was sent often enough.
func (g *Group) pick() []Rumor {
	sort.SliceStable(g.news, func(i, j int) bool { return g.news[i].sent < g.news[j].sent })
	limit := spreadFactor * len(strconv.Itoa(len(g.members)))
	var rumors []Rumor
	for _, n := range g.news[:min(len(g.news), newsPerPacket)] {
		n.sent++
		rumors = append(rumors, n.rumor)
	}
	kept := g.news[:0]
	for _, n := range g.news {
		if n.sent < limit {
			kept = append(kept, n)
		}
	}
	g.news = kept
	return rumors
}

// reconcile exchanges whole lists with a peer whose list differs, at a limited rate.
func (g *Group) reconcile(with Member) {
	if g.ticks-g.synced < syncPeriods && g.synced != 0 {
		return
	}
	g.synced = max(g.ticks, 1)
	own := g.list()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), period.Duration())
		defer cancel()
		theirs, err := g.SyncLists(ctx, with.PeerAddr, own)
		if err == nil {
			g.Loop.Post(func() { g.merge(theirs) })
		}
	}()
}

func (g *Group) merge(l List) {
	for _, m := range l.Members {
		g.learn(m)
	}
	for _, target := range l.Marks {
		g.mark(target)
	}
}

func (g *Group) list() List {
	l := List{Members: g.View().Members}
	for target := range g.marks {
		l.Marks = append(l.Marks, target)
	}
	return l
}

func (g *Group) digest() uint64 {
	// Order does not matter, so that both sides need not sort.
	sum := uint64(len(g.marks))
	for _, m := range g.View().Members {
		if m.State != Dead {
			sum += hash(m)
		}
	}
	return sum
}
