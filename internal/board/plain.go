package board

import (
	"math/rand/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	zoneCost     = 0.3  // added to the load of a target in another zone, in requests
	failureCost  = 4    // added to the load for a failure rate of 1
	tieBreakCost = 0.01 // most that is added to the load at random, so that equal targets share the requests
	slowFactor   = 2.5  // multiple of the fastest target's answer time above which a target counts as slow
	startLoad    = 1.0  // added to the load of a target that has just started, as if all its slots were in use; decays
	slowCost     = 0.2  // added to a slow target's load per multiple of the fastest answer time
)

// choosePlain returns the target of a plain service with the least load. The load is the share of its slots that are in use,
// increased for failures, slow answers, another zone and a recent start.
func choosePlain(now clock.Millis, zone string, targets []*targetState) choice {
	fastest := 0.0
	for _, s := range targets {
		if t := s.recentAnswerTime(now); t > 0 && (fastest == 0 || t < fastest) {
			fastest = t
		}
	}
	best := choice{}
	for _, s := range targets {
		cost := float64(s.runningCount())/float64(max(s.Slots, 1)) + failureCost*s.failureRate(now) + tieBreakCost*rand.Float64()
		cost += startLoad * s.cold.startWeight(now)
		if s.Zone != zone {
			cost += zoneCost / float64(max(s.Slots, 1))
		}
		if t := s.recentAnswerTime(now); t > slowFactor*fastest {
			cost += slowCost * t / fastest
		}
		if best.primary == nil || cost < best.cost {
			best = choice{primary: s, cost: cost}
		}
	}
	return best
}
