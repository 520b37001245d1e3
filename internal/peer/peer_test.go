package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

type echoMessage struct {
	Value string `cbor:"1,keyasint"`
}

func startNode(t *testing.T, key string) *Node {
	t.Helper()
	n := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte(key)}
	HandleFunc(n, "echo", func(_ context.Context, _ string, m echoMessage) (echoMessage, error) { return m, nil })
	HandleFunc(n, "fail", func(context.Context, string, echoMessage) (echoMessage, error) { return echoMessage{}, eris.New("no") })
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func contextWithTimeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// A call returns its result, and the kind of a failure tells whether the peer may have handled the call.
func TestCall(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startNode(t, "key")
	var got echoMessage
	is.NoErr(a.Call(contextWithTimeout(t), b.LocalAddr(), "echo", echoMessage{"hello"}, &got))
	is.Equal(got.Value, "hello")
	is.True(Is(a.Call(contextWithTimeout(t), b.LocalAddr(), "fail", echoMessage{}, &got), Failed))
	is.True(Is(a.Call(contextWithTimeout(t), "127.0.0.1:1", "echo", echoMessage{}, &got), NotSent))
}

// An instance with another cluster key is refused.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startNode(t, "another key")
	before := wrongKeyRefusals.Get()
	var got echoMessage
	is.True(a.Call(contextWithTimeout(t), b.LocalAddr(), "echo", echoMessage{"hello"}, &got) != nil)
	is.Equal(got.Value, "")
	is.True(wrongKeyRefusals.Get() > before)
}

// Authentic datagrams are delivered and forged ones are dropped.
func TestPackets(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 10)
	b := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key"), OnPacket: func(_ net.Addr, plaintext []byte) { received <- string(plaintext) }}
	is.NoErr(b.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = b.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	startNode(t, "another key").Send(b.LocalAddr(), []byte("forged"))
	startNode(t, "key").Send(b.LocalAddr(), []byte("genuine"))
	is.Equal(<-received, "genuine")
}

// A datagram that arrives between Listen and Run is kept, as peers may know the address by then.
func TestPacketBeforeRun(t *testing.T) {
	is := is.New(t)
	received := make(chan string, 1)
	b := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key"), OnPacket: func(_ net.Addr, plaintext []byte) { received <- string(plaintext) }}
	is.NoErr(b.Listen())
	startNode(t, "key").Send(b.LocalAddr(), []byte("early"))
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = b.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	select {
	case got := <-received:
		is.Equal(got, "early")
	case <-time.After(3 * time.Second):
		t.Fatal("datagram not delivered")
	}
}

func FuzzOpen(f *testing.F) {
	keys, err := deriveKeys([]byte("key"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(keys.seal([]byte("hello"))[1:])
	f.Fuzz(func(t *testing.T, packet []byte) {
		if plaintext, ok := keys.open(packet); ok && len(plaintext) > 0 {
			t.Fatal("a datagram that seal did not make was accepted")
		}
	})
}
