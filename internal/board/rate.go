package board

import (
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// rateWindow is the time constant of the exponential decay by which the rate of placements is averaged.
const rateWindow = clock.Second

// placementRate estimates the rate at which requests are placed, by an exponentially decaying count.
type placementRate struct {
	count float64      // placements, decayed to the time at
	at    clock.Millis // time of the last placement
}

// add counts a placement.
func (r *placementRate) add(now clock.Millis) {
	r.count = r.decayed(now) + 1
	r.at = now
}

// perSecond returns the placements per second.
func (r *placementRate) perSecond(now clock.Millis) float64 {
	return r.decayed(now) * float64(clock.Second) / float64(rateWindow)
}

// decayed returns the count as of now.
func (r *placementRate) decayed(now clock.Millis) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(rateWindow))
}
