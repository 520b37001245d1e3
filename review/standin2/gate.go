package main

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const gateBacklog = 1 // connections that wait to be accepted

// gatedListener is a listener behind a link that can be cut: while it is shut, the packets that open a connection are dropped.
type gatedListener struct {
	*net.TCPListener
	open atomic.Bool
}

func newGatedListener() *gatedListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	must(err)
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, gateBacklog))
	f := os.NewFile(uintptr(fd), "gate")
	l, err := net.FileListener(f)
	must(err)
	_ = f.Close()
	g := &gatedListener{TCPListener: l.(*net.TCPListener)}
	g.open.Store(true)
	return g
}

// Accept accepts while the gate is open.
func (g *gatedListener) Accept() (net.Conn, error) {
	for {
		if !g.open.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = g.SetDeadline(time.Now().Add(2 * time.Millisecond))
		c, err := g.TCPListener.Accept()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			continue
		}
		return c, err
	}
}

// shut fills the queue of connections that are not accepted, so that packets which open further ones are dropped. The function that it
// returns opens the gate again.
func (g *gatedListener) shut() (open func()) {
	g.open.Store(false)
	time.Sleep(4 * time.Millisecond) // an accept that has begun ends
	var fill []net.Conn
	for range gateBacklog + 2 {
		if c, err := net.DialTimeout("tcp", g.Addr().String(), 2*time.Millisecond); err == nil {
			fill = append(fill, c)
		}
	}
	return func() {
		for _, c := range fill {
			_ = c.Close()
		}
		g.open.Store(true)
	}
}
