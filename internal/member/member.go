package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
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

// Mark says that a target takes no new work; it is never undone.
type Mark struct {
	Target string `cbor:"1,keyasint"`
}

// Rumor is news about an instance or a target.
type Rumor struct {
	Member *Member `cbor:"1,keyasint,omitempty"`
	Mark   *Mark   `cbor:"2,keyasint,omitempty"`
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

// List is the whole of what an instance knows, exchanged when two lists differ.
type List struct {
	Members []Member `cbor:"1,keyasint"`
	Marks   []string `cbor:"2,keyasint"`
}

// Group is one instance's part in the membership protocol. Its state belongs to the control loop.
type Group struct {
	Self      Member
	Loop      *loop.Loop
	Send      func(addr string, plain []byte)                              // datagram
	Direct    func(ctx context.Context, addr string) error                 // probe over a new connection
	Sync      func(ctx context.Context, addr string, l List) (List, error) // exchange of lists
	Versions  func() Versions
	OnVersion func(from Member, v Versions) // newer versions exist at a peer
	OnMark    func(target string)           // a target takes no new work

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

type known struct {
	Member
	since clock.Millis // of the present state
	probe int          // tick of the last probe
}

type item struct {
	rumor Rumor
	key   string
	sent  int
}

type probe struct {
	name  string
	acked bool
	relay string // address that asked for the probe
	seq   uint64 // its sequence number there
}

// Start sets up the state with the instance alone in its view.
func (g *Group) Start() {
	g.members = make(map[string]*known)
	g.marks = make(map[string]bool)
	g.probes = make(map[uint64]*probe)
	g.seq = uint64(rand.Uint32())
	g.publish()
}

// View returns the present list of instances.
func (g *Group) View() View { return *g.view.Load() }

// Heard returns when a peer was last heard.
func (g *Group) Heard() clock.Millis { return clock.Millis(g.heard.Load()) }

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

// Join adds instances learned from the object API as if a peer had told of them.
func (g *Group) Join(members []Member) {
	g.Loop.Post(func() {
		for _, m := range members {
			g.learn(m)
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

// MarkLeaving spreads that a target takes no new work.
func (g *Group) MarkLeaving(target string) {
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

// Exchange merges a peer's list and returns this instance's own.
func (g *Group) Exchange(l List) List {
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
		g.transmit(p.From.Peer, packet{Kind: ack, Seq: p.Seq})
	case pingRequest:
		g.seq++
		g.probes[g.seq] = &probe{relay: p.From.Peer, seq: p.Seq}
		g.transmit(p.About, packet{Kind: ping, Seq: g.seq})
	case ack:
		g.acked(p)
	}
}

func (g *Group) acked(p packet) {
	sent := g.probes[p.Seq]
	if sent == nil {
		return
	}
	if sent.relay != "" {
		g.transmit(sent.relay, packet{Kind: ack, Seq: sent.seq})
		delete(g.probes, p.Seq)
		return
	}
	g.confirm(sent)
}

func (g *Group) confirm(sent *probe) {
	sent.acked = true
}

func (g *Group) tick(ctx context.Context) {
	now := time.Now()
	paused := !g.ticked.IsZero() && now.Sub(g.ticked) > pauseLimit.Duration()
	g.ticked = now
	g.ticks++
	if paused {
		// What was not answered says nothing about the others.
		g.probes = make(map[uint64]*probe)
		for _, k := range g.members {
			k.since = clock.Now()
		}
	}
	g.expire()
	if name := g.next(); name != "" {
		g.probe(ctx, name)
	}
	g.probeDead()
}

// expire turns suspicion into death and forgets what died long ago.
func (g *Group) expire() {
	now := clock.Now()
	for name, k := range g.members {
		switch {
		case k.State == Suspect && now-k.since > suspectTimeout:
			g.change(k.WithState(Dead))
		case k.State == Dead && now-k.since > forgetAfter:
			delete(g.members, name)
			g.publish()
		}
	}
}

func (g *Group) next() string {
	for {
		if len(g.order) == 0 {
			for name, k := range g.members {
				if k.State != Dead {
					g.order = append(g.order, name)
				}
			}
			if len(g.order) == 0 {
				return ""
			}
			rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
		}
		name := g.order[0]
		g.order = g.order[1:]
		if k := g.members[name]; k != nil && k.State != Dead {
			return name
		}
	}
}

func (g *Group) probe(ctx context.Context, name string) {
	g.seq++
	seq, sent := g.seq, &probe{name: name}
	g.probes[seq] = sent
	g.transmit(g.members[name].Peer, packet{Kind: ping, Seq: seq})
	time.AfterFunc(directTimeout.Duration(), func() {
		g.Loop.Post(func() { g.indirect(ctx, seq, sent) })
	})
	time.AfterFunc(probeTimeout.Duration(), func() {
		g.Loop.Post(func() { g.judge(seq, sent) })
	})
}

// indirect asks other instances, and a connection of its own, about a peer that has not answered.
func (g *Group) indirect(ctx context.Context, seq uint64, sent *probe) {
	k := g.members[sent.name]
	if sent.acked || k == nil || g.probes[seq] != sent {
		return
	}
	count := 0
	for name, other := range g.members {
		if name == sent.name || other.State != Alive || count == helpers {
			continue
		}
		count++
		g.transmit(other.Peer, packet{Kind: pingRequest, Seq: seq, About: k.Peer})
	}
	addr := k.Peer
	go func() {
		ctx, cancel := context.WithTimeout(ctx, (probeTimeout - directTimeout).Duration())
		defer cancel()
		if g.Direct(ctx, addr) == nil {
			g.Loop.Post(func() { g.confirm(sent) })
		}
	}()
}

func (g *Group) judge(seq uint64, sent *probe) {
	if g.probes[seq] != sent {
		return
	}
	delete(g.probes, seq)
	k := g.members[sent.name]
	if sent.acked || k == nil || k.State == Dead || k.State == Suspect {
		return
	}
	metrics.GetOrCreateCounter("pier_member_suspected_total").Inc()
	g.change(k.WithState(Suspect))
}

// probeDead lets the two sides of a healed partition find each other again.
func (g *Group) probeDead() {
	for _, k := range g.members {
		if k.State == Dead && g.ticks-k.probe >= deadProbe {
			k.probe = g.ticks
			g.transmit(k.Peer, packet{Kind: gossip, Rumors: []Rumor{{Member: &k.Member}}})
			return
		}
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
	replaced := m.Born > g.Self.Born
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

func (g *Group) mark(target string) {
	if g.marks[target] {
		return
	}
	g.marks[target] = true
	g.queue(&item{rumor: Rumor{Mark: &Mark{Target: target}}, key: "t/" + target})
	if g.OnMark != nil {
		g.OnMark(target)
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
	present := g.View().Present()
	to := present[rand.IntN(len(present))]
	if to.Name != g.Self.Name {
		g.transmit(to.Peer, packet{Kind: gossip})
	}
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
		theirs, err := g.Sync(ctx, with.Peer, own)
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

func (g *Group) publish() {
	members := []Member{g.Self}
	for _, k := range g.members {
		members = append(members, k.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	g.version++
	g.view.Store(&View{Members: members, Version: g.version})
}
