package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	minLookSpread    = 500 * clock.Millis(1) // over which instances with an old confirmation spread their looks at the source
	maxLookDoublings = 3                     // of the spread while these looks fail
)

// Confirmation tells how long ago the source had nothing newer than a version.
type Confirmation struct {
	Version Version      `cbor:"1,keyasint"`
	Age     clock.Millis `cbor:"2,keyasint"`
	Digest  uint64       `cbor:"3,keyasint,omitempty"` // of the value; zero if the version alone says what it is
}

// ConfirmedAt returns when the source last had nothing newer than the active version, as this instance or a peer has seen, or zero
// if neither has.
func (f *Feed) ConfirmedAt() clock.Millis { return clock.Millis(f.confirmedAt.Load()) }

// Confirmation returns what this instance can tell peers of its version, or nil if it knows nothing.
func (f *Feed) Confirmation() *Confirmation {
	at := f.ConfirmedAt() // before the version, which may only be newer by now
	if at == 0 {
		return nil
	}
	active := f.current.Load()
	c := &Confirmation{Version: active.Version, Age: max(clock.Now()-at, 0)}
	if active.AsOf > 0 {
		c.Digest = active.digest
	}
	return c
}

// Confirm takes over what a peer tells. If the peer has a newer version, or another value of the same version, that is read from it
// instead.
func (f *Feed) Confirm(c *Confirmation, peer string) {
	if c == nil || c.Age < 0 {
		return
	}
	active := f.current.Load()
	switch {
	case active == nil || c.Version.After(active.Version):
		f.Hint(c.Version, peer)
	case c.Version == active.Version && c.Digest != 0 && c.Digest != active.digest:
		metrics.GetOrCreateCounter(`pier_feed_differing_total{feed="` + f.Name + `"}`).Inc()
		f.send(hint{c.Version, peer, c.Digest})
	default:
		f.raiseConfirmedAt(clock.Now() - c.Age)
	}
}

// knowsLater reports whether a peer's confirmation is so much earlier than that of this instance that the peer is to be told.
func (f *Feed) knowsLater(c *Confirmation) bool {
	return c != nil && clock.Now()-c.Age+gossipStep <= f.ConfirmedAt()
}

// raiseConfirmedAt records a time at which the source had nothing newer than the active version.
func (f *Feed) raiseConfirmedAt(at clock.Millis) {
	if raise(&f.confirmedAt, int64(at)) && f.OnConfirmed != nil {
		f.OnConfirmed()
	}
}

// keepFresh looks at the source whenever nobody has told for MaxAge that the active version is the newest: those that watch may be
// unable to reach the source, or to tell. Looks come at random moments, so that the first one that succeeds, of which all others are
// told, spares most of them theirs.
func (f *Feed) keepFresh(ctx context.Context) {
	if f.MaxAge == 0 {
		return
	}
	since, failed := clock.Now(), 0
	for ctx.Err() == nil {
		if f.Current().IsZero() {
			_ = clock.Sleep(ctx, retryDelay)
			since = clock.Now()
			continue
		}
		if left := max(since, f.ConfirmedAt()) + f.MaxAge - clock.Now(); left > 0 {
			failed = 0
			_ = clock.Sleep(ctx, left)
			continue
		}
		_ = clock.Sleep(ctx, f.lookPause(failed))
		if f.stale() && !f.watchFails() && ctx.Err() == nil {
			failed++
			f.look(ctx)
		}
	}
}

// look polls the source because the active version was not confirmed for too long. What it finds is new to others as well, some of
// whom may not look.
func (f *Feed) look(ctx context.Context) {
	metrics.GetOrCreateCounter(`pier_feed_looks_total{feed="` + f.Name + `"}`).Inc()
	version, age := f.Current().Version, clock.Now()-f.ConfirmedAt()
	slog.Info("object not confirmed, source polled", "feed", f.Name, "version", version.String(), "age", age.String())
	f.poll(ctx)
	if f.OnFound != nil && f.Current().Version.After(version) {
		f.OnFound()
	}
}

// stale reports whether the active version was not confirmed for MaxAge.
func (f *Feed) stale() bool { return clock.Now()-f.ConfirmedAt() >= f.MaxAge }

// watchFails reports whether this instance watches the source and retries that anyway.
func (f *Feed) watchFails() bool { return f.failing.Load() && f.ShouldWatch() }

// lookPause returns the time until a look, after a number of looks in a row that have failed.
func (f *Feed) lookPause(failed int) clock.Millis {
	spread := minLookSpread
	if f.LookSpread != nil {
		spread = max(spread, f.LookSpread())
	}
	spread <<= min(failed, maxLookDoublings)
	return 1 + clock.Millis(rand.Int64N(int64(spread)))
}
