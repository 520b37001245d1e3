package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	gossipStep   = clock.Second          // by which a confirmation is later than the one that was told last, to be told at once
	gossipDelay  = 20 * clock.Millis(1)  // for which more news is awaited, as several objects are often confirmed together
	gossipPause  = 500 * clock.Millis(1) // after news, until the next datagrams
	gossipRepeat = clock.Second          // after which it is told without news, for those that the last datagrams did not reach
	gossipMargin = 500 * clock.Millis(1) // before MaxAge, when it is told to hear of later confirmations
	gossipFanout = 3                     // instances that get each of them
)

// Gossip spreads among instances how fresh their objects are. What an instance is told it tells on, so that it reaches hundreds within
// a few hops, and costs each the same in a fleet of any size. The random choices leave out some; these tell what they know before it
// gets too old, and an instance that is told what is old answers with what it knows itself.
type Gossip struct {
	Feeds []*Feed                        // in the same order at all instances; set their OnConfirmed to Record
	Peers func() []string                // addresses of the other instances
	Send  func(addr string, data []byte) // sends a datagram

	wake chan struct{}  // has an element if there is news
	told []atomic.Int64 // when each object was last confirmed as others were told, milliseconds since the epoch
}

// gossip is a datagram with a confirmation for each feed, which is nil if there is none.
type gossip struct {
	Confirmations []*Confirmation `cbor:"1,keyasint"`
}

// Init prepares for Record, Receive and Run.
func (g *Gossip) Init() {
	g.wake = make(chan struct{}, 1)
	g.told = make([]atomic.Int64, len(g.Feeds))
}

// Record makes Run tell others if a confirmation is news.
func (g *Gossip) Record() {
	for n, f := range g.Feeds {
		if int64(f.ConfirmedAt())-g.told[n].Load() < int64(gossipStep) {
			continue
		}
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// Run tells others until the context ends: soon after there is news, and now and then without any.
func (g *Gossip) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-g.wake:
			_ = clock.Sleep(ctx, gossipDelay)
			g.tell()
			_ = clock.Sleep(ctx, gossipPause)
		case <-time.After(g.untilRepeat().Duration()):
			g.tell()
		}
	}
	return nil
}

// untilRepeat returns the time until others are told without news.
func (g *Gossip) untilRepeat() clock.Millis {
	now, delay := clock.Now(), gossipRepeat
	for _, f := range g.Feeds {
		if left := f.ConfirmedAt() + f.MaxAge - gossipMargin - now; left > 0 {
			delay = min(delay, left)
		}
	}
	return delay
}

// tell sends a datagram to some instances, each time to others.
func (g *Gossip) tell() {
	for n, f := range g.Feeds {
		g.told[n].Store(int64(f.ConfirmedAt()))
	}
	peers := g.Peers()
	told := min(gossipFanout, len(peers))
	for n := range told {
		other := n + rand.IntN(len(peers)-n)
		peers[n], peers[other] = peers[other], peers[n]
	}
	g.send(peers[:told]...)
}

// send sends a datagram with what is known here.
func (g *Gossip) send(addrs ...string) {
	var message gossip
	for _, f := range g.Feeds {
		message.Confirmations = append(message.Confirmations, f.Confirmation())
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		slog.Error("failed to encode datagram", "error", err)
		return
	}
	for _, addr := range addrs {
		g.Send(addr, data)
	}
}

// Receive handles a datagram of another instance, which is answered if this one knows more. Invalid ones are ignored.
func (g *Gossip) Receive(from string, data []byte) {
	var message gossip
	if err := cbor.Unmarshal(data, &message); err != nil {
		return
	}
	outdated := false
	for n, c := range message.Confirmations[:min(len(message.Confirmations), len(g.Feeds))] {
		g.Feeds[n].Confirm(c, from)
		outdated = outdated || g.Feeds[n].knowsLater(c)
	}
	if outdated {
		g.send(from)
	}
}
