package board

import (
	"math/rand/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	zoneCost     = 0.3  // slots that a plain target in another zone seems busier
	failureCost  = 4    // times a plain target's slots that it seems busier if all of its requests fail
	tieBreakCost = 0.01 // of a target's slots, at random, so that equal targets are taken in turn
	slowFactor   = 2.5  // as long as the fastest target's answers: a plain target that takes longer is slow
	slowCost     = 0.2  // of a target's slots that it seems busier for each time as long as the fastest
)

// choosePlain prefers targets that answer soon, with few requests, near, and without failures.
func choosePlain(now clock.Millis, zone string, nodes []*targetState) choice {
	fastest := 0.0
	for _, n := range nodes {
		if t := n.recentAnswerTime(now); t > 0 && (fastest == 0 || t < fastest) {
			fastest = t
		}
	}
	best := choice{}
	for _, n := range nodes {
		cost := float64(n.runningCount())/float64(max(n.Slots, 1)) + failureCost*n.failureRate(now) + tieBreakCost*rand.Float64()
		if n.Zone != zone {
			cost += zoneCost / float64(max(n.Slots, 1))
		}
		if t := n.recentAnswerTime(now); t > slowFactor*fastest {
			cost += slowCost * t / fastest
		}
		if best.primary == nil || cost < best.cost {
			best = choice{primary: n, cost: cost}
		}
	}
	return best
}
