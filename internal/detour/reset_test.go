package detour

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
)

const (
	resetRounds = 50                   // connections of a test, as a reset shows either to the reader or to the writer
	uploadBytes = 8 << 20              // more than the buffers of a connection take while its target reads no more
	blockTime   = 5 * time.Millisecond // within which they are full
)

// startUnreadTarget starts a target that leaves a request unread, sends a part of an answer and then ends each connection in its own way.
func startUnreadTarget(t *testing.T, end func(c *net.TCPConn)) string {
	t.Helper()
	l, err := fake.ListenEach(func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 1)) // the other end knows by then that the connection is open
		_, _ = c.Write([]byte("half"))
		time.Sleep(blockTime)
		end(c.(*net.TCPConn))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// upload opens a connection, writes to it in the background and returns what it reads; if late, it reads on once the write has ended.
func upload(t *testing.T, addr string, late bool) (string, error) {
	t.Helper()
	d := &Dialer{Direct: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	conn, err := d.DialDirect(context.Background(), Target{ID: "t", Addr: addr})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = conn.Write(make([]byte, uploadBytes))
	}()
	if late {
		<-written
	}
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against: a target resets a connection while a request is still written to it, the write gets the error, and the reader takes
// the end for that of a whole answer.
func TestResetWhileWriting(t *testing.T) {
	addr := startUnreadTarget(t, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for name, late := range map[string]bool{"reader waits": false, "reader is late": true} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for range resetRounds {
				if _, err := upload(t, addr, late); err == nil {
					whole++
				}
			}
			is.New(t).Equal(whole, 0) // answers that were reset and count as whole
		})
	}
}

// Guards against: an answer that ends before its request was written counts as broken, or ends only once the target reads on.
func TestEndWhileWriting(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	defer close(ended)
	addr := startUnreadTarget(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-ended
		_ = c.Close()
	})
	for range resetRounds {
		answer, err := upload(t, addr, false)
		is.NoErr(err)
		is.Equal(answer, "half")
	}
}
