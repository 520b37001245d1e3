package fake

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// LinkCut says how links are cut.
type LinkCut string

// The ways in which links are cut; the empty value is for links that work.
const (
	LinksHang   LinkCut = "hang"   // new connections hang, and open ones are silent
	LinksReset  LinkCut = "reset"  // new connections are refused, and open ones are reset
	LinksRefuse LinkCut = "refuse" // new connections are refused, and open ones live on
)

// Links are the ways from one instance to all targets; they can be cut.
type Links struct {
	mu      sync.Mutex
	cut     LinkCut         // empty if they are not
	spared  map[string]bool // addresses to which the links are not cut
	waiting chan struct{}   // closed at the next change
	open    map[*linkConn]bool
}

// NewLinks returns links that work.
func NewLinks() *Links { return &Links{waiting: make(chan struct{}), open: make(map[*linkConn]bool)} }

// Set cuts the links but for those to some addresses, or restores them with the empty value.
func (l *Links) Set(how LinkCut, spared ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.spared = how, make(map[string]bool)
	for _, addr := range spared {
		l.spared[addr] = true
	}
	close(l.waiting)
	l.waiting = make(chan struct{})
	if how != LinksReset {
		return
	}
	for c := range l.open {
		if !l.spared[c.addr] {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

// state returns how the link to an address is cut, and a channel that is closed when that may change.
func (l *Links) state(addr string) (LinkCut, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spared[addr] {
		return "", l.waiting
	}
	return l.cut, l.waiting
}

// Dial opens a connection to a target.
func (l *Links) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	cut, _ := l.state(addr)
	switch cut {
	case LinksHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case LinksReset, LinksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &linkConn{Conn: conn, links: l, addr: addr, closed: make(chan struct{})}
	l.open[c] = true
	return c, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	links     *Links
	addr      string
	closed    chan struct{}
	closeOnce sync.Once
}

// Read returns nothing while the link hangs.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for {
		cut, changed := c.links.state(c.addr)
		if cut != LinksHang {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write loses what is written while the link hangs.
func (c *linkConn) Write(p []byte) (int, error) {
	if cut, _ := c.links.state(c.addr); cut == LinksHang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		delete(c.links.open, c)
		c.links.mu.Unlock()
	})
	return c.Conn.Close()
}
