package board

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// coldSendDelay is the time for which the token that a placement took covers its sending. A direct dial takes a few milliseconds; a
// request that is sent later has waited for leases, a slow dial or a carrier, and others may have waited with it.
const coldSendDelay = 100 * clock.Millis(1)

// MaySend reports whether the request may be sent to its target now that the connection is open. If the target is cold, requests that
// have waited for long are sent at no more than the rate of this instance, and one that was placed before the target became cold needs a
// token. A request that may not be sent is to be placed anew.
func (p *Placement) MaySend() bool {
	b := p.board
	if !b.anyLimited.Load() {
		return true // each request asks, so that this costs a call to the loop only while a target is cold
	}
	may := true
	b.Loop.Call(func() { may = b.maySend(clock.Now(), p) })
	return may
}

// maySend is MaySend on the control loop.
func (b *Board) maySend(now clock.Millis, p *Placement) bool {
	s := b.targets[p.Target.ID]
	if s == nil || !b.limitCold(now, s) {
		return true
	}
	covered := p.tokenTaken && p.Target.Born == s.Born
	if reason := b.sendHindrance(now, s, covered, now-b.placedAt[p.number] > coldSendDelay); reason != "" {
		metrics.GetOrCreateCounter(`pier_board_cold_unsent_total{reason="` + reason + `"}`).Inc()
		return false
	}
	if !covered {
		b.chargeCold(now, s, true)
	}
	s.cold.sent.take(now)
	return true
}

// sendHindrance returns why a request may not be sent to a target with limited rates now, or the empty string. The request is covered if
// it took a token of the target when it was placed.
func (b *Board) sendHindrance(now clock.Millis, s *targetState, covered, late bool) string {
	switch {
	case covered && !late:
		return ""
	case !s.cold.sent.allows(now):
		return "late"
	case covered:
		return ""
	default:
		return b.coldHindrance(now, s)
	}
}
