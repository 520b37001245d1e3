package board

import (
	"math"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// flow sums up what came lately.
type flow struct {
	span clock.Millis // over which a rate is taken
	sum  float64      // decaying
	at   clock.Millis
}

// add counts some more.
func (f *flow) add(now clock.Millis, amount float64) {
	f.sum = f.decayed(now) + amount
	f.at = now
}

// rate returns how much comes in a second.
func (f *flow) rate(now clock.Millis) float64 {
	return f.decayed(now) * float64(clock.Second) / float64(f.span)
}

func (f *flow) decayed(now clock.Millis) float64 {
	return f.sum * math.Exp(-float64(now-f.at)/float64(f.span))
}
