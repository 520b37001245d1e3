package reach

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a way to dial whose connections tell a Monitor when they were opened.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &datedConn{Conn: conn, openedAt: clock.Now()}, nil
	}
}

// datedConn is a connection that knows when it was opened.
type datedConn struct {
	net.Conn
	openedAt clock.Millis
}

// connUse tells which connection a call has got.
type connUse struct {
	got      atomic.Bool  // there is one
	reused   atomic.Bool  // it had an earlier call
	openedAt atomic.Int64 // when it was opened, milliseconds since the epoch; zero if it does not know
}

// trace returns a context for a call that records its connection.
func (u *connUse) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { u.got.Store(false) },
		GotConn: func(info httptrace.GotConnInfo) {
			u.reused.Store(info.Reused)
			u.openedAt.Store(0)
			if dated, ok := info.Conn.(*datedConn); ok {
				u.openedAt.Store(int64(dated.openedAt))
			}
			u.got.Store(true)
		},
	})
}

// openedSince reports whether the connection was opened at a point in time or later.
func (u *connUse) openedSince(at clock.Millis) bool { return clock.Millis(u.openedAt.Load()) >= at }

// name returns the connection as metrics name it.
func (u *connUse) name() string {
	switch {
	case !u.got.Load():
		return "none"
	case u.reused.Load():
		return "open"
	default:
		return "new"
	}
}
