package board

import (
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// rateWindow is over what time the rate of placements is taken.
const rateWindow = clock.Second

// placementRate counts what other instances have placed lately.
type placementRate struct {
	count float64 // decaying
	at    clock.Millis
}

// add counts a placement.
func (n *placementRate) add(now clock.Millis) {
	n.count = n.decayed(now) + 1
	n.at = now
}

// perSecond returns the placements a second.
func (n *placementRate) perSecond(now clock.Millis) float64 {
	return n.decayed(now) * float64(clock.Second) / float64(rateWindow)
}

func (n *placementRate) decayed(now clock.Millis) float64 {
	return n.count * math.Exp(-float64(now-n.at)/float64(rateWindow))
}
