package proof

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/stage"
)

// network simulates a network that drops packets. The instances send their UDP packets
// to relays, one in front of the peer port of each instance. Instance i sends from the
// address 127.0.2.(i+1), by which the relays know the sender.
type network struct {
	t      testing.TB
	mu     sync.Mutex
	relays []*udpRelay
	drop   func(from, to int) bool // nil to forward all packets
}

// udpRelay forwards packets to one instance, and the packets sent back.
type udpRelay struct {
	network     *network
	to          int // index of the instance
	conn        *net.UDPConn
	mu          sync.Mutex
	upstream    *net.UDPAddr
	senderConns map[string]*net.UDPConn // by address of the sender
}

func instanceIP(i int) net.IP { return net.IPv4(127, 0, 2, byte(i+1)) }

// startNetwork starts a site whose instances reach one another through relays.
func startNetwork(t *testing.T, spec stage.Spec) (*stage.Site, *network) {
	t.Helper()
	n := &network{t: t}
	entries := spec.Entries
	spec.Entries = 0
	site := stage.Start(t, spec)
	for i := range entries {
		r := n.addRelay()
		p := site.AddEntry("-peer", instanceIP(i).String()+":0", "-advertise", r.conn.LocalAddr().String())
		r.connect(p.PeerAddr)
	}
	site.WaitReady(20 * time.Second)
	return site, n
}

// addRelay starts the relay of the next instance.
func (n *network) addRelay() *udpRelay {
	n.t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		n.t.Fatal(err)
	}
	r := &udpRelay{network: n, to: len(n.relays), conn: conn, senderConns: make(map[string]*net.UDPConn)}
	n.relays = append(n.relays, r)
	n.t.Cleanup(r.close)
	go r.run()
	return r
}

// setDrop sets which packets are dropped, by the indexes of sender and receiver; nil for
// none.
func (n *network) setDrop(drop func(from, to int) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

func (n *network) drops(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drop != nil && n.drop(from, to)
}

// connect sets the address of the instance that the relay forwards to.
func (r *udpRelay) connect(addr string) {
	upstream, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		r.network.t.Fatal(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream = upstream
}

func (r *udpRelay) run() {
	buffer := make([]byte, 2048)
	for {
		size, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		sender := int(from.IP.To4()[3]) - 1
		if r.network.drops(sender, r.to) {
			continue
		}
		if conn := r.senderConn(from, sender); conn != nil {
			_, _ = conn.Write(buffer[:size])
		}
	}
}

// senderConn returns the socket from which the packets of a sender reach the instance.
// It forwards the packets that the instance sends back.
func (r *udpRelay) senderConn(from *net.UDPAddr, sender int) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstream == nil {
		return nil
	}
	if conn := r.senderConns[from.String()]; conn != nil {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, r.upstream)
	if err != nil {
		return nil
	}
	r.senderConns[from.String()] = conn
	go func() {
		buffer := make([]byte, 2048)
		for {
			size, err := conn.Read(buffer)
			if err != nil {
				return
			}
			if !r.network.drops(r.to, sender) {
				_, _ = r.conn.WriteToUDP(buffer[:size], from)
			}
		}
	}()
	return conn
}

func (r *udpRelay) close() {
	_ = r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.senderConns {
		_ = conn.Close()
	}
}
