package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/member"
)

// CellOf returns the index of the cell that a prompt with this prefix belongs to, and the live instances ranked for it:
// the first is the home of the cell.
func CellOf(view member.View, service string, engineCount int, prefix uint64) (int, []member.Member) {
	cells := max(1, engineCount/enginesPerCell)
	index := int(prefix % uint64(cells))
	return index, view.Rank(cellKey(service, index))
}

// allocate chooses the engines for a prompt: among those with enough free memory the one with the fewest grants and the
// shortest prefill delay, or several engines if the prompt is too large for one. It returns nil if the prompt has to wait.
func (l *Ledger) allocate(c *cell, r MemoryRequest) []Allocation {
	service := l.service(c)
	engines := l.usableEngines(c, r.Model, r.Exclude)
	free := make(map[string]int, len(engines))
	running := make(map[string]int, len(engines))
	for _, g := range c.grants {
		for _, allocation := range g.Allocations {
			free[allocation.Target] -= allocation.Tokens
			running[allocation.Target]++
		}
	}
	for _, ts := range engines {
		free[ts.ID] += longPromptMemory(service, ts) - c.inherited[ts.ID]
	}
	now := clock.Now()
	sort.Slice(engines, func(i, j int) bool {
		a, b := engines[i], engines[j]
		if running[a.ID] != running[b.ID] {
			return running[a.ID] < running[b.ID]
		}
		return a.prefillDelay(now) < b.prefillDelay(now)
	})
	for _, ts := range engines {
		if free[ts.ID] >= r.Tokens && running[ts.ID] < maxGrantsPerEngine {
			return []Allocation{{Target: ts.ID, Addr: ts.Addr, Tokens: r.Tokens}}
		}
	}
	return allocateSpread(engines, free, r, longPromptMemory(service, nil))
}

// allocateSpread divides a prompt that is larger than perEngine over as few engines as possible. It returns nil if their
// free memory does not hold the whole prompt.
func allocateSpread(engines []*targetState, free map[string]int, r MemoryRequest, perEngine int) []Allocation {
	if r.Tokens <= perEngine {
		return nil // fits on one engine once memory is free
	}
	sort.SliceStable(engines, func(i, j int) bool { return free[engines[i].ID] > free[engines[j].ID] })
	var allocations []Allocation
	left := r.Tokens
	for _, ts := range engines {
		share := min(left, free[ts.ID])
		if share <= r.MaxOutputTokens {
			break // the engine that runs the prompt holds the output as well
		}
		allocations = append(allocations, Allocation{Target: ts.ID, Addr: ts.Addr, Tokens: share})
		left -= share
		if left == 0 {
			return allocations
		}
	}
	return nil
}

// neverFits reports whether a prompt is too large for all engines of the cell together, including those ejected for now.
// It returns false on an instance that has just started and does not know the list of targets or the service yet.
func (l *Ledger) neverFits(c *cell, r MemoryRequest) bool {
	service := l.service(c)
	engines := l.matchingEngines(c, func(ts *targetState) bool { return ts.accepts(Request{Model: r.Model}) })
	if len(engines) == 0 || service.Name == "" {
		return false
	}
	total := 0
	for _, ts := range engines {
		total += longPromptMemory(service, ts)
	}
	return r.Tokens > total
}

// usableEngines returns the engines of a cell that can take a prompt for this model now.
func (l *Ledger) usableEngines(c *cell, model string, exclude []string) []*targetState {
	now := clock.Now()
	excluded := make(map[string]bool, len(exclude))
	for _, id := range exclude {
		excluded[id] = true
	}
	return l.matchingEngines(c, func(ts *targetState) bool { return ts.usable(now, Request{Model: model, Exclude: excluded}) })
}

// matchingEngines returns the matching engines of a cell. Cells divide the engines of a service by a hash of their IDs.
func (l *Ledger) matchingEngines(c *cell, matches func(*targetState) bool) []*targetState {
	var all []*targetState
	for _, ts := range l.Table.targets {
		if ts.Service == c.service && matches(ts) {
			all = append(all, ts)
		}
	}
	cells := max(1, len(all)/enginesPerCell)
	var inCell []*targetState
	for _, ts := range all {
		if int(xxhash.Sum64String(ts.ID)%uint64(cells)) == c.index%cells {
			inCell = append(inCell, ts)
		}
	}
	return inCell
}

func (l *Ledger) service(c *cell) config.Service {
	s, _ := l.Config().Service(c.service)
	return s
}

// longPromptMemory returns how many tokens of an engine's memory long prompts may use together.
func longPromptMemory(s config.Service, ts *targetState) int {
	memory := s.MemoryTokens
	if ts != nil && ts.report.MemoryTokens > 0 {
		memory = ts.report.MemoryTokens
	}
	return memory * s.LongMemoryPercent / 100
}

func cellKey(service string, index int) string { return "cell/" + service + "/" + strconv.Itoa(index) }
