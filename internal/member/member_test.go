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

// wires carries datagrams between groups in one process; an address without a group answers nothing.
type wires struct {
	mu     sync.Mutex
	groups map[string]*Group
}

func (w *wires) send(addr string, plain []byte) {
	w.mu.Lock()
	g := w.groups[addr]
	w.mu.Unlock()
	if g != nil {
		go g.Receive(plain)
	}
}

func (w *wires) start(t *testing.T, n int) *Group {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	g := &Group{
		Self: numbered(n), Loop: loop.New(), Send: w.send, Versions: func() Versions { return Versions{} },
		ProbeDirect: func(context.Context, string) error { return fmt.Errorf("not reached") },
		SyncLists:   func(context.Context, string, List) (List, error) { return List{}, fmt.Errorf("not reached") },
	}
	g.Init()
	w.mu.Lock()
	w.groups[g.Self.PeerAddr] = g
	w.mu.Unlock()
	go func() { _ = g.Loop.Run(ctx) }()
	go func() { _ = g.Run(ctx) }()
	return g
}

func numbered(n int) Member {
	return Member{Name: fmt.Sprintf("entry-%d", n), PeerAddr: fmt.Sprint(n), Incarnation: 1, FirstIncarnation: 1}
}

// An instance that starts from a list with many dead ones no longer names them after a second, and soon takes them for dead.
func TestJoinFromOldList(t *testing.T) {
	is := is.New(t)
	w := &wires{groups: make(map[string]*Group)}
	alive := w.start(t, 1)
	fresh := w.start(t, 0)
	list := []Member{alive.Self}
	for n := 2; n < 12; n++ {
		list = append(list, numbered(n)) // gone
	}
	fresh.Join(context.Background(), list)
	time.Sleep((probeTimeout + 200).Duration())
	is.Equal(len(fresh.View().Reachable("entry-0")), 2)
	time.Sleep((suspectTimeout + period).Duration())
	is.Equal(len(fresh.View().Live()), 2)
}

// An instance to which all others are silent names them all, as it is likely cut off itself.
func TestSureWhenCutOff(t *testing.T) {
	is := is.New(t)
	v := View{Members: []Member{numbered(0), numbered(1).WithState(Suspect), numbered(2).WithState(Suspect)}}
	is.Equal(len(v.Reachable("entry-0")), 3)
	v.Members[2] = numbered(2)
	is.Equal(len(v.Reachable("entry-0")), 2)
}
