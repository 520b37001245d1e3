package detour

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	maxCandidates   = 16               // that are compared for one connection, at random if there are more
	avoidTime       = clock.Second     // for which a carrier is asked last, after it failed where another one did not
	provenTime      = 3 * clock.Second // for which a carrier that has joined a connection counts as able to
	otherZoneCost   = 4.0              // added to the load of a carrier in another availability zone, in connections
	unprovenCost    = 4.0              // added to the load of a carrier that has not joined one lately, in connections
	defaultCapacity = 0.4              // of a carrier that does not tell its capacity, in cores
)

// carrierState is what this instance knows of one carrier.
type carrierState struct {
	active     map[string]int // connections that it carries for this instance, by address of their targets
	avoidUntil clock.Millis   // until when it is asked last
	joinedAt   clock.Millis   // when it last joined a connection
}

// connections returns how many connections the carrier has for this instance.
func (s *carrierState) connections() int {
	count := 0
	for _, n := range s.active {
		count += n
	}
	return count
}

// carriers keeps what this instance knows of others as carriers.
type carriers struct {
	mu    sync.Mutex
	state map[string]*carrierState // by name
}

// of returns the state of a carrier; call it with the lock held.
func (c *carriers) of(name string) *carrierState {
	if c.state == nil {
		c.state = make(map[string]*carrierState)
	}
	if c.state[name] == nil {
		c.state[name] = &carrierState{active: make(map[string]int)}
	}
	return c.state[name]
}

// choose returns at most so many carriers to ask for a connection, the best one first: that with the least load for its capacity. One in this
// instance's availability zone, or one that has joined a connection lately, may have a higher load than others.
func (c *carriers) choose(peers []Peer, zone string, most int, now clock.Millis) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetMissing(peers)
	type ranked struct {
		Peer
		avoided bool
		load    float64
	}
	all := make([]ranked, 0, min(len(peers), maxCandidates))
	for _, p := range sample(peers) {
		s := c.of(p.Name)
		load := float64(s.connections()+1) + rand.Float64()
		if p.Zone != zone {
			load += otherZoneCost
		}
		if now-s.joinedAt > provenTime {
			load += unprovenCost
		}
		all = append(all, ranked{p, now < s.avoidUntil, load / cmp.Or(p.Capacity, defaultCapacity)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(compareBool(a.avoided, b.avoided), cmp.Compare(a.load, b.load))
	})
	chosen := make([]Peer, 0, most)
	for _, r := range all[:min(len(all), most)] {
		chosen = append(chosen, r.Peer)
	}
	return chosen
}

// sample returns the peers, or maxCandidates of them at random.
func sample(peers []Peer) []Peer {
	if len(peers) <= maxCandidates {
		return peers
	}
	sampled := make([]Peer, 0, maxCandidates)
	for n, p := range peers { // each is taken with the same probability
		if rand.IntN(len(peers)-n) < maxCandidates-len(sampled) {
			sampled = append(sampled, p)
		}
	}
	return sampled
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// forgetMissing drops what is known of carriers that are gone; call it with the lock held.
func (c *carriers) forgetMissing(peers []Peer) {
	if len(c.state) <= 2*len(peers)+maxCarriers {
		return
	}
	present := make(map[string]bool, len(peers))
	for _, p := range peers {
		present[p.Name] = true
	}
	for name, s := range c.state {
		if !present[name] && len(s.active) == 0 {
			delete(c.state, name)
		}
	}
}

// noteJoined records that a carrier has joined a connection, and that others do not reach the same target or do not answer.
func (c *carriers) noteJoined(p Peer, missed []Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.of(p.Name).joinedAt = now
	c.of(p.Name).avoidUntil = 0
	for _, other := range missed {
		c.of(other.Name).avoidUntil = now + avoidTime
	}
}

// avoid makes a carrier be asked last for a while.
func (c *carriers) avoid(p Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(p.Name).avoidUntil = clock.Now() + avoidTime
}

// track counts a connection at its carrier until it is closed.
func (c *carriers) track(a answer, target string) *viaConn {
	c.add(a.peer.Name, target, 1)
	return &viaConn{Conn: a.conn, peer: a.peer, onClose: func() { c.add(a.peer.Name, target, -1) }}
}

// add changes the number of connections of a carrier to a target.
func (c *carriers) add(name, target string, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.of(name)
	if s.active[target] += change; s.active[target] == 0 {
		delete(s.active, target)
	}
}

// carriedBy returns the addresses of the targets to which an instance carries connections of this one.
func (c *carriers) carriedBy(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state[name]
	if s == nil {
		return nil
	}
	return slices.Collect(maps.Keys(s.active))
}

// viaConn is a connection that another instance carries.
type viaConn struct {
	net.Conn
	peer    Peer
	onClose func()
	once    sync.Once
}

// Close closes the connection.
func (c *viaConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// CarrierOf returns the address, for other instances, of the one that carries a connection; empty for a direct connection.
func CarrierOf(conn net.Conn) string {
	if c, ok := conn.(*viaConn); ok {
		return c.peer.Addr
	}
	return ""
}
