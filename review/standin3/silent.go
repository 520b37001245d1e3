package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes on connections to an address until they are silenced.
type Proxy struct {
	Addr string

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is one connection through a Proxy.
type proxied struct {
	client, server net.Conn

	mu     sync.Mutex
	silent bool
	lastAt time.Time // when the last bytes were passed on
	asked  bool      // the client has sent bytes since the connection is silent
}

// The program probes its connections to the store: after a second without data, and each second from then on; it gives up after two
// probes without an answer. The system answers such probes here also for a silent connection, so that the proxy does what the program
// would see: it resets the connection when those probes would have shown that it is lost. While the program waits for an answer to bytes
// that it has sent, there are no probes.
const (
	probeInterval = time.Second
	lostProbes    = 2
)

// showLoss resets a silent connection when its client's probes would show that it is lost.
func (x *proxied) showLoss(now time.Time) {
	x.mu.Lock()
	next := x.lastAt.Add(probeInterval)
	for next.Before(now) {
		next = next.Add(probeInterval)
	}
	x.mu.Unlock()
	time.Sleep(time.Until(next.Add(lostProbes * probeInterval)))
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.asked {
		_ = x.client.(*net.TCPConn).SetLinger(0)
		_ = x.client.Close()
	}
}

// NewProxy starts a proxy in front of an address.
func NewProxy(ip, to string) *Proxy {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	p := &Proxy{Addr: l.Addr().String(), conns: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, to)
		}
	}()
	return p
}

func (p *Proxy) serve(c net.Conn, to string) {
	server, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	x := &proxied{client: c, server: server, lastAt: time.Now()}
	p.mu.Lock()
	p.conns[x] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { x.pass(server, c) })
	both.Go(func() { x.pass(c, server) })
	both.Wait()
	_ = c.Close()
	_ = server.Close()
	p.mu.Lock()
	delete(p.conns, x)
	p.mu.Unlock()
}

// pass copies bytes one way. Once the connection is silent it drops them, and the end as well.
func (x *proxied) pass(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		x.mu.Lock()
		silent := x.silent
		if !silent {
			x.lastAt = time.Now()
		} else if n > 0 && from == x.client {
			x.asked = true
		}
		x.mu.Unlock()
		if !silent && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !silent && err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
		} else if !silent {
			_ = to.Close()
		}
		return
	}
}

// Silence makes the connections that are open now go silent for good. New ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for x := range p.conns {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
		go x.showLoss(now)
	}
	return len(p.conns)
}
