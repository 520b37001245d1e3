package serve

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// unhandled keeps what a connection has read of a request that no handler has seen yet.
type unhandled struct {
	mu      sync.Mutex
	bytes   int
	since   clock.Millis // when the connection was opened, or its last answer was written
	readAt  clock.Millis // when the last bytes were read
	lastErr error        // of the last read
	closed  bool
	evicted quota.Reason // why the connection was closed for others; empty if it was not

	answered bool // a request was answered on the connection
}

// reset begins to wait for the next request, or for the first one.
func (u *unhandled) reset(answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes, u.since, u.lastErr, u.answered = 0, clock.Now(), nil, answered
}

// waitsSince returns since when the connection waits for a request, and whether nothing of one has come and an answer was written before.
func (u *unhandled) waitsSince() (clock.Millis, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.since, u.answered && u.bytes == 0
}

// recordEviction records that the connection is closed for others.
func (u *unhandled) recordEviction(reason quota.Reason) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.evicted = reason
}

// unhandledBytes returns how many bytes of a request have come that no handler has seen yet.
func (u *unhandled) unhandledBytes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bytes
}

// record records the result of a read.
func (u *unhandled) record(n int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastErr = err
	if n > 0 {
		u.bytes += n
		u.readAt = clock.Now()
	}
}

// report counts a connection that is closed without a request in progress, by reason. If bytes of a request have come, whose caller
// gets no answer, it is logged as well.
func (u *unhandled) report(caller net.Addr) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	u.closed = true
	reason := u.reason()
	metrics.GetOrCreateCounter(`pier_connections_closed_total{reason="` + reason + `"}`).Inc()
	if u.bytes > 0 {
		now := clock.Now()
		metrics.GetOrCreateCounter(`pier_connections_unhandled_total{reason="` + reason + `"}`).Inc()
		slog.Info("connection closed with a request that was not handled", "caller", caller.String(), "reason", reason, "bytes", u.bytes,
			"open_ms", int64(now-u.since), "silent_ms", int64(now-u.readAt))
	}
}

// reason returns who ended the connection: the caller, a timeout, this instance, or this instance for others.
func (u *unhandled) reason() string {
	switch {
	case u.evicted != "":
		return string(u.evicted)
	case errors.Is(u.lastErr, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(u.lastErr, io.EOF):
		return "caller"
	case u.lastErr != nil:
		return "broken"
	default:
		return "instance"
	}
}
