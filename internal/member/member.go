package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/feed"
	"github.com/corianderpier/corianderpier/internal/loop"
)

const (
	probeInterval     = clock.Second           // between probes
	directTimeout     = 250 * clock.Millis(1)  // until other instances are asked to probe
	probeTimeout      = 900 * clock.Millis(1)  // without an ack, until the probed instance is suspected
	suspectTimeout    = 1500 * clock.Millis(1) // until a suspected instance is considered dead; for each decimal digit of the number of members after the first
	maxTickGap        = 3 * probeInterval / 2  // a longer gap between ticks means that this process was paused
	indirectProbers   = 3                      // instances asked to probe a peer that has not answered
	rumorsPerPacket   = 6
	urgentFanout      = 3                    // peers that get urgent rumors at each gossipInterval
	retransmitFactor  = 4                    // transmissions of one rumor for each decimal digit of the number of members
	deadProbeTicks    = 5                    // ticks between probes of one dead instance
	minSyncTicks      = 5                    // between exchanges of whole lists that bring little
	joinProbes        = 16                   // sent at once to instances that the object API lists
	joinProbeInterval = 50 * clock.Millis(1) // until the next ones
	forgetAfter       = 10 * clock.Minute    // after which a dead instance is removed from the list
	gossipInterval    = probeInterval / 5    // between rumors sent outside of probes
)

// Versions are the newest versions of the shared objects that an instance holds. Keys 1 and 2 held them without their eras.
type Versions struct {
	Config  feed.Version `cbor:"3,keyasint"`
	Targets feed.Version `cbor:"4,keyasint"`
	// Evacuations is the version of the list of evacuated availability zones; zero if the instance has none, as in older builds.
	Evacuations feed.Version `cbor:"5,keyasint,omitzero"`
}

type packetKind uint8

const (
	ping packetKind = iota + 1
	ack
	pingRequest
	gossip
	notice // to all others, of the sender's state
)

// packet is a datagram between instances; every kind also carries versions and rumors.
type packet struct {
	Kind      packetKind `cbor:"1,keyasint"`
	Seq       uint64     `cbor:"2,keyasint"`
	From      Member     `cbor:"3,keyasint"`
	ProbeAddr string     `cbor:"4,keyasint,omitempty"` // in a ping request, the peer address to probe
	Digest    uint64     `cbor:"5,keyasint"`
	Versions  Versions   `cbor:"6,keyasint"`
	Rumors    []Rumor    `cbor:"7,keyasint,omitempty"`
}

// Group runs the membership protocol for one instance. Its state is accessed only on the control loop.
type Group struct {
	Self            Member
	Loop            *loop.Loop
	Send            func(addr string, plaintext []byte)                          // sends a datagram
	ProbeDirect     func(ctx context.Context, addr string) error                 // probes a peer by a call
	SyncLists       func(ctx context.Context, addr string, l List) (List, error) // sends a list and returns the peer's
	Versions        func() Versions                                              // held by this instance
	OnVersion       func(from Member, v Versions)                                // called with the versions in each packet
	OnTargetLeaving func(target string)                                          // called when a target takes no new work
	OnChange        func()                                                       // called on the loop when the view changes

	members        map[string]*peerState
	leavingTargets map[string]bool
	rumors         []*queuedRumor    // still to be sent
	pendingProbes  map[uint64]*probe // by sequence number
	probeOrder     []string          // names still to be probed in this round
	seq            uint64            // of the last probe
	ticks          int               // number of probe intervals since the start
	lastTickAt     time.Time
	lastSyncTick   int // 0 before the first exchange of lists
	syncLearned    int // instances that exchanges of lists have brought since then
	viewVersion    uint64
	merging        bool   // a list is being merged; the view is published at its end
	memberDigest   uint64 // of the members in the view
	viewChanged    bool   // the view is to be published at the end of the merge
	view           atomic.Pointer[View]
	lastHeard      atomic.Int64 // time of the last packet from a peer, in milliseconds

	unlinked    bool         // as SetUnlinked was last called; Self has what the others are told
	linksToldAt clock.Millis // when the others were last told
	linksWait   bool         // a change is to be told after linksInterval
}

// Init prepares the state, with this instance alone in its view.
func (g *Group) Init() {
	g.members = make(map[string]*peerState)
	g.leavingTargets = make(map[string]bool)
	g.pendingProbes = make(map[uint64]*probe)
	g.seq = uint64(rand.Uint32())
	g.publishView()
}

// View returns the current view of the instances.
func (g *Group) View() View { return *g.view.Load() }

// LastHeard returns the time of the last packet from a peer.
func (g *Group) LastHeard() clock.Millis { return clock.Millis(g.lastHeard.Load()) }

// Run probes peers and sends rumors until the context ends.
func (g *Group) Run(ctx context.Context) error {
	probing := time.NewTicker(probeInterval.Duration())
	defer probing.Stop()
	spreading := time.NewTicker(gossipInterval.Duration())
	defer spreading.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-probing.C:
			g.Loop.Post(func() { g.tick(ctx) })
		case <-spreading.C:
			g.Loop.Post(g.sendGossip)
		}
	}
}

// Join adds instances that the object API lists, and probes each soon, since the object API also lists instances that are
// gone. The probes are spaced, as the acks of hundreds at once would overflow the receive queue, so that instances that live
// would be suspected.
func (g *Group) Join(ctx context.Context, members []Member) {
	g.Loop.Post(func() {
		g.merging = true
		var names []string
		for _, m := range members {
			g.mergeMember(m)
			if k := g.members[m.Name]; k != nil && k.live() {
				names = append(names, m.Name)
			}
		}
		g.endMerge()
		g.probeSpaced(ctx, names)
	})
}

// probeSpaced probes some instances now and the rest after joinProbeInterval.
func (g *Group) probeSpaced(ctx context.Context, names []string) {
	batch := names[:min(len(names), joinProbes)]
	for _, name := range batch {
		if k := g.members[name]; k != nil && k.live() {
			g.sendProbe(ctx, name)
		}
	}
	if rest := names[len(batch):]; len(rest) > 0 && ctx.Err() == nil {
		time.AfterFunc(joinProbeInterval.Duration(), func() { g.Loop.Post(func() { g.probeSpaced(ctx, rest) }) })
	}
}

// Leave tells the others that this instance takes no new work.
func (g *Group) Leave() {
	g.Loop.Call(func() {
		g.Self = g.Self.WithIncarnation(g.Self.Incarnation + 1).WithState(Leaving)
		g.queueMember(g.Self, true)
		g.publishView()
		g.sendGossip()
	})
}

// MarkTargetLeaving tells the others that a target takes no new work.
func (g *Group) MarkTargetLeaving(target string) {
	g.Loop.Post(func() { g.addLeavingTarget(target) })
}

// Receive handles a datagram from a peer.
func (g *Group) Receive(plaintext []byte) {
	var p packet
	if err := cbor.Unmarshal(plaintext, &p); err != nil {
		return
	}
	g.Loop.Post(func() { g.receive(p) })
}

// ExchangeLists merges a peer's list and returns the list of this instance.
func (g *Group) ExchangeLists(l List) List {
	var own List
	g.Loop.Call(func() {
		g.mergeList(l)
		own = g.ownList()
	})
	return own
}

// receive handles a packet on the control loop.
func (g *Group) receive(p packet) {
	g.lastHeard.Store(int64(clock.Now()))
	g.mergeMember(p.From)
	for _, r := range p.Rumors {
		if r.Member != nil {
			g.mergeMember(*r.Member)
		}
		if r.TargetLeaving != nil {
			g.addLeavingTarget(r.TargetLeaving.Target)
		}
	}
	if g.OnVersion != nil {
		g.OnVersion(p.From, p.Versions)
	}
	if p.Kind != notice && p.Digest != g.digest() { // a notice goes to all, who would all ask its sender at once
		g.syncWith(p.From)
	}
	switch p.Kind {
	case ping:
		g.transmit(p.From.PeerAddr, packet{Kind: ack, Seq: p.Seq})
	case pingRequest:
		g.probeFor(p)
	case ack:
		g.receiveAck(p)
	}
}

// mergeMember applies a statement about an instance unless it is invalid or a newer one is known.
func (g *Group) mergeMember(m Member) {
	if !m.valid() {
		metrics.GetOrCreateCounter("pier_member_invalid_total").Inc()
		return
	}
	if m.Name == g.Self.Name {
		g.refute(m)
		return
	}
	if old := g.members[m.Name]; old != nil && !m.overrides(old.Member) {
		return
	}
	g.setMember(m)
}

// refute raises the incarnation of this instance if a rumor contradicts its state, so that its own state overrides the
// rumor. A rumor about a later process of the same name is not refuted. One at the address of this process is an earlier one, which
// was started when the system time was ahead of what it is now.
func (g *Group) refute(m Member) {
	restarted := m.FirstIncarnation > g.Self.FirstIncarnation && m.PeerAddr != g.Self.PeerAddr
	current := m.Incarnation == g.Self.Incarnation && m.State == g.Self.State && (g.Self.Unlinked || !m.Unlinked)
	if restarted || current || m.Incarnation < g.Self.Incarnation {
		return
	}
	g.Self = g.Self.WithIncarnation(m.Incarnation + 1)
	g.queueMember(g.Self, true)
	g.publishView()
	g.sendGossip()
}

// setMember records the new state of an instance and queues it for the others.
func (g *Group) setMember(m Member) {
	old := g.members[m.Name]
	if old == nil {
		old = &peerState{lastProbeTick: g.ticks}
		g.members[m.Name] = old
	}
	if m.State == Dead && old.State != Dead {
		metrics.GetOrCreateCounter("pier_member_died_total").Inc()
		old.lastProbeTick = g.ticks
	}
	urgent := m.urgentAfter(old.Member)
	old.Member = m
	old.since = clock.Now()
	g.queueMember(m, urgent)
	g.publishView()
}

// transmit completes a packet with the fields that every packet carries, and sends it.
func (g *Group) transmit(addr string, p packet) {
	p.Rumors = append(p.Rumors, g.takeRumors()...)
	g.sendTo([]string{addr}, p)
}

// sendTo sends a packet with the state of this instance to some peers.
func (g *Group) sendTo(addrs []string, p packet) {
	p.From = g.Self
	p.Digest = g.digest()
	p.Versions = g.Versions()
	data, err := cbor.Marshal(p)
	if err != nil {
		return
	}
	for _, addr := range addrs {
		g.Send(addr, data)
	}
}

// publishView replaces the view after a change of the list, or leaves that to the end of the merge.
func (g *Group) publishView() {
	if g.merging {
		g.viewChanged = true
		return
	}
	members := []Member{g.Self}
	for _, k := range g.members {
		members = append(members, k.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	g.viewVersion++
	g.memberDigest = digestOf(members)
	g.view.Store(&View{Members: members, Version: g.viewVersion})
	if g.OnChange != nil {
		g.OnChange()
	}
}
