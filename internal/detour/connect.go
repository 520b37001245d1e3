package detour

import (
	"context"
	"log/slog"
	"net"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// callLost is the kind of the call by which a carrier tells that its link to a target is lost.
const callLost = "lost"

const lostTimeout = clock.Second // of that call

// lostLink is the argument of that call.
type lostLink struct {
	Addr string `cbor:"1,keyasint"`
}

// Setup is what the ways of an instance to targets need from its other parts.
type Setup struct {
	Self     string // name of this instance
	Zone     string // its availability zone
	Capacity float64
	Account  *quota.Account // for the memory of connections that are carried; nil for none
	Node     *peer.Node
	Group    *member.Group
	// Dial opens a direct connection to a target. Nil for the network's way.
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Carriers func() []member.Member // instances that may carry connections; this one and unlinked ones are left out
	Targets  func() []Target        // all targets that may be reached, in any order
	Allowed  func(t Target) bool    // whether this instance knows the target, and would send it a request of its own
	Draining func() bool
	// OnCut and OnUnlinked are as in Dialer. The group has been told before. Nil for nothing.
	OnCut      func(addr string)
	OnUnlinked func(unlinked bool)
}

// Connect creates the ways of an instance to targets: its own, and those through others. It also carries the connections of others, and
// tells the group whether it has links. Call it before the node runs.
func (s Setup) Connect() (*Dialer, *Carrier) {
	if s.Dial == nil {
		s.Dial = (&net.Dialer{}).DialContext
	}
	d := &Dialer{
		Zone: s.Zone, Open: s.open, Peers: s.peers, Targets: s.Targets,
		Direct: func(ctx context.Context, addr string) (net.Conn, error) { return s.Dial(ctx, "tcp", addr) },
	}
	d.OnUnlinked = func(unlinked bool) {
		s.Group.Loop.Post(func() { s.Group.SetUnlinked(d.Unlinked()) }) // the last of changes in close succession wins
		if s.OnUnlinked != nil {
			s.OnUnlinked(unlinked)
		}
	}
	c := &Carrier{
		Direct: d.DialDirect, Allowed: s.Allowed, Capacity: s.Capacity, Account: s.Account,
		Closed: func() bool { return s.Draining() || d.Unlinked() },
	}
	d.OnCut = func(addr string) {
		s.recordCut(addr)
		s.tellOrigins(c.Origins(addr), addr)
	}
	s.Node.HandleConn(CallKind, c.Accept)
	peer.HandleFunc(s.Node, callLost, func(_ context.Context, _ string, l lostLink) (struct{}, error) {
		s.recordCut(l.Addr)
		return struct{}{}, nil
	})
	return d, c
}

// recordCut calls OnCut.
func (s Setup) recordCut(addr string) {
	if s.OnCut != nil {
		s.OnCut(addr)
	}
}

// tellOrigins tells other instances that the link is lost over which this one carries their connections.
func (s Setup) tellOrigins(origins []string, addr string) {
	for _, origin := range origins {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), lostTimeout.Duration())
			defer cancel()
			if err := s.Node.Call(ctx, origin, callLost, lostLink{addr}, &struct{}{}); err != nil {
				slog.Info("lost link not told", "addr", addr, "to", origin, "error", err.Error())
			}
		}()
	}
}

// open asks another instance to carry a connection.
func (s Setup) open(ctx context.Context, p Peer, t Target) (net.Conn, Reply, error) {
	t.Origin = s.Node.LocalAddr()
	var reply Reply
	conn, err := s.Node.OpenConn(ctx, p.Addr, CallKind, t, &reply)
	return conn, reply, err
}

// peers returns the instances that may carry connections of this one.
func (s Setup) peers() []Peer {
	var peers []Peer
	for _, m := range member.Connected(s.Carriers()) {
		if m.Name != s.Self {
			peers = append(peers, Peer{Name: m.Name, Zone: m.Zone, Addr: m.PeerAddr, Capacity: m.Capacity})
		}
	}
	return peers
}
