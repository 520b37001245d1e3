package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
)

const (
	sampledTargets     = 2                    // random targets compared for each request
	sharedSlotsPercent = 90                   // percent of a target's slots given out by estimate beyond the own share
	affinityMaxDelay   = 50 * clock.Millis(1) // by which the target with a likely cached prefix may be later
)

// Policy is a way to choose targets.
type Policy struct {
	Name          string
	RejectLate    bool // refuses what cannot finish in time
	Priorities    bool // passes priorities to the engines
	ReserveLong   bool // long prompts reserve memory first
	BindAtArrival bool // binds a request to a target when it arrives
	Pick          func(t *Table, now clock.Millis, s config.Service, r Request, candidates []*targetState) *targetState
}

// Policies returns the policies by name: the one of the product and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "balanced", RejectLate: true, Priorities: true, ReserveLong: true, Pick: pickBalanced},
		{Name: "roundrobin", Pick: pickRoundRobin},
		{Name: "least", Pick: pickLeast},
		{Name: "fifo", BindAtArrival: true, Pick: pickFIFO},
	}
}

// PolicyNamed finds a policy.
func PolicyNamed(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// pickBalanced compares two random targets with free slots, and the one that likely has the prefix cached.
func pickBalanced(t *Table, now clock.Millis, s config.Service, r Request, candidates []*targetState) *targetState {
	free := slices.DeleteFunc(slices.Clone(candidates), func(ts *targetState) bool { return !t.hasSlot(now, s, ts, r) })
	if len(free) == 0 {
		return nil
	}
	affine := affineTarget(candidates, r.Prefix)
	rand.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	best := free[0]
	for _, ts := range free[1:min(sampledTargets, len(free))] {
		if ts.prefillDelay(now) < best.prefillDelay(now) || (ts.prefillDelay(now) == best.prefillDelay(now) && ts.estimateRequests(now) < best.estimateRequests(now)) {
			best = ts
		}
	}
	if affine != nil && affine.prefillDelay(now) <= best.prefillDelay(now)+affinityMaxDelay && t.hasSlot(now, s, affine, r) {
		return affine
	}
	return best
}

// hasSlot reports whether a target takes one more request of this instance: within its even share always, beyond it by estimate.
func (t *Table) hasSlot(now clock.Millis, s config.Service, ts *targetState, r Request) bool {
	slots := ts.slotLimit(now, s.SlotsPerTarget)
	instances := max(1, len(t.View().Live()))
	if s.Kind == config.Engine && ts.freeMemory(s.MemoryTokens) < r.Tokens+r.Output && ts.estimateRequests(now) > 0 {
		return false
	}
	if len(ts.ownSlots) < slots/instances {
		return true
	}
	return ts.estimateRequests(now) < slots*sharedSlotsPercent/100 && len(ts.ownSlots) < slots
}

// affineTarget returns the target that requests with the same prefix share.
func affineTarget(candidates []*targetState, prefix uint64) *targetState {
	if prefix == 0 {
		return nil
	}
	var best *targetState
	var bestScore uint64
	for _, ts := range candidates {
		score := xxhash.Sum64String(ts.ID) ^ prefix
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 32
		if best == nil || score > bestScore {
			best, bestScore = ts, score
		}
	}
	return best
}

func pickRoundRobin(t *Table, _ clock.Millis, s config.Service, _ Request, candidates []*targetState) *targetState {
	sortByID(candidates)
	t.roundRobin[s.Name]++
	return candidates[t.roundRobin[s.Name]%len(candidates)]
}

func pickLeast(_ *Table, now clock.Millis, _ config.Service, _ Request, candidates []*targetState) *targetState {
	sortByID(candidates)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(a, b *targetState) int { return a.estimateRequests(now) - b.estimateRequests(now) })
}

// pickFIFO has the target that a request is bound to process one prompt of this instance at a time.
func pickFIFO(_ *Table, _ clock.Millis, _ config.Service, _ Request, candidates []*targetState) *targetState {
	ts := candidates[0]
	if ts.prefilling {
		return nil
	}
	ts.prefilling = true
	return ts
}

func sortByID(candidates []*targetState) {
	sort.Slice(candidates, func(i, j int) bool { return strings.Compare(candidates[i].ID, candidates[j].ID) < 0 })
}
