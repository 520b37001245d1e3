package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/member"
)

// CellOf returns the cell that a request should ask, and the key of its home.
func CellOf(view member.View, service string, targets int, prefix uint64) (int, []member.Member) {
	cells := max(1, targets/cellSize)
	index := int(prefix % uint64(cells))
	return index, view.Rank(cellKey(service, index))
}

// allocate places a prompt on the engine with the most room, or on as few engines as it needs; nil means to wait.
func (l *Ledger) allocate(c *cell, r MemoryRequest) []Allocation {
	service := l.service(c)
	engines := l.engines(c, r.Model, r.Exclude)
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

// allocateSpread places a prompt that is too large for one engine on several, all or nothing.
func allocateSpread(engines []*targetState, free map[string]int, r MemoryRequest, perEngine int) []Allocation {
	if r.Tokens <= perEngine {
		return nil // fits one engine once there is room
	}
	sort.SliceStable(engines, func(i, j int) bool { return free[engines[i].ID] > free[engines[j].ID] })
	var allocations []Allocation
	left := r.Tokens
	for _, ts := range engines {
		share := min(left, free[ts.ID])
		if share <= r.Output {
			break // the first engine needs room for the output as well
		}
		allocations = append(allocations, Allocation{Target: ts.ID, Addr: ts.Addr, Tokens: share})
		left -= share
		if left == 0 {
			return allocations
		}
	}
	return nil
}

// neverFits reports whether the listed engines are too small for a prompt, also those that are ejected for now. An
// instance that has just started knows neither list nor service yet, and cannot tell.
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

// engines returns the engines of a cell that a prompt may be placed on now.
func (l *Ledger) engines(c *cell, model string, exclude []string) []*targetState {
	now := clock.Now()
	excluded := make(map[string]bool, len(exclude))
	for _, id := range exclude {
		excluded[id] = true
	}
	return l.matchingEngines(c, func(ts *targetState) bool { return ts.usable(now, Request{Model: model, Exclude: excluded}) })
}

func (l *Ledger) matchingEngines(c *cell, matches func(*targetState) bool) []*targetState {
	var all []*targetState
	for _, ts := range l.Table.targets {
		if ts.Service == c.service && matches(ts) {
			all = append(all, ts)
		}
	}
	cells := max(1, len(all)/cellSize)
	var mine []*targetState
	for _, ts := range all {
		if int(xxhash.Sum64String(ts.ID)%uint64(cells)) == c.index%cells {
			mine = append(mine, ts)
		}
	}
	return mine
}

func (l *Ledger) service(c *cell) config.Service {
	s, _ := l.Config().Service(c.service)
	return s
}

// longPromptMemory is how much of an engine's memory long prompts may take together.
func longPromptMemory(s config.Service, ts *targetState) int {
	memory := s.Memory
	if ts != nil && ts.report.MemoryTokens > 0 {
		memory = ts.report.MemoryTokens
	}
	return memory * s.Room / 100
}

func cellKey(service string, index int) string { return "cell/" + service + "/" + strconv.Itoa(index) }
