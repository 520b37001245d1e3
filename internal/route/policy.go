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
	sampledTargets     = 2                    // random targets compared for each request (power of two choices)
	sharedSlotsPercent = 90                   // of the slots; with more in use, each instance stays within its even share
	affinityMaxDelay   = 50 * clock.Millis(1) // additional prefill delay accepted for the target that has the prefix cached
)

// Policy determines how requests are queued and how their targets are chosen.
type Policy struct {
	Name          string
	RejectLate    bool // refuses requests that cannot finish by their deadline
	Priorities    bool // queues by customer and priority, and passes priorities to engines
	ReserveLong   bool // long prompts reserve memory first
	BindAtArrival bool // chooses the target of a request when it arrives, and queues it there
	// Pick returns one of the candidates, or nil if the request has to wait.
	Pick func(t *Table, now clock.Millis, s config.Service, r Request, candidates []*targetState) *targetState
}

// Policies returns all policies: balanced, the default, and the baselines that it is measured against.
func Policies() []Policy {
	return []Policy{
		{Name: "balanced", RejectLate: true, Priorities: true, ReserveLong: true, Pick: pickBalanced},
		{Name: "roundrobin", Pick: pickRoundRobin},
		{Name: "least", Pick: pickLeast},
		{Name: "fifo", BindAtArrival: true, Pick: pickFIFO},
	}
}

// PolicyNamed returns the policy with the given name.
func PolicyNamed(name string) (Policy, bool) {
	all := Policies()
	i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name })
	if i < 0 {
		return Policy{}, false
	}
	return all[i], true
}

// pickBalanced takes the better of two random targets with free slots: the one with the shorter prefill delay, then with
// fewer requests. The target that probably has the prefix cached goes first unless its delay is longer by more than
// affinityMaxDelay.
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

// hasSlot reports whether a target can take one more request of this instance. Unless an engine lacks memory, an instance
// may always use its even share of the slots; beyond that, the estimated number of requests from all instances decides.
func (t *Table) hasSlot(now clock.Millis, s config.Service, ts *targetState, r Request) bool {
	slots := ts.slotLimit(now, s.SlotsPerTarget)
	instances := max(1, len(t.View().Live()))
	if s.Kind == config.Engine && ts.freeMemory(s.MemoryTokens) < r.PromptTokens+r.MaxOutputTokens && ts.estimateRequests(now) > 0 {
		return false
	}
	if len(ts.ownSlots) < slots/instances {
		return true
	}
	return ts.estimateRequests(now) < slots*sharedSlotsPercent/100 && len(ts.ownSlots) < slots
}

// affineTarget returns the target that all requests with this prefix prefer, by rendezvous hash.
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

// pickFIFO gives the target that a request is bound to one prompt of this instance at a time.
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
