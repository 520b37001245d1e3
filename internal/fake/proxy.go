package fake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy passes connections on to an address, and can make them silent: their bytes and their end get lost, as with a peer that is gone
// without a reset.
type Proxy struct {
	To string // address to which connections are passed on

	listener net.Listener
	mu       sync.Mutex
	down     bool // new connections are silent too
	open     map[*proxyConn]bool
}

// Listen opens a port on the loopback interface and serves it until Close.
func (p *Proxy) Listen() error {
	p.open = make(map[*proxyConn]bool)
	var err error
	p.listener, err = ListenEach(p.serve)
	return err
}

// Addr returns the address of the port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close closes the port; connections that are open are passed on until they end.
func (p *Proxy) Close() error { return p.listener.Close() }

// OpenCount returns how many connections are open.
func (p *Proxy) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Silence makes the open connections silent for good, and returns how many these are. New ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
	return len(p.open)
}

// SetDown sets whether the address is out of reach: open connections are silent for good, and new ones are until it is in reach again.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Silence()
	}
}

// serve passes on one connection until its client ends it.
func (p *Proxy) serve(client net.Conn) {
	target, err := net.Dial("tcp", p.To)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, target: target}
	p.add(c)
	var both sync.WaitGroup
	both.Go(c.passRequests)
	both.Go(c.passAnswers)
	both.Wait()
	p.remove(c)
}

func (p *Proxy) add(c *proxyConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.silent.Store(p.down)
	p.open[c] = true
}

func (p *Proxy) remove(c *proxyConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// proxyConn is a connection through a Proxy.
type proxyConn struct {
	client, target net.Conn
	silent         atomic.Bool
}

// passRequests copies what the client sends, and closes both connections at its end.
func (c *proxyConn) passRequests() {
	_, _ = io.Copy(&silencer{to: c.target, silent: &c.silent}, c.client)
	_ = c.client.Close()
	_ = c.target.Close()
}

// passAnswers copies what the target sends, and its end unless the connection is silent.
func (c *proxyConn) passAnswers() {
	_, _ = io.Copy(&silencer{to: c.client, silent: &c.silent}, c.target)
	if !c.silent.Load() {
		_ = c.client.Close()
	}
}

// silencer writes to a connection, or drops what is written while that is silent.
type silencer struct {
	to     io.Writer
	silent *atomic.Bool
}

func (s *silencer) Write(p []byte) (int, error) {
	if s.silent.Load() {
		return len(p), nil
	}
	return s.to.Write(p)
}
