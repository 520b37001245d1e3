package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/loop"
)

// fakeNetwork carries datagrams between groups in one process and drops those to addresses without a group.
type fakeNetwork struct {
	mu     sync.Mutex
	groups map[string]*Group
}

func (n *fakeNetwork) send(addr string, plaintext []byte) {
	n.mu.Lock()
	g := n.groups[addr]
	n.mu.Unlock()
	if g != nil {
		go g.Receive(plaintext)
	}
}

func (n *fakeNetwork) start(t *testing.T, number int) *Group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &Group{
		Self: memberNumber(number), Loop: loop.New(), Send: n.send, Versions: func() Versions { return Versions{} },
		ProbeDirect: func(context.Context, string) error { return fmt.Errorf("not reached") },
		SyncLists:   func(context.Context, string, List) (List, error) { return List{}, fmt.Errorf("not reached") },
	}
	g.Init()
	n.mu.Lock()
	n.groups[g.Self.PeerAddr] = g
	n.mu.Unlock()
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
