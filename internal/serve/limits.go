package serve

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/corianderpier/corianderpier/internal/quota"
)

// Bytes that are charged to an account, see docs/design/memory.md.
const (
	connBytes     = 16 << 10 // a connection: buffers and goroutines; 8 KB were measured for one without a request
	headByteCost  = 2        // a byte of a head
	headLineBytes = 512      // a line of a head: up to 200 bytes in a parsed head were measured, of which there are up to three copies
)

const (
	headSlack     = 4096 + 512             // beyond the longest head: a buffer that also holds what follows, and what limits of heads do not count
	writePiece    = 32 << 10               // bytes after which a write counts as progress
	refusalWrite  = 100 * time.Millisecond // to write a refusal
	refusalLinger = 500 * time.Millisecond // to read on after a refusal: closing at once would let the caller lose it
	retryAfter    = "1"                    // seconds
)

// limitLog bounds the log lines about callers that are refused or closed by limits; counters have them all.
var limitLog = rate.Sometimes{First: 10, Interval: time.Second}

// Limits bound what the clients of a server use.
type Limits struct {
	Account      *quota.Account // for the memory of connections and requests; nil for none
	Gate         *quota.Gate    // for connections; nil for no limit
	HeadBytes    func() int     // of the longest head that is read whole; nil or zero for the limit of the server
	RequestBytes int64          // charged for each request beyond its head
}

// charge charges requests to the account before they are handled, and bounds the time for a body that the handler does not read.
func (l Limits) charge(next http.Handler, timeouts func() Timeouts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := quota.HolderOf(r.Context())
		if r.ContentLength == 0 {
			h.SetWaiting(false)
		} else {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeouts().Header.Duration()))
		}
		if err := h.Adjust(headCost(r) + l.RequestBytes); err != nil {
			countRefusal("request")
			limitLog.Do(func() { slog.Info("request without memory refused", "caller", r.RemoteAddr) })
			w.Header().Set("Retry-After", retryAfter)
			w.Header().Set("Connection", "close")
			http.Error(w, "memory", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headCost returns what is charged for the head of a request.
func headCost(r *http.Request) int64 {
	lines, size := 1, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(headByteCost*size + headLineBytes*lines)
}

// admit opens the holder of a new connection. It reports false if there is no room for the connection.
func (c *timeoutConn) admit() bool {
	c.holder = c.limits.Account.Open(c.evict)
	if c.holder == nil {
		return true
	}
	if c.limits.Gate != nil && !c.limits.Gate.Enter(c.holder) {
		c.refuseConn("files")
		c.holder.Close()
		return false
	}
	if err := c.holder.Keep(connBytes); err != nil {
		c.refuseConn("connection")
		c.leave()
		return false
	}
	return true
}

// refuseConn records that a new connection is closed at once.
func (c *timeoutConn) refuseConn(reason string) {
	countRefusal(reason)
	limitLog.Do(func() { slog.Info("connection refused", "caller", c.RemoteAddr().String(), "reason", reason) })
}

// leave gives back what the connection holds.
func (c *timeoutConn) leave() {
	c.holder.Close()
	if c.limits.Gate != nil {
		c.limits.Gate.Leave(c.holder)
	}
}

// evict closes the connection for others.
func (c *timeoutConn) evict(reason quota.Reason) {
	c.recordEviction(reason)
	_ = c.Conn.Close()
	metrics.GetOrCreateCounter(`pier_quota_closed_total{reason="` + string(reason) + `"}`).Inc()
	limitLog.Do(func() { slog.Info("connection closed for others", "caller", c.RemoteAddr().String(), "reason", reason) })
}

// takeHead charges bytes of a head to the account. It reports false if the head is refused; the caller has an answer then, unless the
// connection was closed.
func (c *timeoutConn) takeHead(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if most := c.limits.maxHead(); most > 0 && c.unhandledBytes()-headSlack > most {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "")
		return false
	}
	cost := headByteCost*len(data) + headLineBytes*bytes.Count(data, []byte{'\n'})
	if err := c.holder.Reserve(int64(cost)); err != nil {
		c.refuse(http.StatusServiceUnavailable, "head", "Retry-After: "+retryAfter+"\r\n")
		return false
	}
	return true
}

// maxHead returns the size of the longest head that is read whole.
func (l Limits) maxHead() int {
	if l.HeadBytes == nil {
		return 0
	}
	return l.HeadBytes()
}

// refuse answers a request whose head is not complete. The server writes nothing meanwhile, as it waits for the head. What it has parsed of
// the head stays charged until the connection is closed.
func (c *timeoutConn) refuse(status int, reason, header string) {
	countRefusal(reason)
	limitLog.Do(func() {
		slog.Info("head refused", "caller", c.RemoteAddr().String(), "reason", reason, "status", status)
	})
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWrite))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%s\r\n%s\n",
		status, http.StatusText(status), header, reason)
	if err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
}

// Write writes to the connection. It fails if the other end takes no byte for the time that a connection may be idle.
func (c *timeoutConn) Write(data []byte) (written int, err error) {
	c.holder.SetWriting(true)
	defer c.holder.SetWriting(false)
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeouts().Idle.Duration())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writePiece)])
		written += n
		if n > 0 {
			c.holder.Progress()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && n > 0 && written < len(data) {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			metrics.GetOrCreateCounter(`pier_quota_closed_total{reason="unread"}`).Inc()
			limitLog.Do(func() { slog.Info("answer not read", "caller", c.RemoteAddr().String()) })
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite tells the other end that nothing follows. The server does so when it is to read on for a while before it closes the
// connection.
func (c *timeoutConn) CloseWrite() error {
	c.holder.SetWaiting(true)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

func countRefusal(reason string) {
	metrics.GetOrCreateCounter(`pier_quota_refused_total{reason="` + reason + `"}`).Inc()
}
