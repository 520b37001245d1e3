package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// Timeouts bound how long a client may take. A change applies to each connection from its next request on.
type Timeouts struct {
	Header clock.Millis // to send the header of a request
	Idle   clock.Millis // between two requests on a connection
}

// WithLimits lets the timeouts of a server change while it runs, and limits what its clients use. It returns the listener that the server
// must use. The handler of the server must be set before.
func WithLimits(l net.Listener, server *http.Server, timeouts func() Timeouts, limits Limits) net.Listener {
	// The server sets read deadlines only if it has timeouts of its own; timeoutConn replaces the deadlines.
	initial := timeouts()
	server.ReadHeaderTimeout, server.IdleTimeout = initial.Header.Duration(), initial.Idle.Duration()
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if conn, ok := c.(*timeoutConn); ok {
			conn.setState(s)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*timeoutConn); ok {
			return quota.WithHolder(ctx, conn.holder)
		}
		return ctx
	}
	server.Handler = limits.charge(server.Handler, timeouts)
	return &timeoutListener{Listener: l, timeouts: timeouts, limits: limits}
}

type timeoutListener struct {
	net.Listener
	timeouts func() Timeouts
	limits   Limits
}

// Accept waits for the next connection for which there is room.
func (l *timeoutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &timeoutConn{Conn: c, timeouts: l.timeouts, limits: l.limits}
		conn.reset(false)
		if conn.admit() {
			return conn, nil
		}
		_ = c.Close()
	}
}

// What a connection reads next.
const (
	headerNext int32 = iota
	bodyNext
	requestNext
)

// timeoutConn replaces the read deadlines that the server sets by those of the current timeouts. It tells of requests that were not
// handled although bytes of them had come.
type timeoutConn struct {
	net.Conn
	timeouts func() Timeouts
	limits   Limits
	holder   *quota.Holder
	awaiting atomic.Int32
	unhandled
}

// setState records what the server reads next.
func (c *timeoutConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.awaiting.Store(bodyNext)
	case http.StateIdle:
		c.awaiting.Store(requestNext)
		c.reset(true)
		c.holder.Reset()
	}
}

// Read reads from the connection.
func (c *timeoutConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(data)
	}
	if n > 0 {
		c.holder.Progress()
	}
	if c.awaiting.Load() != bodyNext {
		c.record(n, err)
		if !c.takeHead(data[:n]) {
			return 0, io.EOF
		}
	}
	return n, err
}

// extend lets an idle connection wait on if the idle timeout has risen since it became idle, as its caller may know that already. It
// reports whether there is time left.
func (c *timeoutConn) extend() bool {
	since, idle := c.waitsSince()
	until := (since + c.timeouts().Idle).Time()
	if !idle || c.awaiting.Load() != headerNext || !time.Now().Before(until) {
		return false
	}
	return c.Conn.SetReadDeadline(until) == nil
}

// Close closes the connection.
func (c *timeoutConn) Close() error {
	if c.awaiting.Load() != bodyNext {
		c.report(c.RemoteAddr())
	}
	c.leave()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline for a header or an idle connection by the current timeouts. While a body is read, it
// sets the deadline that it is given, which is the handler's.
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
