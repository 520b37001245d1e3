package board

import (
	"math/rand/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	zoneCost  = 0.3  // slots that a plain target in another zone seems busier
	riskCost  = 4    // times a plain target's slots that it seems busier if all of its requests fail
	tieCost   = 0.01 // of a target's slots, at random, so that equal targets are taken in turn
	slowTimes = 2.5  // as long as the fastest target's answers: a plain target that takes longer is slow
	slowCost  = 0.2  // of a target's slots that it seems busier for each time as long as the fastest
)

// choosePlain prefers targets that answer soon, with few requests, near, and without failures.
func choosePlain(now clock.Millis, zone string, nodes []*node) pick {
	fastest := 0.0
	for _, n := range nodes {
		if t := n.usual(now); t > 0 && (fastest == 0 || t < fastest) {
			fastest = t
		}
	}
	best := pick{}
	for _, n := range nodes {
		cost := float64(n.running())/float64(max(n.Slots, 1)) + riskCost*n.risk(now) + tieCost*rand.Float64()
		if n.Zone != zone {
			cost += zoneCost / float64(max(n.Slots, 1))
		}
		if t := n.usual(now); t > slowTimes*fastest {
			cost += slowCost * t / fastest
		}
		if best.first == nil || cost < best.cost {
			best = pick{first: n, cost: cost}
		}
	}
	return best
}
