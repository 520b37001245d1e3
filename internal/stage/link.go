package stage

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Link passes TCP connections on to one address; a test can have them fail.
type Link struct {
	listener net.Listener
	upstream string

	mu    sync.Mutex
	open  map[*pair]bool
	delay time.Duration
}

// pair is one connection and its continuation.
type pair struct {
	in, out net.Conn
	silent  [2]bool // towards the upstream, and back
}

// The directions of a link.
const (
	Forth = iota
	Back
)

// NewLink returns a link to an address.
func NewLink(t testing.TB, upstream string) *Link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &Link{listener: l, upstream: upstream, open: make(map[*pair]bool)}
	t.Cleanup(func() { _ = l.Close() })
	go k.run()
	return k
}

// Addr returns where the link listens.
func (k *Link) Addr() string { return k.listener.Addr().String() }

// Hush makes the connections that are open silent for good in both directions; new ones work.
func (k *Link) Hush() {
	k.Silence(Forth)
	k.Silence(Back)
}

// Silence makes the connections that are open silent for good in one direction; new ones work.
func (k *Link) Silence(direction int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.open {
		p.silent[direction] = true
	}
}

// Reset resets the connections that are open.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.open {
		reset(p.in)
		reset(p.out)
	}
}

// Delay holds back what is passed on from now on.
func (k *Link) Delay(d time.Duration) {
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

func (k *Link) run() {
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
		p := &pair{in: in, out: out}
		k.mu.Lock()
		k.open[p] = true
		k.mu.Unlock()
		go k.pass(p, Forth, in, out)
		go k.pass(p, Back, out, in)
	}
}

// state returns how long to hold back what a pair passes on, and whether it passes nothing on any more.
func (k *Link) state(p *pair, direction int) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.delay, p.silent[direction]
}

// pass copies until an end closes; from when the pair is silent it reads nothing and closes nothing.
func (k *Link) pass(p *pair, direction int, from, to net.Conn) {
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
