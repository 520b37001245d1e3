package board

import (
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// bucket is a token bucket of requests. It may be charged with more than it has, as placements of other instances are known a little
// later; the debt delays later requests.
type bucket struct {
	rate       float64 // tokens per second
	burst      float64 // most tokens
	tokens     float64 // as of refilledAt; below zero if too much was taken
	refilledAt clock.Millis
}

// set changes the rate and the burst from now on.
func (k *bucket) set(now clock.Millis, rate, burst float64) {
	k.refill(now)
	k.rate, k.burst = rate, burst
}

// refill adds the tokens since the last call.
func (k *bucket) refill(now clock.Millis) {
	k.tokens = min(k.burst, k.tokens+k.rate*(now-k.refilledAt).Seconds())
	k.refilledAt = now
}

// allows reports whether a request may be sent.
func (k *bucket) allows(now clock.Millis) bool {
	k.refill(now)
	return k.tokens >= 1
}

// take counts a request.
func (k *bucket) take(now clock.Millis) {
	k.refill(now)
	k.tokens--
}

// limitDebt forgets what was taken beyond a number of missing tokens.
func (k *bucket) limitDebt(most float64) { k.tokens = max(k.tokens, -most) }

// wait returns the time until a request may be sent, if none is sent before; at most an hour.
func (k *bucket) wait(now clock.Millis) clock.Millis {
	if k.allows(now) {
		return 0
	}
	return clock.Millis(math.Ceil(min((1-k.tokens)/k.rate, clock.Hour.Seconds()) * float64(clock.Second)))
}
