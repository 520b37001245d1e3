package detour

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	directTimeout = 300 * clock.Millis(1) // of a direct dial; the network delay is a few milliseconds
	headStart     = 100 * clock.Millis(1) // of the direct way, until a carrier is asked beside it
	dialTimeout   = 400 * clock.Millis(1) // of both ways together
)

// Peer is another instance that may carry connections.
type Peer struct {
	Name     string
	Zone     string
	Addr     string  // for other instances
	Capacity float64 // in cores
}

// Dialer opens connections of one instance to targets.
type Dialer struct {
	Zone   string // availability zone of this instance
	Direct func(ctx context.Context, addr string) (net.Conn, error)
	Open   func(ctx context.Context, p Peer, t Target) (net.Conn, Reply, error) // asks a peer to carry a connection
	Peers  func() []Peer                                                        // the other instances that may have links to targets
	// Targets returns all targets that may be reached, in any order.
	Targets func() []Target
	// OnCut is called when the link to an address is lost, so that what was sent over it may get no answer. Nil for nothing.
	OnCut func(addr string)
	// OnUnlinked is called when this instance has lost the links to all targets that it tried lately, and when it has some again. Nil for
	// nothing.
	OnUnlinked func(unlinked bool)

	links    links
	carriers carriers
}

// Unlinked reports whether this instance has lost the links to all targets that it tried lately.
func (d *Dialer) Unlinked() bool { return d.links.isUnlinked() }

// RecordLostCarrier records that another instance has lost its links to targets, or is gone, so that what it carries may get no answer.
// It calls OnCut for the targets of these connections.
func (d *Dialer) RecordLostCarrier(name string) {
	for _, addr := range d.carriers.carriedBy(name) {
		slog.Info("carrier lost", "carrier", name, "addr", addr)
		if d.OnCut != nil {
			d.OnCut(addr)
		}
	}
}

// Run tries the links of this instance while it is unlinked, as it may get no requests by which it would find out that they are back.
func (d *Dialer) Run(ctx context.Context) error {
	clock.Every(ctx, recheckInterval, func() {
		if d.Unlinked() {
			d.recheck(ctx)
		}
	})
	return nil
}

// recheck dials some targets directly.
func (d *Dialer) recheck(ctx context.Context) {
	d.tryDirect(ctx, d.someTargets(recentLinks, nil))
}

// check finds out whether this instance is unlinked, after some links have failed, by other ones.
func (d *Dialer) check() {
	reached := d.tryDirect(context.Background(), d.someTargets(checkedLinks, d.links.recentAddrs()))
	d.links.endCheck(!reached)
	if !reached {
		d.tellUnlinked(true)
	}
}

// someTargets returns a number of targets at random, without those at some addresses.
func (d *Dialer) someTargets(most int, without map[string]bool) []Target {
	targets := slices.DeleteFunc(d.Targets(), func(t Target) bool { return without[t.Addr] })
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	return targets[:min(len(targets), most)]
}

// tryDirect dials some targets directly at once, and reports whether one is reached.
func (d *Dialer) tryDirect(ctx context.Context, targets []Target) bool {
	var reached atomic.Bool
	var dials sync.WaitGroup
	for _, t := range targets {
		dials.Go(func() {
			if conn, err := d.DialDirect(ctx, t); err == nil {
				_ = conn.Close()
				reached.Store(true)
			}
		})
	}
	dials.Wait()
	return reached.Load()
}

// Dial opens a connection to a target: directly, or through another instance if that fails or takes long. If the link is known to be
// cut, another instance is asked at once. The error is an *Error.
func (d *Dialer) Dial(ctx context.Context, t Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	attempt := &dialing{dialer: d, target: t, began: clock.Now(), results: make(chan opened, ways)}
	first, err := attempt.race(ctx, d.links.plan(t.Addr, attempt.began))
	if attempt.running > 0 {
		go attempt.closeRest(err == nil && first.way == carried)
	}
	if err != nil {
		return nil, err
	}
	if via, ok := first.conn.(*viaConn); ok {
		slog.Info("target reached through another instance", "request", t.Request, "target", t.ID,
			"via", via.peer.Name, "took_ms", int64(clock.Now()-attempt.began))
	}
	return first.conn, nil
}

// DialDirect opens a direct connection, and learns about the link from it.
func (d *Dialer) DialDirect(ctx context.Context, t Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout.Duration())
	defer cancel()
	conn, err := d.Direct(ctx, t.Addr)
	if err == nil || context.Cause(ctx) != context.Canceled {
		d.noteDirect(t, err)
	}
	if err != nil {
		return nil, err
	}
	return newTargetConn(conn), nil
}

// noteDirect updates the state of a link after a direct dial.
func (d *Dialer) noteDirect(t Target, err error) {
	d.apply(t, d.links.noteDirect(t.Addr, err == nil, clock.Now()))
}

// noteCut marks the link to a target as cut.
func (d *Dialer) noteCut(t Target) { d.apply(t, d.links.cut(t.Addr, clock.Now())) }

// apply logs and tells what the dial of a target has changed.
func (d *Dialer) apply(t Target, c change) {
	if c.linkBack {
		slog.Info("link to target is back", "target", t.ID, "addr", t.Addr)
	}
	if c.linkCut {
		slog.Info("link to target is cut, others reach it", "target", t.ID, "addr", t.Addr)
		metrics.GetOrCreateCounter(`pier_detour_links_cut_total`).Inc()
	}
	if c.linkCut && d.OnCut != nil {
		d.OnCut(t.Addr)
	}
	if c.linked {
		d.tellUnlinked(false)
	}
	if c.suspect {
		go d.check()
	}
}

// tellUnlinked tells whether this instance is unlinked, after that has changed.
func (d *Dialer) tellUnlinked(unlinked bool) {
	slog.Info("links to targets", "unlinked", unlinked, "cut", d.links.cutCount())
	metrics.GetOrCreateCounter(`pier_detour_unlinked_changes_total`).Inc()
	if d.OnUnlinked != nil {
		d.OnUnlinked(unlinked)
	}
}
