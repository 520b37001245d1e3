package member

import (
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const linksInterval = clock.Second // between changes of its links that an instance tells

// SetUnlinked tells the others whether this instance has lost its links to targets. Of changes within linksInterval only the last
// is told.
func (g *Group) SetUnlinked(unlinked bool) {
	g.Loop.Post(func() {
		g.unlinked = unlinked
		g.tellUnlinked()
	})
}

// tellUnlinked tells all others of a change, or waits until linksInterval is over.
func (g *Group) tellUnlinked() {
	if g.linksWait || g.unlinked == g.Self.Unlinked {
		return
	}
	if wait := g.linksToldAt + linksInterval - clock.Now(); wait > 0 {
		g.linksWait = true
		time.AfterFunc(wait.Duration(), func() {
			g.Loop.Post(func() {
				g.linksWait = false
				g.tellUnlinked()
			})
		})
		return
	}
	g.linksToldAt = clock.Now()
	g.Self = g.Self.WithIncarnation(g.Self.Incarnation + 1)
	g.Self.Unlinked = g.unlinked
	g.queueMember(g.Self, true)
	g.publishView()
	g.notifyAll()
}

// notifyAll tells all other instances the state of this one, by one datagram each.
func (g *Group) notifyAll() {
	var addrs []string
	for _, m := range g.View().NotDead() {
		if m.Name != g.Self.Name {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	g.sendTo(addrs, packet{Kind: notice})
}
