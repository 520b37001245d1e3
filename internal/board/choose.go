package board

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	partShare   = 0.75                   // of the engines: the most that read one prompt, so that some stay free for short ones
	maxParts    = 16                     // engines that read one prompt
	spreadAbove = 0.2                    // of its aim: a prompt that takes longer to read may be read by several engines
	partCost    = 0.003                  // of its value for each further engine that reads a prompt, as later ones find fewer engines free
	memoryShare = 0.9                    // of an engine's memory that is given out
	newsTime    = 10 * clock.Millis(1)   // until other instances know of a placement
	choicesFor  = 3.0                    // engines to choose from at random, for each placement that is not known yet
	mostChoices = 0.25                   // of the engines
	equalCost   = 0.03                   // of its value: engines that cost a prompt no more than this above the best are as good
	idleBacklog = 300 * clock.Millis(1)  // unread at each engine on average, up to which their time costs nothing
	fullBacklog = 1500 * clock.Millis(1) // at which it costs the most
	timePrice   = 20.0                   // value of a millisecond of a loaded engine, in tokens
	passPrice   = 1.0                    // value of a millisecond for which an engine is kept from long passes, in tokens
)

// price returns what a millisecond of the engines' time is worth to others, by how much waits to be read.
func price(nodes []*node) float64 {
	total := 0.0
	for _, n := range nodes {
		total += n.backlog()
	}
	mean := total / float64(len(nodes))
	return timePrice * min(1, max(0, mean-float64(idleBacklog))/float64(fullBacklog-idleBacklog))
}

// pick is a choice that is being weighed.
type pick struct {
	first     *node
	helpers   []*node
	split     bool // helpers keep the memory of their parts
	predicted float64
	cost      float64
}

// chooseEngine weighs one engine, and for a long prompt several, by the value lost for it and for those it disturbs.
func chooseEngine(now clock.Millis, need Requirements, nodes []*node, choices int) pick {
	for _, n := range nodes {
		n.advance(now)
		n.before = n.passes.Forecast(nil)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	best := pick{}
	aim := float64(max(need.FirstEventSLO, 1))
	whole := slices.ContainsFunc(nodes, func(n *node) bool { return n.fits(need.PromptTokens + need.Output) })
	most := min(maxParts, max(1, int(partShare*float64(len(nodes)))))
	if !whole {
		most = min(maxParts, max(most, need.fewestParts(nodes)), len(nodes))
	}
	for parts := 1; parts <= most; parts++ {
		if parts > 1 && whole && nodes[0].passes.Engine.ReadTime(need.PromptTokens) < spreadAbove*aim {
			break
		}
		p := chooseParts(now, need, nodes, parts, !whole, choices)
		if p.first != nil && (best.first == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// fewestParts returns into how many parts a prompt must be split for engines without other requests to hold them.
func (n Requirements) fewestParts(nodes []*node) int {
	limit := int(memoryShare * float64(nodes[0].passes.Engine.Memory))
	return (n.PromptTokens+n.Output)/max(limit-n.Output, 1) + 1
}

// role is what an engine could do for a prompt, and what that costs.
type role struct {
	*node
	cost      float64
	read      float64         // milliseconds until the part is read
	predicted float64         // until the first event, if all other parts are read by then
	delayed   map[key]float64 // value that others lose
}

// chooseParts takes the engines on which equal parts of the prompt cost least: one that runs it, and helpers. Where the
// prompt is split, each keeps the memory of its part.
func chooseParts(now clock.Millis, need Requirements, nodes []*node, parts int, split bool, choices int) pick {
	memory, share := need.PromptTokens+need.Output, 0
	if split {
		share = need.PromptTokens / parts
		memory = share + need.Output
	}
	first := chooseFirst(now, need, nodes, parts, memory, choices)
	if first == nil || split && parts < 2 {
		return pick{}
	}
	chosen := []role{*first}
	if parts > 1 {
		chosen = append(chosen, chooseHelpers(now, need, nodes, parts, share, first.node)...)
	}
	if len(chosen) < parts {
		return pick{}
	}
	p := first.pick(need, chosen)
	p.split = split
	return p
}

// chooseFirst takes one of the engines that cost least, at random among some that are as good.
func chooseFirst(now clock.Millis, need Requirements, nodes []*node, parts, memory, choices int) *role {
	roles := make([]role, 0, len(nodes))
	for _, n := range nodes {
		if n.fits(memory) {
			roles = append(roles, n.weigh(now, need, parts, false))
		}
	}
	if len(roles) == 0 {
		return nil
	}
	slices.SortFunc(roles, func(a, b role) int { return cmp.Compare(a.cost, b.cost) })
	equal := 1
	for equal < min(choices, len(roles)) && roles[equal].cost <= roles[0].cost+equalCost*need.value() {
		equal++
	}
	return &roles[rand.IntN(equal)]
}

func chooseHelpers(now clock.Millis, need Requirements, nodes []*node, parts, memory int, first *node) []role {
	roles := make([]role, 0, len(nodes))
	for _, n := range nodes {
		if n != first && n.fits(memory) {
			roles = append(roles, n.weigh(now, need, parts, true))
		}
	}
	slices.SortStableFunc(roles, func(a, b role) int { return cmp.Compare(a.cost, b.cost) })
	return roles[:min(len(roles), parts-1)]
}

// weigh returns what it costs that an engine reads one of several equal parts.
func (n *node) weigh(now clock.Millis, need Requirements, parts int, helper bool) role {
	r := role{node: n}
	task := n.passes.Engine.NewTask(need.PromptTokens, parts, need.PromptTokens/parts, need.Output, helper)
	after := n.passes.Forecast(task)
	r.read = after.Read[len(after.Read)-1]
	r.predicted = r.read + n.firstEvent(after)
	r.delayed = n.harm(now, after)
	r.cost = need.loss(r.predicted) + n.risk(now)*need.value()
	if !helper {
		r.cost += passPrice * n.shortPassTime(need)
	}
	for _, lost := range r.delayed {
		r.cost += lost
	}
	return r
}

// pick sums up what a choice of engines costs; a work that several of them delay is counted once.
func (first *role) pick(need Requirements, chosen []role) pick {
	p := pick{first: first.node}
	delayed := make(map[key]float64)
	for i, r := range chosen {
		if i > 0 {
			p.helpers = append(p.helpers, r.node)
		}
		p.predicted = max(p.predicted, r.read)
		p.cost += r.cost - need.loss(r.predicted)
		for k, lost := range r.delayed {
			p.cost -= lost
			delayed[k] = max(delayed[k], lost)
		}
	}
	for _, lost := range delayed {
		p.cost += lost
	}
	p.predicted += first.predicted - first.read
	p.cost += need.loss(p.predicted) + partCost*need.value()*float64(len(chosen)-1)
	return p
}

// fits reports whether an engine has the memory for some more tokens.
func (n *node) fits(tokens int) bool {
	limit := memoryShare * float64(n.passes.Engine.Memory)
	return limit == 0 || tokens == 0 || float64(n.held()+tokens) <= limit
}
