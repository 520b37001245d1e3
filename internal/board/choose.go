package board

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/model"
)

const (
	maxPartsShare   = 0.75         // of the engines: the most that prefill one prompt, so that some stay free for short prompts
	maxParts        = 16           // most engines that prefill one prompt
	maxShortlist    = 3 * maxParts // engines among which a prompt is divided
	shortlistParts  = maxParts / 4 // number of parts by which engines are compared for that
	spreadThreshold = 0.2          // of FirstEventSLO: a prompt whose prefill takes less is divided only if memory requires it
	maxMemoryShare  = 0.9          // of an engine's memory: the most that requests may hold
)

// choice is a choice of engines, or of one plain target, with its cost.
type choice struct {
	primary     *targetState
	helpers     []*targetState
	splitMemory bool    // helpers keep their parts in memory until the answer ends
	firstEvent  float64 // predicted, milliseconds from now
	cost        float64
	startCost   float64 // part of the cost that keeps requests from engines that have just started; nothing is lost by it
	othersLoss  float64 // the part of cost that other requests lose
}

// chooseEngines returns the choice of one engine, or of several for a long prompt, by which the request and those that it
// delays lose the least value. If no choice is possible, the result has no primary.
//
// If no engine has the memory for the whole prompt, the prompt is split, and each engine keeps its part in memory.
func chooseEngines(now clock.Millis, req Requirements, engine model.Engine, targets []*targetState, random randomness) choice {
	for _, s := range targets {
		s.advance(now)
		s.baseline = s.schedule.Forecast(nil)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	fitsOne := slices.ContainsFunc(targets, func(s *targetState) bool { return s.hasMemory(req.PromptTokens + req.MaxOutputTokens) })
	best := chooseParts(now, req, targets, 1, !fitsOne, random)
	if fitsOne && !req.worthDividing(engine) {
		return best
	}
	maxUsed := min(maxParts, max(1, int(maxPartsShare*float64(len(targets)))))
	if !fitsOne {
		maxUsed = min(maxParts, max(maxUsed, req.partsToFit(engine)))
	}
	if maxUsed > 1 {
		targets = shortlist(now, req, targets, !fitsOne)
	}
	for parts := 2; parts <= min(maxUsed, len(targets)); parts++ {
		option := chooseParts(now, req, targets, parts, !fitsOne, random)
		if option.primary != nil && (best.primary == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

// worthDividing reports whether the prefill of a prompt on one engine takes so long that it may be divided.
func (r Requirements) worthDividing(engine model.Engine) bool {
	return engine.PrefillTime(r.PromptTokens) >= spreadThreshold*float64(max(r.FirstEventSLO, 1))
}

// shortlist returns the engines that prefill parts of a prompt at the least cost, so that the time to choose among numbers
// of parts does not grow with the fleet. With split, engines without the memory for the smallest part are left out. The result of a
// large fleet is empty if no engine may help.
func shortlist(now clock.Millis, req Requirements, targets []*targetState, split bool) []*targetState {
	if len(targets) <= maxShortlist {
		return targets
	}
	memory := 0
	if split {
		memory = req.PromptTokens / maxParts
	}
	candidates := rankHelpers(now, req, targets, shortlistParts, memory, nil)
	cheapest := make([]*targetState, 0, maxShortlist)
	for _, c := range candidates[:min(maxShortlist, len(candidates))] {
		cheapest = append(cheapest, c.targetState)
	}
	return cheapest
}

// partsToFit returns a number of parts that suffices for a part of the prompt and the answer to fit into the memory of an
// idle engine.
func (r Requirements) partsToFit(engine model.Engine) int {
	limit := int(maxMemoryShare * float64(engine.Memory))
	return (r.PromptTokens+r.MaxOutputTokens)/max(limit-r.MaxOutputTokens, 1) + 1
}

// chooseParts returns the cheapest engines for a given number of equal parts: a primary, which generates the answer,
// and helpers, which only prefill. With split, each engine keeps its own part in memory; otherwise the primary keeps the
// whole prompt, and the helpers keep nothing.
func chooseParts(now clock.Millis, req Requirements, targets []*targetState, parts int, split bool, random randomness) choice {
	memory, partMemory := req.PromptTokens+req.MaxOutputTokens, 0
	if split {
		partMemory = req.PromptTokens / parts
		memory = partMemory + req.MaxOutputTokens
		targets = warm(now, targets) // it waits for leases, so that several might be sent to a cold one at once
	}
	first := choosePrimary(now, req, targets, parts, memory, random)
	if first == nil || split && parts < 2 {
		return choice{}
	}
	chosen := []candidate{*first}
	if parts > 1 {
		chosen = append(chosen, chooseHelpers(now, req, targets, parts, partMemory, first.targetState)...)
	}
	if len(chosen) < parts {
		return choice{}
	}
	result := first.combine(req, chosen)
	result.splitMemory = split
	return result
}

// warm returns the targets that are not known to be cold.
func warm(now clock.Millis, targets []*targetState) []*targetState {
	return slices.DeleteFunc(slices.Clone(targets), func(s *targetState) bool { return s.cold.isCold(now) })
}

// choosePrimary returns the cheapest engine with enough free memory, or nil. It chooses at random among the cheapest engines
// whose costs count as equal.
func choosePrimary(now clock.Millis, req Requirements, targets []*targetState, parts, memory int, random randomness) *candidate {
	candidates := make([]candidate, 0, len(targets))
	for _, s := range targets {
		if s.hasMemory(memory) {
			candidates = append(candidates, s.evaluate(now, req, parts, false))
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	tied := 1
	for tied < min(random.choices, len(candidates)) && candidates[tied].cost <= candidates[0].cost+random.margin*req.value() {
		tied++
	}
	return &candidates[rand.IntN(tied)]
}

// chooseHelpers returns the cheapest engines with enough free memory for all parts but the first, or fewer if there are not
// as many.
func chooseHelpers(now clock.Millis, req Requirements, targets []*targetState, parts, memory int, first *targetState) []candidate {
	candidates := rankHelpers(now, req, targets, parts, memory, first)
	return candidates[:min(len(candidates), parts-1)]
}

// rankHelpers returns the engines other than first with enough free memory for a part, the cheapest ones first. An engine
// that names a rate limit or is cold helps nobody. One whose rates are limited since it was cold until lately, or might be, helps like
// any other: after a restart, those are all engines.
func rankHelpers(now clock.Millis, req Requirements, targets []*targetState, parts, memory int, first *targetState) []candidate {
	candidates := make([]candidate, 0, len(targets))
	for _, s := range targets {
		if s != first && !s.limit.named && !s.cold.isCold(now) && s.hasMemory(memory) {
			candidates = append(candidates, s.evaluate(now, req, parts, true))
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return candidates
}

// hasMemory reports whether the engine has memory for some more tokens; an engine of unknown capacity always has.
func (s *targetState) hasMemory(tokens int) bool {
	limit := maxMemoryShare * float64(s.schedule.Engine.Memory)
	return limit == 0 || tokens == 0 || float64(s.memoryHeld()+tokens) <= limit
}
