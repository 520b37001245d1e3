package stage

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TCPProxy forwards TCP connections to one address. A test can stall, reset or delay
// them.
type TCPProxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	open  map[*connection]bool
	delay time.Duration
	down  bool // new connections are stalled too
}

// connection is an accepted connection and the one to the upstream that it is
// forwarded to.
type connection struct {
	in, out net.Conn
	stalled [2]bool // by direction
}

// Directions of forwarding: to the upstream address, and back.
const (
	Upstream = iota
	Downstream
)

// NewTCPProxy starts a proxy to an address. It stops accepting at the end of the
// test, and closes what is still open.
func NewTCPProxy(t testing.TB, upstream string) *TCPProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &TCPProxy{listener: l, upstream: upstream, open: make(map[*connection]bool)}
	t.Cleanup(p.closeAll)
	go p.accept()
	return p
}

// Addr returns the address on which the proxy listens.
func (p *TCPProxy) Addr() string { return p.listener.Addr().String() }

// Close stops accepting connections. Those that are open are forwarded until they end.
func (p *TCPProxy) Close() { _ = p.listener.Close() }

// closeAll closes the listener and all open connections.
func (p *TCPProxy) closeAll() {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}

// OpenCount returns how many connections are open, stalled ones among them.
func (p *TCPProxy) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// SetDown sets whether the address is out of reach: open connections are stalled
// permanently, and new ones as well until it is in reach again.
func (p *TCPProxy) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.StallBoth()
	}
}

// StallBoth permanently stops forwarding on all open connections, in both directions,
// and leaves them open. New connections work.
func (p *TCPProxy) StallBoth() {
	p.Stall(Upstream)
	p.Stall(Downstream)
}

// Stall permanently stops forwarding on all open connections, in one direction, and
// leaves them open. New connections work.
func (p *TCPProxy) Stall(direction int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.stalled[direction] = true
	}
}

// Reset closes all open connections with a TCP reset.
func (p *TCPProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c.in)
		reset(c.out)
	}
}

// Delay sets the time by which all data is delayed from now on.
func (p *TCPProxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *TCPProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.upstream)
		if err != nil {
			reset(in)
			continue
		}
		c := &connection{in: in, out: out}
		p.mu.Lock()
		c.stalled = [2]bool{p.down, p.down}
		p.open[c] = true
		p.mu.Unlock()
		go p.forward(c, Upstream, in, out)
		go p.forward(c, Downstream, out, in)
	}
}

// state returns the present delay and whether the connection is stalled.
func (p *TCPProxy) state(c *connection, direction int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, c.stalled[direction]
}

// forward copies data until either end closes. Once the connection is stalled, it
// stops without closing either end.
func (p *TCPProxy) forward(c *connection, direction int, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		delay, stalled := p.state(c, direction)
		if stalled {
			return
		}
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}
