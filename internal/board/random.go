package board

import "github.com/corianderpier/corianderpier/internal/clock"

const (
	propagationTime  = 10 * clock.Millis(1) // time until other instances have received a placement
	choicesPerUnseen = 3.0                  // engines to choose from at random, per placement not received yet
	maxChoicesShare  = 0.25                 // of the engines: the most to choose from at random
	equalCostMargin  = 0.03                 // of the request's value, per unseen placement and at least one: costs that differ by less count as equal
)

// randomness says among which engines a choice is random.
type randomness struct {
	choices int     // most engines to choose from
	margin  float64 // of the request's value: the most by which their costs differ
}

// randomness returns how random choices are now. Placements that other instances have made within the last propagationTime
// are not known here yet, so without it all instances would choose the same engine. Each such placement may have made the
// cheapest engine dearer, so that a larger difference counts as equal the more there are.
func (b *Board) randomness(now clock.Millis, engines int) randomness {
	unseen := b.remotePlacements.perSecond(now) * float64(propagationTime) / float64(clock.Second)
	return randomness{
		choices: 1 + int(min(choicesPerUnseen*unseen, maxChoicesShare*float64(engines))),
		margin:  equalCostMargin * max(1, unseen),
	}
}
