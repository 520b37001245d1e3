package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/quota"
)

const (
	maxPacketBytes    = 1400 // of a datagram
	quicIdleTimeout   = 3 * time.Second
	handshakeTimeout  = time.Second // without a packet; a handshake as a whole may take twice that
	keepAliveInterval = time.Second
	dialTimeout       = time.Second
	maxStreams        = 4096
	streamWindow      = 128 << 10        // bytes of a stream that have arrived and are not read yet
	maxConnWindow     = 4 << 20          // the same of all streams of a connection, so that a few that nobody reads hold up no other
	idleConnTimeout   = 30 * time.Second // a connection without calls is closed after this
	cleanupInterval   = 5 * clock.Second
)

var dials = metrics.NewCounter("pier_peer_dials_total")

// Handler handles one kind of call from another instance; the body and the result are encoded as CBOR.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Node is the endpoint of one entry instance for calls and datagrams between instances.
type Node struct {
	Addr       string                                // UDP address to listen on
	ClusterKey []byte                                // secret that all instances of the cluster share
	OnPacket   func(from net.Addr, plaintext []byte) // called with each authentic datagram; nil to ignore them
	Account    *quota.Account                        // for the memory of handshakes that are not complete; nil for none

	handlers      map[string]Handler
	connHandlers  map[string]ConnHandler
	conn          *net.UDPConn
	transport     *quic.Transport
	listener      *quic.Listener
	keys          clusterKeys
	tls           *tls.Config
	sentBytes     *metrics.Counter
	receivedBytes *metrics.Counter
	unread        limit.Budget // for messages that are being read
	handshakes    atomic.Int64 // incoming ones that are not complete

	mu     sync.Mutex
	conns  map[connKey]*peerConn
	dials  map[connKey]*pendingDial
	closed bool
}

// connKey tells the connections of a node apart. Calls and carried connections to one peer take different ones, so that what nobody reads
// of the latter holds up no calls.
type connKey struct {
	addr    string
	carries bool
}

// peerConn is a connection that this instance has opened to a peer and uses for many calls.
type peerConn struct {
	conn        *quic.Conn
	lastUsed    time.Time
	activeCalls int
	discarded   bool // it gets no further calls
}

// Handle registers the handler for a kind of call. All handlers are registered before Run.
func (n *Node) Handle(kind string, h Handler) {
	if n.handlers == nil {
		n.handlers = make(map[string]Handler)
	}
	n.handlers[kind] = h
}

// HandleFunc registers a function for a kind of call; its argument is decoded from CBOR and its result encoded.
func HandleFunc[Req, Resp any](n *Node, kind string, f func(ctx context.Context, from string, req Req) (Resp, error)) {
	n.Handle(kind, func(ctx context.Context, from string, raw []byte) ([]byte, error) {
		var req Req
		if err := cbor.Unmarshal(raw, &req); err != nil {
			return nil, err
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(resp)
	})
}

// Listen opens the UDP port and derives the keys.
func (n *Node) Listen() error {
	var err error
	if n.keys, err = deriveKeys(n.ClusterKey); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	if n.tls, err = n.keys.tlsConfig(); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	addr, err := net.ResolveUDPAddr("udp", n.Addr)
	if err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	if n.conn, err = net.ListenUDP("udp", addr); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	n.transport = &quic.Transport{Conn: n.conn}
	n.limitHandshakes()
	n.queuePackets()
	if n.listener, err = n.transport.Listen(n.tls, quicConfig()); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	n.conns, n.dials = make(map[connKey]*peerConn), make(map[connKey]*pendingDial)
	n.unread.Max = maxUnreadBytes
	n.sentBytes = metrics.GetOrCreateCounter(`pier_packet_bytes_total{way="out"}`)
	n.receivedBytes = metrics.GetOrCreateCounter(`pier_packet_bytes_total{way="in"}`)
	return nil
}

// queuePackets makes the transport keep datagrams until Run reads them. It drops all that arrive before the first read, so
// this is a read that ends at once.
func (n *Node) queuePackets() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, _ = n.transport.ReadNonQUICPacket(ended, nil)
}

// LocalAddr returns the address that peers connect to. It may be called once Listen has succeeded.
func (n *Node) LocalAddr() string { return n.conn.LocalAddr().String() }

// Run handles calls and datagrams until the context ends, and then closes all connections.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var serving sync.WaitGroup
	defer n.Close()
	defer serving.Wait()
	defer cancel()
	go n.readPackets(ctx)
	go clock.Every(ctx, cleanupInterval, n.closeIdleConns)
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		endHandshake(conn)
		serving.Go(func() { n.serveConn(ctx, conn) })
	}
}

// Send encrypts a datagram and sends it; delivery is not guaranteed and errors are ignored.
func (n *Node) Send(addr string, plaintext []byte) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return
	}
	packet := n.keys.seal(plaintext)
	n.sentBytes.Add(len(packet))
	_, _ = n.transport.WriteTo(packet, to)
}

// Call sends a request to a peer and decodes the result into resp. The kind of the error tells whether the peer may have
// handled the request.
func (n *Node) Call(ctx context.Context, addr, kind string, req, resp any) error {
	op := "call " + kind
	body, err := cbor.Marshal(req)
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	message, err := cbor.Marshal(request{Kind: kind, Body: body})
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	key := connKey{addr: addr}
	pc, err := n.getConn(ctx, key)
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	defer n.endCall(pc)
	stream, err := pc.conn.OpenStreamSync(ctx)
	if err != nil {
		n.discardConn(key, pc)
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	reply, err := n.exchange(ctx, stream, message)
	if err != nil {
		n.discardConn(key, pc)
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	if reply.Error != "" {
		return &Error{Op: op, Kind: Failed, Err: eris.New(reply.Error)}
	}
	metrics.GetOrCreateCounter(`pier_call_bytes_total{kind="` + kind + `"}`).Add(len(message) + len(reply.Body))
	if reply, err = reply.decompress(); err != nil {
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	if err := cbor.Unmarshal(reply.Body, resp); err != nil {
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	return nil
}

// pendingDial is a connection that is being opened, for which calls wait together.
type pendingDial struct {
	done chan struct{} // closed when the fields below are set
	conn *peerConn
	err  error
}

// getConn returns the open connection to an address or dials a new one, and counts a call on it.
func (n *Node) getConn(ctx context.Context, key connKey) (*peerConn, error) {
	n.mu.Lock()
	pc := n.conns[key]
	if pc != nil && pc.conn.Context().Err() == nil {
		pc.activeCalls++
		n.mu.Unlock()
		return pc, nil
	}
	dial := n.dials[key]
	if dial == nil {
		dial = &pendingDial{done: make(chan struct{})}
		n.dials[key] = dial
		go n.openConn(key, dial)
	}
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-dial.done:
	}
	if dial.err != nil {
		return nil, dial.err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	dial.conn.activeCalls++
	return dial.conn, nil
}

// openConn dials an address for all calls that wait. It goes on when these have ended, as later ones use the connection.
func (n *Node) openConn(key connKey, dial *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dials.Inc()
	conn, err := n.dial(ctx, key.addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dials, key)
	if dial.err = err; err == nil {
		dial.conn = &peerConn{conn: conn, lastUsed: time.Now()}
		n.conns[key] = dial.conn
	}
	if err == nil && n.closed {
		_ = conn.CloseWithError(0, "")
	}
	close(dial.done)
}

// dial opens a connection from a new socket on the instance's IP address; the package comment says why.
func (n *Node) dial(ctx context.Context, addr string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	local := &net.UDPAddr{IP: n.conn.LocalAddr().(*net.UDPAddr).IP}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	conn, err := transport.Dial(ctx, to, n.tls.Clone(), quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	context.AfterFunc(conn.Context(), func() {
		_ = transport.Close()
		_ = socket.Close()
	})
	return conn, nil
}

// endCall counts a call on a connection as finished. The last one on a connection that was discarded closes it.
func (n *Node) endCall(pc *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pc.activeCalls--
	pc.lastUsed = time.Now()
	if pc.discarded && pc.activeCalls == 0 {
		_ = pc.conn.CloseWithError(0, "")
	}
}

// discardConn removes a connection in a failed call, so that the next call dials a new one. It stays open while it is used.
func (n *Node) discardConn(key connKey, pc *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[key] == pc {
		delete(n.conns, key)
	}
	pc.discarded = true
}

// closeIdleConns closes connections that have had no call for idleConnTimeout.
func (n *Node) closeIdleConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for key, pc := range n.conns {
		if pc.activeCalls == 0 && time.Since(pc.lastUsed) > idleConnTimeout {
			delete(n.conns, key)
			_ = pc.conn.CloseWithError(0, "")
		}
	}
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(0, "") }() // tells the peer, which the end of the transport does not
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.handleStream(ctx, conn.RemoteAddr().String(), stream)
	}
}

// readPackets decrypts datagrams and passes them to OnPacket. Datagrams that were not made with the cluster key are counted
// and dropped.
func (n *Node) readPackets(ctx context.Context) {
	buffer := make([]byte, maxPacketBytes)
	for {
		size, from, err := n.transport.ReadNonQUICPacket(ctx, buffer)
		if err != nil {
			return
		}
		n.receivedBytes.Add(size)
		plaintext, ok := n.keys.open(buffer[:size])
		if !ok {
			wrongKeyRefusals.Inc()
			continue
		}
		if n.OnPacket != nil {
			n.OnPacket(from, plaintext)
		}
	}
}

// Close closes all connections and the port. Run does so at its end.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, pc := range n.conns {
		_ = pc.conn.CloseWithError(0, "")
	}
	_ = n.listener.Close()
	_ = n.transport.Close()
	_ = n.conn.Close()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, // no dial waits longer
		MaxIdleTimeout:       quicIdleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxStreams,

		EnableStreamResetPartialDelivery: true, // for carried connections that break

		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         streamWindow,
		InitialConnectionReceiveWindow: maxConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}
