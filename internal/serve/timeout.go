package serve

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Timeouts bound how long a caller may take; they hold from the next request of each connection.
type Timeouts struct {
	Header clock.Millis // to send a request's header
	Idle   clock.Millis // between two requests of a connection
}

// WithTimeouts has a server use limits that may change while it runs; it returns the listener to serve.
func WithTimeouts(l net.Listener, server *http.Server, timeouts func() Timeouts) net.Listener {
	// The server sets deadlines only if it has limits of its own; the connections replace them.
	initial := timeouts()
	server.ReadHeaderTimeout, server.IdleTimeout = initial.Header.Duration(), initial.Idle.Duration()
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if conn, ok := c.(*timeoutConn); ok {
			conn.setState(s)
		}
	}
	return &timeoutListener{Listener: l, timeouts: timeouts}
}

type timeoutListener struct {
	net.Listener
	timeouts func() Timeouts
}

// Accept waits for the next connection.
func (l *timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: c, timeouts: l.timeouts}, nil
}

// What a connection waits for next.
const (
	headerNext int32 = iota
	bodyNext
	requestNext
)

// timeoutConn replaces the server's own deadlines.
type timeoutConn struct {
	net.Conn
	timeouts func() Timeouts
	awaiting atomic.Int32
}

func (c *timeoutConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.awaiting.Store(bodyNext)
	case http.StateIdle:
		c.awaiting.Store(requestNext)
	}
}

// SetReadDeadline sets the deadline that the limits in force give; that of a body is the handler's.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	switch c.awaiting.Load() {
	case headerNext:
		t = time.Now().Add(c.timeouts().Header.Duration())
	case requestNext:
		t = time.Now().Add(c.timeouts().Idle.Duration())
		c.awaiting.Store(headerNext)
	}
	return c.Conn.SetReadDeadline(t)
}
