package board

import (
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// newsSpan is over what time the rate of placements is taken.
const newsSpan = clock.Second

// news counts what other instances have placed lately.
type news struct {
	count float64 // decaying
	at    clock.Millis
}

// add counts a placement.
func (n *news) add(now clock.Millis) {
	n.count = n.decayed(now) + 1
	n.at = now
}

// rate returns the placements a second.
func (n *news) rate(now clock.Millis) float64 {
	return n.decayed(now) * float64(clock.Second) / float64(newsSpan)
}

func (n *news) decayed(now clock.Millis) float64 {
	return n.count * math.Exp(-float64(now-n.at)/float64(newsSpan))
}
