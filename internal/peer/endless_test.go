package peer

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/fake"
)

const (
	smallInstanceBytes = 184 << 20 // the memory of a small machine
	endlessRequests    = 16        // at once
	endlessTimeout     = 8 * time.Second
)

// writeEndlessly writes a part with a pause until the other end of the stream stops it, and returns the error of that.
func writeEndlessly(stream *quic.Stream, part []byte, pause time.Duration) error {
	for {
		if _, err := stream.Write(part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
}

// Guards against: requests of peers that do not end use up the memory of an instance, or are read for ever.
func TestEndlessRequests(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "key"), startNode(t, "key")
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	var streams []*quic.Stream
	for range endlessRequests {
		conn, err := a.dial(ctx, b.LocalAddr())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.CloseWithError(0, "") })
		stream, err := conn.OpenStreamSync(ctx)
		is.NoErr(err)
		is.NoErr(stream.SetWriteDeadline(time.Now().Add(endlessTimeout)))
		streams = append(streams, stream)
	}
	refused := messageRefusals.Get()
	heap := fake.WatchHeap()
	var group sync.WaitGroup
	for n, stream := range streams {
		part, pause := bytes.Repeat([]byte{0x5a}, 64<<10), time.Duration(0)
		if n == 0 {
			part, pause = part[:1], 20*time.Millisecond
		}
		group.Go(func() {
			if err := writeEndlessly(stream, part, pause); !stoppedByPeer(err) {
				t.Errorf("request %d: %v", n, err)
			}
		})
	}
	var got echoMessage
	is.NoErr(a.Call(ctx, b.LocalAddr(), "echo", echoMessage{"hello"}, &got)) // others are answered meanwhile
	group.Wait()
	grown := heap()
	t.Logf("heap grown by %d MB", grown>>20)
	is.True(grown < smallInstanceBytes)
	is.Equal(messageRefusals.Get()-refused, uint64(endlessRequests))
}

// Guards against: an answer of a peer that does not end is read for ever, or its stream stays open.
func TestEndlessReplies(t *testing.T) {
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a, b := startNode(t, "key"), &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key")}
			is.NoErr(b.Listen())
			defer b.Close()
			stopped := make(chan error, 1)
			go func() {
				conn, err := b.listener.Accept(context.Background())
				if err != nil {
					stopped <- err
					return
				}
				stream, err := conn.AcceptStream(context.Background())
				if err != nil {
					stopped <- err
					return
				}
				part := bytes.Repeat([]byte{0x5a}, 64<<10)
				if pause > 0 {
					part = part[:1]
				}
				stopped <- writeEndlessly(stream, part, pause)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
			defer cancel()
			var got echoMessage
			err := a.Call(ctx, b.LocalAddr(), "echo", echoMessage{"hello"}, &got)
			is.True(Is(err, NoAnswer))
			is.NoErr(ctx.Err()) // the call ended by itself
			is.True(<-stopped != nil)
		})
	}
}

// Guards against: a part of a peer's answer counts as a whole one.
func TestCutReplies(t *testing.T) {
	is := is.New(t)
	body, err := cbor.Marshal(echoMessage{"hello"})
	is.NoErr(err)
	whole, err := cbor.Marshal(response{Body: body})
	is.NoErr(err)
	for n := range len(whole) + 1 {
		a, b := startNode(t, "key"), &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key")}
		is.NoErr(b.Listen())
		go func() {
			conn, err := b.listener.Accept(context.Background())
			if err != nil {
				return
			}
			if stream, err := conn.AcceptStream(context.Background()); err == nil {
				_ = writeMessage(stream, whole[:n])
			}
		}()
		var got echoMessage
		err := a.Call(contextWithTimeout(t), b.LocalAddr(), "echo", echoMessage{"hello"}, &got)
		is.Equal(err == nil, n == len(whole))
		is.True(err == nil || Is(err, NoAnswer))
		b.Close()
	}
}

// stoppedByPeer reports whether the other end stopped a stream or closed its connection.
func stoppedByPeer(err error) bool {
	var stopped *quic.StreamError
	return eris.As(err, &stopped) && stopped.Remote
}
