package board

import (
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	limitBurst      = clock.Second / 2 // time whose part of a limit may be sent at once, in addition to one request
	minLimit        = 0.1              // requests per second that are sent to a target with a lower limit, as only its answers tell when the limit ends
	limitProbeShare = 0.25             // of a limit, which probes may take
)

// TargetLimit is the rate limit of a target as instances broadcast it.
type TargetLimit struct {
	Target    string  `cbor:"1,keyasint"`
	Named     bool    `cbor:"2,keyasint,omitempty"` // false if the target names none any more
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// rateLimit is the limit that a target names for the requests that all instances together send to it.
type rateLimit struct {
	bucket
	named       bool         // the target names a limit
	perSecond   float64      // as named
	namedAt     clock.Millis // when an answer last named it
	lastProbeAt clock.Millis
}

// set applies a limit that a target names, or the end of a limit. It reports whether that is news.
func (l *rateLimit) set(now clock.Millis, limit *float64) bool {
	if limit == nil {
		changed := l.named
		*l = rateLimit{}
		return changed
	}
	if !l.named {
		*l = rateLimit{bucket: bucket{refilledAt: now}}
	}
	changed := !l.named || l.perSecond != *limit
	l.named, l.perSecond, l.namedAt = true, *limit, now
	rate := max(l.perSecond, minLimit)
	l.bucket.set(now, rate, 1+rate*limitBurst.Seconds())
	return changed
}

// allows reports whether a request may be sent.
func (l *rateLimit) allows(now clock.Millis) bool { return !l.named || l.bucket.allows(now) }

// take counts a request.
func (l *rateLimit) take(now clock.Millis) {
	if l.named {
		l.bucket.take(now)
	}
}

// probeDue reports whether the target may be probed, and records that it is.
func (l *rateLimit) probeDue(now clock.Millis) bool {
	if l.named && !l.probeShareDue(now, l.rate) {
		return false
	}
	l.lastProbeAt = now
	return true
}

// probeShareDue reports whether the share of a rate that probes may take allows one.
func (l *rateLimit) probeShareDue(now clock.Millis, rate float64) bool {
	return (now-l.lastProbeAt).Seconds()*limitProbeShare*rate >= 1
}

// mayUse reports whether this instance may place a request on a target now without exceeding its rate limit. An instance
// that does not hear of all placements there leaves the target to those that do. If the target is cold, wait says after how long it
// may take a request.
func (b *Board) mayUse(now clock.Millis, s *targetState) (ok bool, wait clock.Millis) {
	if s.limit.named && b.HearsPlacements != nil && !b.HearsPlacements(s.ID) || !s.limit.allows(now) {
		return false, 0
	}
	return b.coldAllows(now, s)
}

// RecordRateLimit records the rate limit that the target names in an answer, or that it names none, and broadcasts changes.
// An answer without a limit ends one only if its request was placed after the limit was last named: it may have been on its
// way since before.
func (p *Placement) RecordRateLimit(limit *float64) {
	b := p.board
	if limit == nil && !b.limitNamed.Load() {
		return
	}
	b.limitNamed.Store(true)
	b.Loop.Post(func() {
		s := b.targets[p.Target.ID]
		if s == nil || limit == nil && (!s.limit.named || b.placedAt[p.number] < s.limit.namedAt) {
			return
		}
		if !s.limit.set(clock.Now(), limit) {
			return
		}
		change := TargetLimit{Target: s.ID, Named: limit != nil, PerSecond: s.limit.perSecond}
		slog.Info("rate limit of target changed", "target", s.ID, "named", change.Named, "per_second", change.PerSecond)
		metrics.GetOrCreateCounter(`pier_board_target_limit_changed_total`).Inc()
		b.pending.Limits = append(b.pending.Limits, change)
		b.flush()
	})
}

// applyLimit applies a rate limit that another instance has broadcast.
func (b *Board) applyLimit(change TargetLimit) {
	s := b.targets[change.Target]
	if s == nil {
		return
	}
	if !change.Named {
		s.limit.set(clock.Now(), nil)
		return
	}
	b.limitNamed.Store(true)
	s.limit.set(clock.Now(), &change.PerSecond)
}
