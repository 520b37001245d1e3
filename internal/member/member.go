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
	"github.com/corianderpier/corianderpier/internal/loop"
)

const (
	period         = clock.Second           // between probes
	directTimeout  = 250 * clock.Millis(1)  // until other instances are asked to probe
	probeTimeout   = 900 * clock.Millis(1)  // until the probed instance is suspect
	suspectTimeout = 1500 * clock.Millis(1) // until a suspect instance is dead
	pauseLimit     = 3 * period / 2         // a longer gap between probes means that this process was paused
	helpers        = 3                      // instances asked to probe
	newsPerPacket  = 6
	spreadFactor   = 4 // transmissions of one piece of news, times the decimal digits of the number of members
	deadProbe      = 5 // periods between probes of one dead instance
	syncPeriods    = 5 // least periods between exchanges of the whole list
	forgetAfter    = 10 * clock.Minute
	gossipTick     = period / 5
)

// Versions are the newest versions of the shared objects that an instance holds.
type Versions struct {
	Config  uint64 `cbor:"1,keyasint"`
	Targets uint64 `cbor:"2,keyasint"`
}

type packetKind uint8

const (
	ping packetKind = iota + 1
	ack
	pingRequest
	gossip
)

type packet struct {
	Kind     packetKind `cbor:"1,keyasint"`
	Seq      uint64     `cbor:"2,keyasint"`
	From     Member     `cbor:"3,keyasint"`
	About    string     `cbor:"4,keyasint,omitempty"` // peer address to probe, in a ping request
	Digest   uint64     `cbor:"5,keyasint"`
	Versions Versions   `cbor:"6,keyasint"`
	Rumors   []Rumor    `cbor:"7,keyasint,omitempty"`
}

// Group is one instance's part in the membership protocol. Its state belongs to the control loop.
type Group struct {
	Self            Member
	Loop            *loop.Loop
	Send            func(addr string, plain []byte)                              // datagram
	ProbeDirect     func(ctx context.Context, addr string) error                 // probe over a new connection
	SyncLists       func(ctx context.Context, addr string, l List) (List, error) // exchange of lists
	Versions        func() Versions
	OnVersion       func(from Member, v Versions) // newer versions exist at a peer
	OnTargetLeaving func(target string)           // a target takes no new work
	OnChange        func()                        // the view has changed; it runs on the control loop

	members map[string]*known
	marks   map[string]bool
	news    []*item
	probes  map[uint64]*probe
	order   []string
	seq     uint64
	ticks   int
	ticked  time.Time
	synced  int
	version uint64
	view    atomic.Pointer[View]
	heard   atomic.Int64 // when a peer was last heard, milliseconds
}

// Init sets up the state with the instance alone in its view.
func (g *Group) Init() {
	g.members = make(map[string]*known)
	g.marks = make(map[string]bool)
	g.probes = make(map[uint64]*probe)
	g.seq = uint64(rand.Uint32())
	g.publish()
}

// View returns the present list of instances.
func (g *Group) View() View { return *g.view.Load() }

// LastHeard returns when a peer was last heard.
func (g *Group) LastHeard() clock.Millis { return clock.Millis(g.heard.Load()) }

// Run probes until the context ends.
func (g *Group) Run(ctx context.Context) error {
	probing := time.NewTicker(period.Duration())
	defer probing.Stop()
	spreading := time.NewTicker(gossipTick.Duration())
	defer spreading.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-probing.C:
			g.Loop.Post(func() { g.tick(ctx) })
		case <-spreading.C:
			g.Loop.Post(g.spread)
		}
	}
}

// Join adds instances learned from the object API as if a peer had told of them, and probes each at once, since the
// object API also lists instances that are gone.
func (g *Group) Join(ctx context.Context, members []Member) {
	g.Loop.Post(func() {
		for _, m := range members {
			g.learn(m)
			if k := g.members[m.Name]; k != nil && k.live() {
				g.probe(ctx, m.Name)
			}
		}
	})
}

// Leave tells the others that this instance takes no new work.
func (g *Group) Leave() {
	g.Loop.Call(func() {
		g.Self = g.Self.WithIncarnation(g.Self.Incarnation + 1).WithState(Leaving)
		g.queueMember(g.Self)
		g.publish()
		g.spread()
	})
}

// MarkTargetLeaving spreads that a target takes no new work.
func (g *Group) MarkTargetLeaving(target string) {
	g.Loop.Post(func() { g.mark(target) })
}

// Receive handles a datagram from a peer.
func (g *Group) Receive(plain []byte) {
	var p packet
	if err := cbor.Unmarshal(plain, &p); err != nil {
		return
	}
	g.Loop.Post(func() { g.receive(p) })
}

// ExchangeLists merges a peer's list and returns this instance's own.
func (g *Group) ExchangeLists(l List) List {
	var own List
	g.Loop.Call(func() {
		g.merge(l)
		own = g.list()
	})
	return own
}

func (g *Group) receive(p packet) {
	g.heard.Store(int64(clock.Now()))
	g.learn(p.From)
	for _, r := range p.Rumors {
		if r.Member != nil {
			g.learn(*r.Member)
		}
		if r.Mark != nil {
			g.mark(r.Mark.Target)
		}
	}
	if g.OnVersion != nil {
		g.OnVersion(p.From, p.Versions)
	}
	if p.Digest != g.digest() {
		g.reconcile(p.From)
	}
	switch p.Kind {
	case ping:
		g.transmit(p.From.PeerAddr, packet{Kind: ack, Seq: p.Seq})
	case pingRequest:
		g.seq++
		g.probes[g.seq] = &probe{relay: p.From.PeerAddr, seq: p.Seq}
		g.transmit(p.About, packet{Kind: ping, Seq: g.seq})
	case ack:
		g.acked(p)
	}
}

// learn takes in news about an instance unless something newer is known.
func (g *Group) learn(m Member) {
	if m.Name == "" {
		return
	}
	if m.Name == g.Self.Name {
		g.refute(m)
		return
	}
	if old := g.members[m.Name]; old != nil && !m.newer(old.Member) {
		return
	}
	g.change(m)
}

// refute answers news that calls this process gone.
func (g *Group) refute(m Member) {
	replaced := m.FirstIncarnation > g.Self.FirstIncarnation
	known := m.Incarnation == g.Self.Incarnation && m.State == g.Self.State
	if replaced || known || m.Incarnation < g.Self.Incarnation {
		return
	}
	g.Self = g.Self.WithIncarnation(m.Incarnation + 1)
	g.queueMember(g.Self)
	g.publish()
}

func (g *Group) change(m Member) {
	old := g.members[m.Name]
	if old == nil {
		old = &known{probe: g.ticks}
		g.members[m.Name] = old
	}
	if m.State == Dead && old.State != Dead {
		metrics.GetOrCreateCounter("pier_member_died_total").Inc()
		old.probe = g.ticks
	}
	old.Member = m
	old.since = clock.Now()
	g.queueMember(m)
	g.publish()
}

func (g *Group) transmit(addr string, p packet) {
	p.From = g.Self
	p.Digest = g.digest()
	p.Versions = g.Versions()
	p.Rumors = append(p.Rumors, g.pick()...)
	data, err := cbor.Marshal(p)
	if err != nil {
		return
	}
	g.Send(addr, data)
}

func (g *Group) publish() {
	members := []Member{g.Self}
	for _, k := range g.members {
		members = append(members, k.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	g.version++
	g.view.Store(&View{Members: members, Version: g.version})
	if g.OnChange != nil {
		g.OnChange()
	}
}
