package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
)

// startBackend listens on TCP and passes each connection to serve.
func startBackend(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := fake.ListenEach(func(c net.Conn) { serve(c.(*net.TCPConn)) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// startJoiner starts a node that joins connections of the kind "backend" with a TCP address.
func startJoiner(t *testing.T, backend string) *Node {
	t.Helper()
	n, _ := startStoppableJoiner(t, backend)
	return n
}

// startStoppableJoiner is startJoiner with a function that stops the node.
func startStoppableJoiner(t *testing.T, backend string) (*Node, func()) {
	t.Helper()
	return startStoppableNoter(t, backend, nil)
}

// startStoppableNoter is startStoppableJoiner for one connection, which tells on a channel when it is closed; nil for any number.
func startStoppableNoter(t *testing.T, backend string, closed chan struct{}) (*Node, func()) {
	t.Helper()
	n := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key")}
	n.HandleConn("backend", func(ctx context.Context, _ string, _ []byte) (net.Conn, any) {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", backend)
		if err != nil {
			return nil, echoMessage{"not reached"}
		}
		if closed != nil {
			c = noted{c, closed, &sync.Once{}}
		}
		return c, echoMessage{"joined"}
	})
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return n, stop
}

func openConn(t *testing.T, from, to *Node) net.Conn {
	t.Helper()
	var got echoMessage
	c, err := from.OpenConn(contextWithTimeout(t), to.LocalAddr(), "backend", echoMessage{}, &got)
	if err != nil || got.Value != "joined" {
		t.Fatalf("connection not opened: %v, %q", err, got.Value)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Bytes pass both ways, and the end of the answer is seen as such.
func TestConn(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) {
		question := make([]byte, 5)
		_, _ = io.ReadFull(c, question)
		_, _ = c.Write(append(question, " back"...))
		_ = c.Close()
	})
	c := openConn(t, startNode(t, "key"), startJoiner(t, backend))
	_, err := c.Write([]byte("hello"))
	is.NoErr(err)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(answer), "hello back")
}

// Guards against: an answer that has no length and is broken off by its target looks complete.
func TestConnBroken(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("half"))
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	c := openConn(t, startNode(t, "key"), startJoiner(t, backend))
	_, err := io.ReadAll(c)
	is.True(err != nil)
}

// Guards against: a target works on for a caller that has left, as the connection to it stays open.
func TestConnClosedByOrigin(t *testing.T) {
	closed := make(chan struct{})
	backend := startBackend(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	c := openConn(t, startNode(t, "key"), startJoiner(t, backend))
	_ = c.Close()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// A peer that cannot join a connection says so, and why.
func TestConnRefused(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startJoiner(t, "127.0.0.1:1")
	var got echoMessage
	_, err := a.OpenConn(contextWithTimeout(t), b.LocalAddr(), "backend", echoMessage{}, &got)
	is.True(Is(err, Failed))
	is.Equal(got.Value, "not reached")
	_, err = a.OpenConn(contextWithTimeout(t), startNode(t, "key").LocalAddr(), "backend", echoMessage{}, &got)
	is.True(Is(err, NoAnswer))
}

// Reading ends at a deadline and goes on after it was cleared, as HTTP clients need it.
func TestConnDeadline(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	c := openConn(t, startNode(t, "key"), startJoiner(t, backend))
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
	is.NoErr(c.SetReadDeadline(time.Time{}))
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.NoErr(err)
}

// Guards against: some connections whose answers nobody reads hold up all others with the same peer, and calls, as these share a limit
// of bytes that are not read.
func TestUnreadConnsHoldUpNoOther(t *testing.T) {
	is := is.New(t)
	endless := startBackend(t, func(c *net.TCPConn) {
		for err := error(nil); err == nil; {
			_, err = c.Write(make([]byte, 32<<10))
		}
	})
	a, b := startNode(t, "key"), startJoiner(t, endless)
	for range 8 {
		openConn(t, a, b)
	}
	time.Sleep(500 * time.Millisecond) // they are full
	c := openConn(t, a, b)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := io.ReadFull(c, make([]byte, 64<<10))
	is.NoErr(err)
}

// Guards against: a node stops and says so only to the peers to which it had connected itself; the others wait for what it carries for
// them until their connections have been silent for long.
func TestStoppedNodeTellsPeers(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	joiner, stop := startStoppableJoiner(t, backend)
	c := openConn(t, startNode(t, "key"), joiner)
	stop()
	is.NoErr(c.SetReadDeadline(time.Now().Add(quicIdleTimeout / 3)))
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against: a target that does not read a long request stays joined, and counted, when the caller has left.
func TestConnClosedWhileTargetReadsNothing(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	backend := startBackend(t, func(c *net.TCPConn) {
		<-ended
		_ = c.Close()
	})
	released := make(chan struct{})
	joiner, _ := startStoppableNoter(t, backend, released)
	c := openConn(t, startNode(t, "key"), joiner)
	_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	_, err := c.Write(make([]byte, 16<<20))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the target is not blocked: %v", err)
	}
	_ = c.Close()
	select {
	case <-released:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// noted is a connection that tells when it is closed.
type noted struct {
	net.Conn
	closed chan struct{}
	once   *sync.Once
}

// Close closes the connection.
func (c noted) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against: what a target has sent before it broke off is lost on the way through a carrier, even the whole of a short answer.
func TestConnBrokenAfterAnswer(t *testing.T) {
	is := is.New(t)
	answer := make([]byte, 3000)
	backend := startBackend(t, func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = c.Write(answer)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	a, b := startNode(t, "key"), startJoiner(t, backend)
	for range 40 {
		c := openConn(t, a, b)
		_, err := c.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, len(answer)))
		is.NoErr(err)
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil && err != io.EOF)
		_ = c.Close()
	}
}

// Guards against: a node stops once it carries nothing, as it seems, and the last bytes that it has passed on do not arrive.
func TestConnCountsUntilDelivered(t *testing.T) {
	is := is.New(t)
	answer := make([]byte, 100<<10)
	backend := startBackend(t, func(c *net.TCPConn) {
		_, _ = c.Write(answer)
		_ = c.Close()
	})
	for range 20 {
		closed := make(chan struct{})
		joiner, stop := startStoppableNoter(t, backend, closed)
		c := openConn(t, startNode(t, "key"), joiner)
		stopped := make(chan struct{})
		go func() { <-closed; stop(); close(stopped) }()
		got, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(len(got), len(answer))
		_ = c.Close()
		<-stopped
	}
}

// Guards against: the transport's connection that a failed opening gives up stays open for good if it carried a connection then.
func TestGivenUpConnClosed(t *testing.T) {
	is := is.New(t)
	backend := startBackend(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	a, b := startNode(t, "key"), startJoiner(t, backend)
	c := openConn(t, a, b)
	a.mu.Lock()
	used := a.conns[connKey{addr: b.LocalAddr(), carries: true}].conn
	a.mu.Unlock()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := a.OpenConn(ended, b.LocalAddr(), "backend", echoMessage{}, &echoMessage{})
	is.True(Is(err, NotSent))
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 1)) // what is carried goes on
	is.NoErr(err)
	_ = c.Close()
	select {
	case <-used.Context().Done():
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against: connections whose answers nobody reads hold up the calls to the same peer, by which instances learn of changes.
func TestUnreadConnsHoldUpNoCall(t *testing.T) {
	is := is.New(t)
	endless := startBackend(t, func(c *net.TCPConn) {
		for err := error(nil); err == nil; {
			_, err = c.Write(make([]byte, 32<<10))
		}
	})
	a, b := startNode(t, "key"), startJoiner(t, endless)
	for range 2 * maxConnWindow / streamWindow {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		var got echoMessage
		if c, err := a.OpenConn(ctx, b.LocalAddr(), "backend", echoMessage{}, &got); err == nil {
			defer func() { _ = c.Close() }()
		}
		cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.True(Is(a.Call(ctx, b.LocalAddr(), "no such call", echoMessage{}, &echoMessage{}), Failed)) // it is answered
}
