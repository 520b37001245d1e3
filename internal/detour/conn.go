package detour

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// targetConn is a direct connection to a target whose reader learns of a reset in any case. The operating system reports a reset once: if
// a write gets the error, reads end with io.EOF from then on, as at the end of a whole answer.
type targetConn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed because of the connection
}

// newTargetConn wraps a connection that was dialed.
func newTargetConn(conn net.Conn) *targetConn { return &targetConn{Conn: conn} }

// Write writes to the target, and records an error for the reader.
func (c *targetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read returns io.EOF only if the target has ended its answer.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failed := c.endWrites(); failed != nil {
		return n, failed
	}
	return n, err
}

// endWrites ends a write in progress, as there is no answer to it any more, and returns the error of the first write that has failed
// before, or nil.
func (c *targetConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // in the past
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}
