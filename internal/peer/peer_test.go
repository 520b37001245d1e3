package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

type text struct {
	Value string `cbor:"1,keyasint"`
}

func startNode(t *testing.T, key string) *Node {
	t.Helper()
	n := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte(key)}
	HandleFunc(n, "echo", func(_ context.Context, _ string, m text) (text, error) { return m, nil })
	HandleFunc(n, "fail", func(context.Context, string, text) (text, error) { return text{}, eris.New("no") })
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// A call is answered, and each failure tells whether the peer may have acted.
func TestCall(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startNode(t, "key")
	var got text
	is.NoErr(a.Call(shortContext(t), b.LocalAddr(), "echo", text{"hello"}, &got))
	is.Equal(got.Value, "hello")
	is.True(Is(a.Call(shortContext(t), b.LocalAddr(), "fail", text{}, &got), Failed))
	is.True(Is(a.Call(shortContext(t), "127.0.0.1:1", "echo", text{}, &got), NotSent))
}

// An instance with another cluster key is refused.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startNode(t, "another key")
	before := wrongPeer.Get()
	var got text
	is.True(a.Call(shortContext(t), b.LocalAddr(), "echo", text{"hello"}, &got) != nil)
	is.Equal(got.Value, "")
	is.True(wrongPeer.Get() > before)
}

// Datagrams arrive, and forged or altered ones do not.
func TestPackets(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 10)
	b := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key"), OnPacket: func(_ net.Addr, plain []byte) { received <- string(plain) }}
	is.NoErr(b.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = b.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	startNode(t, "another key").Send(b.LocalAddr(), []byte("forged"))
	startNode(t, "key").Send(b.LocalAddr(), []byte("genuine"))
	is.Equal(<-received, "genuine")
}

func FuzzOpen(f *testing.F) {
	s, err := newSecret([]byte("key"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.seal([]byte("hello"))[1:])
	f.Fuzz(func(t *testing.T, packet []byte) {
		if plain, ok := s.open(packet); ok && len(plain) > 0 {
			t.Fatal("a packet that was not sealed is accepted")
		}
	})
}
