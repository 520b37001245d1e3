package stage

import (
	"net"
	"sync"
	"testing"
	"time"
)

// TCPProxy passes TCP connections on to one address; a test can have them fail.
type TCPProxy struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	open  map[*connection]bool
	delay time.Duration
}

// connection is one connection and its continuation.
type connection struct {
	in, out net.Conn
	stalled [2]bool // towards the upstream, and back
}

// The directions of a link.
const (
	Upstream = iota
	Downstream
)

// NewTCPProxy returns a link to an address.
func NewTCPProxy(t testing.TB, upstream string) *TCPProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &TCPProxy{listener: l, upstream: upstream, open: make(map[*connection]bool)}
	t.Cleanup(func() { _ = l.Close() })
	go k.accept()
	return k
}

// Addr returns where the link listens.
func (k *TCPProxy) Addr() string { return k.listener.Addr().String() }

// StallBoth makes the connections that are open silent for good in both directions; new ones work.
func (k *TCPProxy) StallBoth() {
	k.Stall(Upstream)
	k.Stall(Downstream)
}

// Stall makes the connections that are open silent for good in one direction; new ones work.
func (k *TCPProxy) Stall(direction int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.open {
		p.stalled[direction] = true
	}
}

// Reset resets the connections that are open.
func (k *TCPProxy) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.open {
		reset(p.in)
		reset(p.out)
	}
}

// Delay holds back what is passed on from now on.
func (k *TCPProxy) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (k *TCPProxy) accept() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.upstream)
		if err != nil {
			reset(in)
			continue
		}
		p := &connection{in: in, out: out}
		k.mu.Lock()
		k.open[p] = true
		k.mu.Unlock()
		go k.forward(p, Upstream, in, out)
		go k.forward(p, Downstream, out, in)
	}
}

// state returns how long to hold back what a pair passes on, and whether it passes nothing on any more.
func (k *TCPProxy) state(p *connection, direction int) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay, p.stalled[direction]
}

// forward copies until an end closes; from when the pair is silent it reads nothing and closes nothing.
func (k *TCPProxy) forward(p *connection, direction int, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		delay, silent := k.state(p, direction)
		if silent {
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
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, p)
}
