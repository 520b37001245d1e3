package member

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
)

// receiveQueue is the number of datagrams that wait at an instance; more are lost, as in the network.
const receiveQueue = 256

// fakeNetwork carries datagrams between groups in one process and drops those to addresses without a group.
type fakeNetwork struct {
	sent func() // called for each datagram; may be nil

	mu     sync.Mutex
	groups map[string]*Group
	queues map[string]chan []byte
}

func (n *fakeNetwork) send(addr string, plaintext []byte) {
	if n.sent != nil {
		n.sent()
	}
	n.mu.Lock()
	queue := n.queues[addr]
	n.mu.Unlock()
	select {
	case queue <- plaintext:
	default: // lost
	}
}

func (n *fakeNetwork) sync(_ context.Context, addr string, l List) (List, error) {
	n.mu.Lock()
	g := n.groups[addr]
	n.mu.Unlock()
	if g == nil {
		return List{}, fmt.Errorf("not reached")
	}
	return g.ExchangeLists(l), nil
}

func (n *fakeNetwork) start(t *testing.T, number int) *Group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &Group{
		Self: memberNumber(number), Loop: loop.New(), Send: n.send, Versions: func() Versions { return Versions{} },
		ProbeDirect: func(context.Context, string) error { return fmt.Errorf("not reached") },
		SyncLists:   n.sync,
	}
	g.Init()
	queue := make(chan []byte, receiveQueue)
	n.mu.Lock()
	if n.queues == nil {
		n.queues = make(map[string]chan []byte)
	}
	n.groups[g.Self.PeerAddr], n.queues[g.Self.PeerAddr] = g, queue
	n.mu.Unlock()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case payload := <-queue:
				g.Receive(payload)
			}
		}
	}()
	go func() { _ = g.Loop.Run(ctx) }()
	go func() { _ = g.Run(ctx) }()
	return g
}

func memberNumber(n int) Member {
	return Member{Name: fmt.Sprintf("entry-%d", n), PeerAddr: fmt.Sprint(n), Incarnation: 1, FirstIncarnation: 1}
}

// An instance that joins from a list with many dead ones no longer takes them for reachable after a second, and soon marks
// them dead.
func TestJoinFromOldList(t *testing.T) {
	is := is.New(t)
	network := &fakeNetwork{groups: make(map[string]*Group)}
	alive := network.start(t, 1)
	fresh := network.start(t, 0)
	list := []Member{alive.Self}
	for n := 2; n < 12; n++ {
		list = append(list, memberNumber(n)) // gone
	}
	fresh.Join(context.Background(), list)
	time.Sleep((probeTimeout + 200).Duration())
	is.Equal(len(fresh.View().Reachable("entry-0")), 2)
	time.Sleep((suspectTimeout + probeInterval).Duration())
	is.Equal(len(fresh.View().Live()), 2)
}

// An instance that suspects all others returns them all as reachable, as it is probably cut off itself.
func TestReachableWhenCutOff(t *testing.T) {
	is := is.New(t)
	v := View{Members: []Member{memberNumber(0), memberNumber(1).WithState(Suspect), memberNumber(2).WithState(Suspect)}}
	is.Equal(len(v.Reachable("entry-0")), 3)
	v.Members[2] = memberNumber(2)
	is.Equal(len(v.Reachable("entry-0")), 2)
}

// Pattern: many instances start at once, and each joins through one of the first. Nobody who runs is taken for dead, and all
// soon know each other.
func TestFleetStart(t *testing.T) {
	is := is.New(t)
	const instances = 60
	network := &fakeNetwork{groups: make(map[string]*Group)}
	groups := make([]*Group, instances)
	for n := range groups {
		groups[n] = network.start(t, n)
	}
	for n, g := range groups { // the first three are the seeds of the others and of each other
		g.ExchangeLists(groups[(n+1)%3].ExchangeLists(List{Members: []Member{memberNumber(n)}}))
	}
	for range 10 {
		time.Sleep(time.Second)
		t.Log("fewest reachable", fewestReachable(groups))
	}
	for _, g := range groups {
		for _, m := range g.View().Members {
			is.True(m.State != Dead)
		}
	}
	is.Equal(fewestReachable(groups), instances)
}

// fewestReachable returns the smallest number of instances that one of the groups takes for reachable.
func fewestReachable(groups []*Group) int {
	fewest := len(groups)
	for n, g := range groups {
		fewest = min(fewest, len(g.View().Reachable(memberNumber(n).Name)))
	}
	return fewest
}

// fleetSize is the number of instances of a large fleet.
const fleetSize = 300

// newFleetMember returns a group that has just learned of a whole fleet, and the packets that it sends. It does not run.
func newFleetMember(t *testing.T) (g *Group, sent func() []packet) {
	t.Helper()
	var packets []packet
	g = &Group{Self: memberNumber(0), Loop: loop.New(), Versions: func() Versions { return Versions{} }}
	g.SyncLists = func(context.Context, string, List) (List, error) { return List{}, nil }
	g.Send = func(_ string, plaintext []byte) {
		var p packet
		if err := cbor.Unmarshal(plaintext, &p); err != nil {
			t.Error(err)
		}
		packets = append(packets, p)
	}
	g.Init()
	var list List
	for n := 1; n < fleetSize; n++ {
		list.Members = append(list.Members, memberNumber(n))
	}
	g.mergeList(list)
	return g, func() []packet {
		taken := packets
		packets = nil
		return taken
	}
}

// Pattern: a process of a large fleet is suspected while it still has to tell of hundreds of joins. It says that it lives
// with the next packets, to several peers, before any of those.
func TestRefutationInLargeFleet(t *testing.T) {
	is := is.New(t)
	g, sent := newFleetMember(t)
	g.receive(packet{Kind: gossip, From: memberNumber(1), Rumors: []Rumor{{Member: &Member{Name: memberNumber(0).Name, Incarnation: 1, FirstIncarnation: 1, State: Suspect}}}})
	packets := sent()
	is.True(len(packets) >= 1)
	for _, p := range packets {
		is.Equal(p.Rumors[0].Member.Name, memberNumber(0).Name)
		is.Equal(p.Rumors[0].Member.Incarnation, uint64(2))
	}
	g.sendGossip()
	is.True(len(sent()) >= 2) // a random choice of urgentFanout peers
}

// Pattern: an instance of a large fleet does not answer a probe. It is told of the suspicion itself, and counts as dead later
// than in a small group, as its word takes longer to spread.
func TestSuspicionInLargeFleet(t *testing.T) {
	is := is.New(t)
	g, sent := newFleetMember(t)
	suspected := memberNumber(7)
	g.seq++
	g.pendingProbes[g.seq] = &probe{name: suspected.Name}
	g.suspectIfUnacked(g.seq, g.pendingProbes[g.seq])
	packets := sent()
	is.Equal(len(packets), 1)
	is.Equal(packets[0].Rumors[0].Member.Name, suspected.Name)
	is.Equal(packets[0].Rumors[0].Member.State, Suspect)
	k := g.members[suspected.Name]
	k.since -= suspectTimeout + clock.Second
	g.expireMembers()
	is.Equal(k.State, Suspect)
	k.since -= suspectTimeout
	g.expireMembers()
	is.Equal(k.State, Dead)
}

// Pattern: an instance of a large fleet starts and learns of all others by the list in the object API. Its receive queue holds
// few datagrams, so that it does not ask all at once; it still asks all of them soon.
func TestJoinLargeFleet(t *testing.T) {
	is := is.New(t)
	const queueLength = 32
	var pings atomic.Int64
	network := &fakeNetwork{groups: make(map[string]*Group), sent: func() { pings.Add(1) }}
	fresh := network.start(t, 0)
	var list []Member
	for n := 1; n < fleetSize; n++ {
		list = append(list, memberNumber(n))
	}
	fresh.Join(t.Context(), list)
	fresh.Loop.Call(func() {})
	is.True(pings.Load() < queueLength)
	for deadline := time.Now().Add(20 * time.Second); pings.Load() < fleetSize-1 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(pings.Load() >= fleetSize-1)
}

// Guards against: an instance keeps each probe for ever that it sent for another one and that nobody answered.
func TestUnansweredProbeForOther(t *testing.T) {
	is := is.New(t)
	network := &fakeNetwork{groups: make(map[string]*Group)}
	g := network.start(t, 0)
	pending := func() (n int) {
		g.Loop.Call(func() { n = len(g.pendingProbes) })
		return n
	}
	data, err := cbor.Marshal(packet{Kind: pingRequest, Seq: 7, From: memberNumber(1), ProbeAddr: "nobody"})
	is.NoErr(err)
	for range 20 {
		g.Receive(data)
	}
	is.True(pending() >= 20)
	time.Sleep(2 * probeTimeout.Duration())
	is.True(pending() < 20) // only own probes
}

// Guards against: an instance that starts again after the system time was set back counts as dead for the others until they forget its
// former process.
func TestRestartWithTimeBehind(t *testing.T) {
	is := is.New(t)
	network := &fakeNetwork{groups: make(map[string]*Group)}
	other := network.start(t, 1)
	former := memberNumber(0).WithIncarnation(1000)
	former.FirstIncarnation = 1000
	other.Join(context.Background(), []Member{former, former.WithState(Dead)})
	restarted := network.start(t, 0) // with incarnation 1
	restarted.ExchangeLists(other.ExchangeLists(List{Members: restarted.View().Members}))
	for end := time.Now().Add(2 * probeInterval.Duration()); len(other.View().Live()) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(other.View().Live()), 2)
}

// A process that has taken over the name of another one elsewhere, and was started later, is left alone.
func TestLaterProcessElsewhere(t *testing.T) {
	is := is.New(t)
	network := &fakeNetwork{groups: make(map[string]*Group)}
	g := network.start(t, 0)
	later := memberNumber(0).WithIncarnation(1000)
	later.FirstIncarnation, later.PeerAddr = 1000, "elsewhere"
	g.ExchangeLists(List{Members: []Member{later}})
	is.Equal(g.View().Members[0].Incarnation, uint64(1))
}
