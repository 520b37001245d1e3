package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// deafConn is a socket to which nothing comes.
type deafConn struct {
	*net.UDPConn
	closed chan struct{}
}

// ReadFrom waits until the test ends.
func (c deafConn) ReadFrom([]byte) (int, net.Addr, error) {
	<-c.closed
	return 0, nil, net.ErrClosed
}

// Guards against: handshakes that are never completed use up the account or keep other instances out, or a complete one stays charged.
func TestHandshakesBounded(t *testing.T) {
	const begun = 400
	is := is.New(t)
	account := &quota.Account{Max: 32 << 20, Now: clock.Now}
	n := &Node{Addr: "127.0.0.1:0", ClusterKey: []byte("key"), Account: account}
	HandleFunc(n, "echo", func(_ context.Context, _ string, m echoMessage) (echoMessage, error) { return m, nil })
	is.NoErr(n.Listen())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = n.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()

	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	deaf := deafConn{socket, make(chan struct{})}
	defer func() { _ = socket.Close(); close(deaf.closed) }()
	transport := &quic.Transport{Conn: deaf}
	client := startNode(t, "key")
	for range begun {
		go func() { _, _ = transport.Dial(ctx, n.conn.LocalAddr(), client.tls.Clone(), quicConfig()) }()
	}
	var most int64
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		most = max(most, account.Used())
	}
	is.True(most > 0)
	is.True(most <= account.Max/handshakePart)
	var got echoMessage
	is.NoErr(client.Call(contextWithTimeout(t), n.LocalAddr(), "echo", echoMessage{Value: "a"}, &got))
	for end := time.Now().Add(8 * time.Second); account.Used() > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	is.Equal(account.Used(), int64(0)) // the complete one is not charged any more, the others were given up
}
