package board

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	maxPartsShare     = 0.75                   // of the engines: the most that read one prompt, so that some stay free for short ones
	maxParts          = 16                     // engines that read one prompt
	spreadThreshold   = 0.2                    // of its aim: a prompt that takes longer to read may be read by several engines
	extraPartCost     = 0.003                  // of its value for each further engine that reads a prompt, as later ones find fewer engines free
	maxMemoryShare    = 0.9                    // of an engine's memory that is given out
	propagationTime   = 10 * clock.Millis(1)   // until other instances know of a placement
	choicesPerUnknown = 3.0                    // engines to choose from at random, for each placement that is not known yet
	maxChoicesShare   = 0.25                   // of the engines
	equalCostMargin   = 0.03                   // of its value: engines that cost a prompt no more than this above the best are as good
	idleBacklog       = 300 * clock.Millis(1)  // unread at each engine on average, up to which their time costs nothing
	fullBacklog       = 1500 * clock.Millis(1) // at which it costs the most
	maxTimePrice      = 20.0                   // value of a millisecond of a loaded engine, in tokens
	longPassPrice     = 1.0                    // value of a millisecond for which an engine is kept from long passes, in tokens
)

// timePrice returns what a millisecond of the engines' time is worth to others, by how much waits to be read.
func timePrice(nodes []*targetState) float64 {
	total := 0.0
	for _, n := range nodes {
		total += n.prefillBacklog()
	}
	mean := total / float64(len(nodes))
	return maxTimePrice * min(1, max(0, mean-float64(idleBacklog))/float64(fullBacklog-idleBacklog))
}

// choice is a choice that is being weighed.
type choice struct {
	primary     *targetState
	helpers     []*targetState
	splitMemory bool // helpers keep the memory of their parts
	firstEvent  float64
	cost        float64
}

// chooseEngines weighs one engine, and for a long prompt several, by the value lost for it and for those it disturbs.
func chooseEngines(now clock.Millis, need Requirements, nodes []*targetState, choices int) choice {
	for _, n := range nodes {
		n.advance(now)
		n.baseline = n.schedule.Forecast(nil)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	best := choice{}
	aim := float64(max(need.FirstEventSLO, 1))
	whole := slices.ContainsFunc(nodes, func(n *targetState) bool { return n.hasMemory(need.PromptTokens + need.MaxOutputTokens) })
	most := min(maxParts, max(1, int(maxPartsShare*float64(len(nodes)))))
	if !whole {
		most = min(maxParts, max(most, need.minParts(nodes)), len(nodes))
	}
	for parts := 1; parts <= most; parts++ {
		if parts > 1 && whole && nodes[0].schedule.Engine.PrefillTime(need.PromptTokens) < spreadThreshold*aim {
			break
		}
		p := chooseParts(now, need, nodes, parts, !whole, choices)
		if p.primary != nil && (best.primary == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// minParts returns into how many parts a prompt must be split for engines without other requests to hold them.
func (n Requirements) minParts(nodes []*targetState) int {
	limit := int(maxMemoryShare * float64(nodes[0].schedule.Engine.Memory))
	return (n.PromptTokens+n.MaxOutputTokens)/max(limit-n.MaxOutputTokens, 1) + 1
}

// candidate is what an engine could do for a prompt, and what that costs.
type candidate struct {
	*targetState
	cost         float64
	prefillEnd   float64                // milliseconds until the part is read
	firstEvent   float64                // until the first event, if all other parts are read by then
	lossToOthers map[requestKey]float64 // value that others lose
}

// chooseParts takes the engines on which equal parts of the prompt cost least: one that runs it, and helpers. Where the
// prompt is split, each keeps the memory of its part.
func chooseParts(now clock.Millis, need Requirements, nodes []*targetState, parts int, split bool, choices int) choice {
	memory, share := need.PromptTokens+need.MaxOutputTokens, 0
	if split {
		share = need.PromptTokens / parts
		memory = share + need.MaxOutputTokens
	}
	first := choosePrimary(now, need, nodes, parts, memory, choices)
	if first == nil || split && parts < 2 {
		return choice{}
	}
	chosen := []candidate{*first}
	if parts > 1 {
		chosen = append(chosen, chooseHelpers(now, need, nodes, parts, share, first.targetState)...)
	}
	if len(chosen) < parts {
		return choice{}
	}
	p := first.combine(need, chosen)
	p.splitMemory = split
	return p
}

// choosePrimary takes one of the engines that cost least, at random among some that are as good.
func choosePrimary(now clock.Millis, need Requirements, nodes []*targetState, parts, memory, choices int) *candidate {
	roles := make([]candidate, 0, len(nodes))
	for _, n := range nodes {
		if n.hasMemory(memory) {
			roles = append(roles, n.evaluate(now, need, parts, false))
		}
	}
	if len(roles) == 0 {
		return nil
	}
	slices.SortFunc(roles, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	equal := 1
	for equal < min(choices, len(roles)) && roles[equal].cost <= roles[0].cost+equalCostMargin*need.value() {
		equal++
	}
	return &roles[rand.IntN(equal)]
}

func chooseHelpers(now clock.Millis, need Requirements, nodes []*targetState, parts, memory int, first *targetState) []candidate {
	roles := make([]candidate, 0, len(nodes))
	for _, n := range nodes {
		if n != first && n.hasMemory(memory) {
			roles = append(roles, n.evaluate(now, need, parts, true))
		}
	}
	slices.SortStableFunc(roles, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return roles[:min(len(roles), parts-1)]
}

// evaluate returns what it costs that an engine reads one of several equal parts.
func (n *targetState) evaluate(now clock.Millis, need Requirements, parts int, helper bool) candidate {
	r := candidate{targetState: n}
	task := n.schedule.Engine.NewTask(need.PromptTokens, parts, need.PromptTokens/parts, need.MaxOutputTokens, helper)
	after := n.schedule.Forecast(task)
	r.prefillEnd = after.PrefillEnds[len(after.PrefillEnds)-1]
	r.firstEvent = r.prefillEnd + n.firstEventDelay(after)
	r.lossToOthers = n.otherLosses(now, after)
	r.cost = need.loss(r.firstEvent) + n.failureRate(now)*need.value()
	if !helper {
		r.cost += longPassPrice * n.longPassBlockTime(need)
	}
	for _, lost := range r.lossToOthers {
		r.cost += lost
	}
	return r
}

// combine sums up what a choice of engines costs; a work that several of them delay is counted once.
func (primary *candidate) combine(need Requirements, chosen []candidate) choice {
	p := choice{primary: primary.targetState}
	delayed := make(map[requestKey]float64)
	for i, r := range chosen {
		if i > 0 {
			p.helpers = append(p.helpers, r.targetState)
		}
		p.firstEvent = max(p.firstEvent, r.prefillEnd)
		p.cost += r.cost - need.loss(r.firstEvent)
		for k, lost := range r.lossToOthers {
			p.cost -= lost
			delayed[k] = max(delayed[k], lost)
		}
	}
	for _, lost := range delayed {
		p.cost += lost
	}
	p.firstEvent += primary.firstEvent - primary.prefillEnd
	p.cost += need.loss(p.firstEvent) + extraPartCost*need.value()*float64(len(chosen)-1)
	return p
}

// hasMemory reports whether an engine has the memory for some more tokens.
func (n *targetState) hasMemory(tokens int) bool {
	limit := maxMemoryShare * float64(n.schedule.Engine.Memory)
	return limit == 0 || tokens == 0 || float64(n.memoryHeld()+tokens) <= limit
}
