package quota

import (
	"context"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const unreadTime = 100 * clock.Millis(1) // without progress after which a write counts as one that the caller does not read

// Reason says what a holder was closed for.
type Reason string

// The reasons.
const (
	Memory Reason = "memory" // others needed its bytes
	Files  Reason = "files"  // another connection needed its descriptor
)

// Holder is a connection that reserves bytes of an account. A nil holder reserves nothing and is never refused.
type Holder struct {
	account *Account
	onEvict func(Reason)

	// Guarded by the lock of the account.
	held       int64
	kept       int64        // of these, what Reset leaves
	progressAt clock.Millis // when the last byte was read or written
	waiting    bool         // for its caller, who owes a head or a body
	writing    bool         // what the caller has to read
	evicted    bool
	ended      bool
}

// Reserve adds bytes, or refuses them.
func (h *Holder) Reserve(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	return h.account.reserve(h, n)
}

// Keep adds bytes that stay reserved until Close, or refuses them.
func (h *Holder) Keep(n int64) error {
	if h == nil {
		return nil
	}
	if err := h.Reserve(n); err != nil {
		return err
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.kept += n
	return nil
}

// Adjust reserves exactly so many bytes beyond those that are kept: it adds what is missing, or refuses that, and gives back the rest.
func (h *Holder) Adjust(n int64) error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	missing := n - (h.held - h.kept)
	h.give(max(0, -missing))
	h.account.mu.Unlock()
	return h.Reserve(missing)
}

// Release gives bytes back.
func (h *Holder) Release(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.give(min(n, h.held-h.kept))
}

// Reset gives back all bytes but those that are kept. The holder waits for its caller's next request.
func (h *Holder) Reset() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.give(h.held - h.kept)
	h.waiting, h.progressAt = true, h.account.Now()
}

// Progress records that a byte was read or written.
func (h *Holder) Progress() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progressAt = h.account.Now()
}

// SetWaiting says whether the caller has to act next, which counts as progress.
func (h *Holder) SetWaiting(waiting bool) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.waiting, h.progressAt = waiting, h.account.Now()
}

// SetWriting says whether bytes are being written that the caller has to read, which counts as progress.
func (h *Holder) SetWriting(writing bool) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.writing, h.progressAt = writing, h.account.Now()
}

// closable reports whether the holder may be closed for others: its caller has to act, and for a write has not done so for a while. Call
// it with the lock held.
func (h *Holder) closable(now clock.Millis) bool {
	return !h.evicted && (h.waiting || h.writing && now-h.progressAt >= unreadTime)
}

// Close ends the holder and gives back all its bytes. It may be called again.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	h.give(h.held)
	h.kept = 0
	h.evicted = true // it gets no further bytes
	delete(h.account.holders, h)
}

// give gives bytes back; call it with the lock held.
func (h *Holder) give(n int64) {
	h.held -= n
	if h.evicted {
		h.account.leaving -= n
	} else {
		h.account.used -= n
	}
}

// holderKey is the key of a holder in a context.
type holderKey struct{}

// WithHolder returns a context that carries a holder.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// HolderOf returns the holder that a context carries, or nil.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}
