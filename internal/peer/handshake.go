package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"github.com/corianderpier/corianderpier/internal/quota"
)

const (
	handshakeBytes    = 64 << 10 // of memory for a handshake: 42 KB were measured for one that is not completed
	handshakePart     = 8        // handshakes may use one part in so many of the account
	uncheckedAttempts = 16       // handshakes at once for which the address of the other end is not validated first
)

var handshakeRefusals = metrics.NewCounter(`pier_quota_refused_total{reason="handshake"}`)

// handshakeLog bounds the log lines about handshakes that are refused.
var handshakeLog = rate.Sometimes{First: 10, Interval: time.Second}

// handshake is an incoming connection whose other end has not shown yet that it has the cluster key.
type handshake struct {
	node   *Node
	holder *quota.Holder
	once   sync.Once
}

// handshakeKey is the key of a handshake in the context of its connection.
type handshakeKey struct{}

// limitHandshakes makes the transport count handshakes and charge them to the account.
func (n *Node) limitHandshakes() {
	if n.Account == nil || n.Account.Max <= 0 {
		return
	}
	n.transport.VerifySourceAddress = func(net.Addr) bool { return n.handshakes.Load() >= uncheckedAttempts }
	n.transport.ConnContext = n.beginHandshake
}

// beginHandshake charges a handshake, or refuses it.
func (n *Node) beginHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	h := &handshake{node: n, holder: n.Account.Open(func(quota.Reason) {})}
	h.holder.SetWaiting(false) // there is no connection yet that could be closed for others
	count := n.handshakes.Add(1)
	if count*handshakeBytes > max(n.Account.Max/handshakePart, uncheckedAttempts*handshakeBytes) {
		h.refuse(info)
		return nil, &Error{Op: "handshake", Kind: Failed}
	}
	if err := h.holder.Reserve(handshakeBytes); err != nil {
		h.refuse(info)
		return nil, &Error{Op: "handshake", Kind: Failed, Err: err}
	}
	context.AfterFunc(ctx, h.end)
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// refuse records that a handshake is refused.
func (h *handshake) refuse(info *quic.ClientInfo) {
	h.end()
	handshakeRefusals.Inc()
	handshakeLog.Do(func() {
		slog.Info("handshake of a peer refused", "from", info.RemoteAddr.String(), "pending", h.node.handshakes.Load())
	})
}

// end gives back what the handshake holds, when it is complete or has failed.
func (h *handshake) end() {
	h.once.Do(func() {
		h.holder.Close()
		h.node.handshakes.Add(-1)
	})
}

// endHandshake records that the handshake of a connection is complete.
func endHandshake(conn *quic.Conn) {
	if h, ok := conn.Context().Value(handshakeKey{}).(*handshake); ok {
		h.end()
	}
}
