package detour

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// CallKind is the kind of the connections between instances that are carried to targets.
const CallKind = "detour"

const (
	carrierTimeout = 150 * clock.Millis(1) // of a carrier's dial
	connsPerCore   = 640.0                 // that an instance carries at once, by its processing power
	minCarried     = 16                    // that any instance carries at once
	carriedBytes   = 32 << 10              // of memory for one: two buffers, and the goroutines of both directions

	idlePollInterval = 10 * clock.Millis(1) // while it waits until none is carried
	deliveryTime     = 50 * clock.Millis(1) // for the last bytes of a carried connection to reach the other instance
)

var carriedRefusals = metrics.NewCounter(`pier_quota_refused_total{reason="carried"}`)

// Target is a process to which a connection is opened.
type Target struct {
	ID      string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Control bool   `cbor:"3,keyasint,omitempty"` // the connection is for an order or a report, which also a target that leaves takes
	Request string `cbor:"4,keyasint,omitempty"` // id of the request, for logs
	Origin  string `cbor:"5,keyasint,omitempty"` // address, for other instances, of the one whose connection is carried
}

// Result says what a carrier made of a connection.
type Result string

// The results of a carrier.
const (
	Joined     Result = "joined"
	NotReached Result = "not_reached" // its own link to the target fails as well, or the target is gone
	NotAllowed Result = "not_allowed" // it does not know the target, or the target takes no requests
	Busy       Result = "busy"        // it carries as many connections as it may, or has no memory for another
	Cut        Result = "cut"         // it has lost its links to targets itself, or it stops
)

// Reply is a carrier's answer to the request for a connection.
type Reply struct {
	Result Result `cbor:"1,keyasint"`
}

// Carrier joins connections of other instances with targets.
type Carrier struct {
	Direct   func(ctx context.Context, t Target) (net.Conn, error)
	Allowed  func(t Target) bool // whether this instance knows the target, and would send it a request of its own
	Closed   func() bool         // whether this instance takes no further connections
	Capacity float64             // of this instance, in cores; zero if unknown
	Account  *quota.Account      // for the memory of the connections; nil for none

	active  atomic.Int64
	mu      sync.Mutex
	origins map[carriedKey]int // number of connections that are carried
}

// carriedKey is what connections that are carried have in common.
type carriedKey struct {
	addr   string // of the target
	origin string // see Target
}

// Active returns the number of connections that are carried now.
func (c *Carrier) Active() int { return int(c.active.Load()) }

// WaitIdle waits until no connection is carried, and the last bytes have been delivered.
func (c *Carrier) WaitIdle(ctx context.Context) error {
	if c.Active() == 0 {
		return nil
	}
	for c.Active() > 0 {
		if err := clock.Sleep(ctx, idlePollInterval); err != nil {
			return err
		}
	}
	return clock.Sleep(ctx, deliveryTime)
}

// Accept is the peer.ConnHandler for CallKind.
func (c *Carrier) Accept(ctx context.Context, from string, body []byte) (net.Conn, any) {
	var t Target
	if err := cbor.Unmarshal(body, &t); err != nil {
		slog.Info("request for a connection not decoded", "from", from, "error", err.Error())
		return nil, Reply{NotAllowed}
	}
	conn, result := c.open(ctx, t)
	metrics.GetOrCreateCounter(`pier_detour_carried_total{result="` + string(result) + `"}`).Inc()
	slog.Info("connection for another instance", "request", t.Request, "target", t.ID, "from", from, "result", result, "active", c.Active())
	return conn, Reply{result}
}

// open dials the target, if this instance may and has room.
func (c *Carrier) open(ctx context.Context, t Target) (net.Conn, Result) {
	switch {
	case c.Closed():
		return nil, Cut
	case !c.Allowed(t):
		return nil, NotAllowed
	case c.active.Add(1) > c.limit():
		c.active.Add(-1)
		return nil, Busy
	}
	holder := c.Account.Open(func(quota.Reason) {})
	holder.SetWaiting(false) // for a target and the other instance, not for a caller of this one
	if err := holder.Reserve(carriedBytes); err != nil {
		c.active.Add(-1)
		holder.Close()
		carriedRefusals.Inc()
		return nil, Busy
	}
	ctx, cancel := context.WithTimeout(ctx, carrierTimeout.Duration())
	defer cancel()
	conn, err := c.Direct(ctx, t)
	if err != nil {
		c.active.Add(-1)
		holder.Close()
		return nil, NotReached
	}
	c.count(t, 1)
	return &carriedConn{Conn: conn, onClose: func() {
		holder.Close()
		c.count(t, -1)
		c.active.Add(-1)
	}}, Joined
}

// count changes the number of connections that are carried to a target for an instance.
func (c *Carrier) count(t Target, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.origins == nil {
		c.origins = make(map[carriedKey]int)
	}
	key := carriedKey{t.Addr, t.Origin}
	if c.origins[key] += change; c.origins[key] == 0 {
		delete(c.origins, key)
	}
}

// Origins returns the instances for which connections to an address are carried.
func (c *Carrier) Origins(addr string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var origins []string
	for key := range c.origins {
		if key.addr == addr && key.origin != "" {
			origins = append(origins, key.origin)
		}
	}
	return origins
}

// limit returns how many connections this instance carries at once.
func (c *Carrier) limit() int64 {
	return max(minCarried, int64(connsPerCore*c.Capacity))
}

// carriedConn is a connection to a target that is counted until it is closed.
type carriedConn struct {
	net.Conn
	onClose func()
	once    sync.Once
}

// Close closes the connection.
func (c *carriedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
