package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	maxMessage     = 16 << 20 // bytes
	maxPacket      = 1400     // bytes
	idleTimeout    = 3 * time.Second
	keepAlive      = time.Second
	dialTimeout    = time.Second
	maxStreams     = 4096
	unusedTimeout  = 30 * time.Second // an unused connection is closed after this
	cleanupPeriod  = 5 * time.Second
	streamRejected = quic.StreamErrorCode(1)
)

// Handler answers one kind of call; the argument and the result are CBOR.
type Handler func(ctx context.Context, from string, request []byte) ([]byte, error)

// Node is the peer endpoint of one entry instance.
type Node struct {
	Addr       string                            // UDP address to listen on
	ClusterKey []byte                            // cluster key
	OnPacket   func(from net.Addr, plain []byte) // nil to ignore datagrams

	handlers  map[string]Handler
	conn      *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	secret    secret
	tls       *tls.Config
	sent      *metrics.Counter
	received  *metrics.Counter

	mu    sync.Mutex
	conns map[string]*link
}

type link struct {
	conn  *quic.Conn
	used  time.Time
	calls int
}

type envelope struct {
	Kind string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

type answer struct {
	Body   []byte `cbor:"1,keyasint"`
	Failed string `cbor:"2,keyasint,omitempty"`
	Packed bool   `cbor:"3,keyasint,omitempty"` // the body is compressed
}

// Handle registers a handler; it is called before Run.
func (n *Node) Handle(kind string, h Handler) {
	if n.handlers == nil {
		n.handlers = make(map[string]Handler)
	}
	n.handlers[kind] = h
}

// HandleFunc registers a typed handler for a kind of call.
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

// Listen opens the UDP port.
func (n *Node) Listen() error {
	var err error
	if n.secret, err = newSecret(n.ClusterKey); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	if n.tls, err = n.secret.config(); err != nil {
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
	if n.listener, err = n.transport.Listen(n.tls, settings()); err != nil {
		return &Error{Op: "listen", Kind: Setup, Err: err}
	}
	n.conns = make(map[string]*link)
	n.sent = metrics.GetOrCreateCounter(`pier_packet_bytes_total{way="out"}`)
	n.received = metrics.GetOrCreateCounter(`pier_packet_bytes_total{way="in"}`)
	return nil
}

// LocalAddr returns the address that peers use, once Listen has succeeded.
func (n *Node) LocalAddr() string { return n.conn.LocalAddr().String() }

// Run serves peers until the context ends.
func (n *Node) Run(ctx context.Context) error {
	defer n.close()
	go n.packets(ctx)
	go n.cleanup(ctx)
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return nil
		}
		go n.serve(ctx, conn)
	}
}

// Send seals a datagram and sends it without any promise of delivery.
func (n *Node) Send(addr string, plain []byte) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return
	}
	packet := n.secret.seal(plain)
	n.sent.Add(len(packet))
	_, _ = n.transport.WriteTo(packet, to)
}

// Call sends a request to a peer and reads its answer.
func (n *Node) Call(ctx context.Context, addr, kind string, req, resp any) error {
	op := "call " + kind
	body, err := cbor.Marshal(req)
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	message, err := cbor.Marshal(envelope{Kind: kind, Body: body})
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	l, err := n.dial(ctx, addr)
	if err != nil {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	defer n.unuse(l)
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		n.drop(addr, l)
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	got, err := exchange(ctx, stream, message)
	if err != nil {
		n.drop(addr, l)
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	if got.Failed != "" {
		return &Error{Op: op, Kind: Failed, Err: eris.New(got.Failed)}
	}
	metrics.GetOrCreateCounter(`pier_call_bytes_total{kind="` + kind + `"}`).Add(len(message) + len(got.Body))
	if got, err = got.unpack(); err != nil {
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	if err := cbor.Unmarshal(got.Body, resp); err != nil {
		return &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	return nil
}

func exchange(ctx context.Context, stream *quic.Stream, message []byte) (answer, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamRejected)
		stream.CancelWrite(streamRejected)
	})
	defer stop()
	if _, err := stream.Write(message); err != nil {
		return answer{}, err
	}
	if err := stream.Close(); err != nil {
		return answer{}, err
	}
	raw, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		return answer{}, err
	}
	var got answer
	err = cbor.Unmarshal(raw, &got)
	return got, err
}

func (n *Node) dial(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	l := n.conns[addr]
	if l != nil && l.conn.Context().Err() == nil {
		l.calls++
		n.mu.Unlock()
		return l, nil
	}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	l = &link{conn: conn, used: time.Now(), calls: 1}
	n.mu.Lock()
	n.conns[addr] = l
	n.mu.Unlock()
	return l, nil
}

// connect dials from a socket of its own on the instance's address.
func (n *Node) connect(ctx context.Context, addr string) (*quic.Conn, error) {
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
	conn, err := transport.Dial(ctx, to, n.tls.Clone(), settings())
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

func (n *Node) unuse(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.calls--
	l.used = time.Now()
}

// drop forgets a connection so that the next call dials anew; calls in flight on it go on.
func (n *Node) drop(addr string, l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[addr] == l {
		delete(n.conns, addr)
	}
	if l.calls <= 1 {
		_ = l.conn.CloseWithError(0, "")
	}
}

func (n *Node) cleanup(ctx context.Context) {
	ticker := time.NewTicker(cleanupPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		for addr, l := range n.conns {
			if l.calls == 0 && time.Since(l.used) > unusedTimeout {
				delete(n.conns, addr)
				_ = l.conn.CloseWithError(0, "")
			}
		}
		n.mu.Unlock()
	}
}

func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go n.handle(ctx, conn.RemoteAddr().String(), stream)
	}
}

func (n *Node) handle(ctx context.Context, from string, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	raw, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	var e envelope
	if err := cbor.Unmarshal(raw, &e); err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	var got answer
	if h := n.handlers[e.Kind]; h == nil {
		got.Failed = "unknown call " + e.Kind
	} else if got.Body, err = h(withStream(ctx, stream), from, e.Body); err != nil {
		got.Failed = err.Error()
	}
	if got, err = got.pack(); err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	out, err := cbor.Marshal(got)
	if err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	_, _ = stream.Write(out)
}

// withStream ends the context when the caller gives up on the stream.
func withStream(ctx context.Context, stream *quic.Stream) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(stream.Context(), cancel)
	return ctx
}

func (n *Node) packets(ctx context.Context) {
	buffer := make([]byte, maxPacket)
	for {
		size, from, err := n.transport.ReadNonQUICPacket(ctx, buffer)
		if err != nil {
			return
		}
		n.received.Add(size)
		plain, ok := n.secret.open(buffer[:size])
		if !ok {
			wrongPeer.Inc()
			continue
		}
		if n.OnPacket != nil {
			n.OnPacket(from, plain)
		}
	}
}

func (n *Node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.conns {
		_ = l.conn.CloseWithError(0, "")
	}
	_ = n.listener.Close()
	_ = n.transport.Close()
	_ = n.conn.Close()
}

func settings() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		KeepAlivePeriod:    keepAlive,
		MaxIncomingStreams: maxStreams,
	}
}
