package main

import (
	"net"
	"sync"
)

// proxy passes connections on to a worker. It can make the callers' machine go dark: what comes from it is over, but the worker sees
// only silence. As soon as the machine is back, it resets the connections from before on which the worker sends something.
type proxy struct {
	addr string
	rec  *recorder

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one connection and the one that it is passed on to.
type pair struct {
	proxy          *proxy
	caller, worker *net.TCPConn

	mu     sync.Mutex
	dark   bool
	back   bool
	held   bool // the worker has sent something since the machine went dark
	closed bool
}

func newProxy(rec *recorder, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	p := &proxy{addr: l.Addr().String(), rec: rec, pairs: make(map[*pair]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.join(c.(*net.TCPConn), to)
		}
	}()
	return p
}

// join passes a connection on.
func (p *proxy) join(caller *net.TCPConn, to string) {
	c, err := net.Dial("tcp", to)
	if err != nil {
		_ = caller.Close()
		return
	}
	j := &pair{proxy: p, caller: caller, worker: c.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[j] = true
	p.mu.Unlock()
	go j.copy(j.worker, j.caller, false)
	j.copy(j.caller, j.worker, true)
}

// copy passes bytes on in one direction until it ends.
func (j *pair) copy(to, from *net.TCPConn, fromWorker bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		j.mu.Lock()
		dark, back := j.dark, j.back
		if dark && fromWorker && (n > 0 || err != nil) {
			j.held = true
		}
		j.mu.Unlock()
		switch {
		case dark && fromWorker && (back || err != nil):
			j.reset()
			return
		case dark && fromWorker:
			continue // nobody receives it
		case dark:
			return // the caller's machine is dark: the worker hears nothing of the end
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			j.close()
			return
		}
	}
}

// reset ends both connections at once, as a machine does that does not know a connection.
func (j *pair) reset() {
	_ = j.worker.SetLinger(0)
	j.close()
}

func (j *pair) close() {
	j.mu.Lock()
	closed := j.closed
	j.closed = true
	j.mu.Unlock()
	if closed {
		return
	}
	_ = j.caller.Close()
	_ = j.worker.Close()
	j.proxy.mu.Lock()
	delete(j.proxy.pairs, j)
	j.proxy.mu.Unlock()
}

// powerOff makes the machine at the callers' end of all present connections go dark. Call it just before its process is killed.
func (p *proxy) powerOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for j := range p.pairs {
		j.mu.Lock()
		j.dark = true
		j.mu.Unlock()
	}
}

// powerOn says that the machine is back: it resets connections from before as soon as something arrives on them, or has arrived and
// is sent again.
func (p *proxy) powerOn() {
	p.mu.Lock()
	var late []*pair
	for j := range p.pairs {
		j.mu.Lock()
		if j.dark {
			j.back = true
			if j.held {
				late = append(late, j)
			}
		}
		j.mu.Unlock()
	}
	p.mu.Unlock()
	for _, j := range late {
		j.reset()
	}
}
