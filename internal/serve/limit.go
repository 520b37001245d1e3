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
func WithTimeouts(l net.Listener, server *http.Server, limits func() Timeouts) net.Listener {
	// The server sets deadlines only if it has limits of its own; the connections replace them.
	first := limits()
	server.ReadHeaderTimeout, server.IdleTimeout = first.Header.Duration(), first.Idle.Duration()
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if limited, ok := c.(*limitedConn); ok {
			limited.changed(s)
		}
	}
	return &limitedListener{Listener: l, limits: limits}
}

type limitedListener struct {
	net.Listener
	limits func() Timeouts
}

// Accept waits for the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// What a connection waits for next.
const (
	forHeader int32 = iota
	forBody
	forRequest
)

// limitedConn replaces the server's own deadlines.
type limitedConn struct {
	net.Conn
	limits func() Timeouts
	waits  atomic.Int32
}

func (c *limitedConn) changed(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.waits.Store(forBody)
	case http.StateIdle:
		c.waits.Store(forRequest)
	}
}

// SetReadDeadline sets the deadline that the limits in force give; that of a body is the handler's.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	switch c.waits.Load() {
	case forHeader:
		t = time.Now().Add(c.limits().Header.Duration())
	case forRequest:
		t = time.Now().Add(c.limits().Idle.Duration())
		c.waits.Store(forHeader)
	}
	return c.Conn.SetReadDeadline(t)
}
