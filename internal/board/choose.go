package board

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	lateShare   = 0.75                   // of a request's value that is lost when it is late
	lostShare   = 0.25                   // that is lost in addition when the caller gives up
	slopeShare  = 0.1                    // of the value when the first event takes all of its aim, so that of two in time the sooner is chosen
	soonEdge    = 0.75                   // of an aim: predictions above it begin to count as late
	lateEdge    = 1.15                   // of an aim: predictions above it count as late for certain
	partShare   = 0.75                   // of the engines: the most that read one prompt, so that some stay free for short ones
	maxParts    = 16                     // engines that read one prompt
	spreadAbove = 0.2                    // of its aim: a prompt that takes longer to read may be read by several engines
	lateSlope   = 0.01                   // the same for each further aim
	goneFrom    = 0.6                    // of a caller's patience: predictions above it begin to count as lost
	goneFor     = 0.9                    // of a caller's patience: predictions above it count as lost for certain
	partCost    = 0.003                  // of its value for each further engine that reads a prompt, as later ones find fewer engines free
	memoryShare = 0.9                    // of an engine's memory that is given out
	newsTime    = 10 * clock.Millis(1)   // until other instances know of a placement
	choicesFor  = 3.0                    // engines to choose from at random, for each placement that is not known yet
	mostChoices = 0.25                   // of the engines
	equalCost   = 0.03                   // of its value: engines that cost a prompt no more than this above the best are as good
	idleBacklog = 300 * clock.Millis(1)  // unread at each engine on average, up to which their time costs nothing
	fullBacklog = 1500 * clock.Millis(1) // at which it costs the most
	timePrice   = 20.0                   // value of a millisecond of a loaded engine, in tokens
	zoneCost    = 0.3                    // slots that a plain target in another zone seems busier
	riskCost    = 4                      // times a plain target's slots that it seems busier if all of its requests fail
	tieCost     = 0.01                   // of a target's slots, at random, so that equal targets are taken in turn
	slowTimes   = 2.5                    // as long as the fastest target's answers: a plain target that takes longer is slow
	slowCost    = 0.2                    // of a target's slots that it seems busier for each time as long as the fastest
	patience    = 4                      // aims after which callers give up
	minPatience = 2 * clock.Second
)

// Placement is where a request runs.
type Placement struct {
	Target    Target
	Helpers   []Target     // engines that read a part of the prompt
	Memory    int          // tokens that each helper is to keep; zero if the first engine has the memory for all
	Predicted clock.Millis // to the first event; zero for a plain service

	board  *Board
	number uint64
	lost   chan struct{}
	once   sync.Once
}

// price returns what a millisecond of the engines' time is worth to others, by how much waits to be read.
func price(nodes []*node) float64 {
	total := 0.0
	for _, n := range nodes {
		_, _, backlog, _ := n.load()
		total += backlog
	}
	mean := total / float64(len(nodes))
	return timePrice * min(1, max(0, mean-float64(idleBacklog))/float64(fullBacklog-idleBacklog))
}

// HelperIDs returns the ids of the engines that read a part of the prompt.
func (p *Placement) HelperIDs() []string {
	ids := make([]string, len(p.Helpers))
	for i, h := range p.Helpers {
		ids[i] = h.ID
	}
	return ids
}

// HelperNamed returns the id of the helper with an id or address, or nothing.
func (p *Placement) HelperNamed(name string) string {
	for _, h := range p.Helpers {
		if name != "" && (h.ID == name || h.Addr == name) {
			return h.ID
		}
	}
	return ""
}

// Blame counts a failure against a helper.
func (p *Placement) Blame(helper string) {
	b := p.board
	b.Loop.Post(func() {
		b.judge(helper, Unreachable)
		b.pending.Dark = append(b.pending.Dark, helper)
	})
}

// TicketID names the lease of memory at a helper, uniquely for each placement.
func (p *Placement) TicketID(helper int) string {
	return fmt.Sprintf("%s-%x-%d", p.board.Self, p.number, helper)
}

// pick is a choice that is being weighed.
type pick struct {
	first     *node
	helpers   []*node
	split     bool // helpers keep the memory of their parts
	predicted float64
	cost      float64
}

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

// chooseEngine weighs one engine, and for a long prompt several, by the value lost for it and for those it disturbs.
func chooseEngine(now clock.Millis, need Need, nodes []*node, choices int) pick {
	for _, n := range nodes {
		n.advance(now)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	best := pick{}
	aim := float64(max(need.Aim, 1))
	whole := slices.ContainsFunc(nodes, func(n *node) bool { return n.fits(need.Prompt + need.Output) })
	most := min(maxParts, max(1, int(partShare*float64(len(nodes)))))
	if !whole {
		most = min(maxParts, max(most, need.fewestParts(nodes)), len(nodes))
	}
	for parts := 1; parts <= most; parts++ {
		if parts > 1 && whole && nodes[0].engine.ReadTime(need.Prompt) < spreadAbove*aim {
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
func (n Need) fewestParts(nodes []*node) int {
	limit := int(memoryShare * float64(nodes[0].engine.Memory))
	return (n.Prompt+n.Output)/max(limit-n.Output, 1) + 1
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
func chooseParts(now clock.Millis, need Need, nodes []*node, parts int, split bool, choices int) pick {
	memory, share := need.Prompt+need.Output, 0
	if split {
		share = need.Prompt / parts
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
func chooseFirst(now clock.Millis, need Need, nodes []*node, parts, memory, choices int) *role {
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

func chooseHelpers(now clock.Millis, need Need, nodes []*node, parts, memory int, first *node) []role {
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
func (n *node) weigh(now clock.Millis, need Need, parts int, helper bool) role {
	r := role{node: n}
	part := n.engine.PartTime(need.Prompt, parts)
	tokens := need.Prompt / parts
	r.read = n.predictRead(part, tokens, parts, helper)
	r.predicted = r.read + n.predictWrite(tokens, parts)
	r.delayed = n.harm(now, part, tokens, helper)
	r.cost = need.loss(r.predicted) + n.risk(now)*need.value()
	for _, lost := range r.delayed {
		r.cost += lost
	}
	return r
}

// pick sums up what a choice of engines costs; a work that several of them delay is counted once.
func (first *role) pick(need Need, chosen []role) pick {
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

func (n Need) loss(predicted float64) float64 {
	return loss(float64(n.Elapsed)+predicted, n.Aim, n.value())
}

// fits reports whether an engine has the memory for some more tokens.
func (n *node) fits(tokens int) bool {
	limit := memoryShare * float64(n.engine.Memory)
	return limit == 0 || tokens == 0 || float64(n.held()+tokens) <= limit
}

// predictRead returns how long it takes until one of several parts of a further prompt is read, in milliseconds. A helper's
// part is read before all that waits, and takes no slot.
func (n *node) predictRead(part float64, tokens, parts int, helper bool) float64 {
	writers, context, backlog, unread := n.load()
	e := n.engine
	if helper {
		backlog, unread = 0, 0
	}
	total := backlog + part
	if over := n.running() - n.slots(); over >= 0 && !helper {
		total += float64(over+1) * n.slotTime(writers, context)
	}
	if writers == 0 {
		return total * n.slowness()
	}
	// The latest of several engines counts, each of which is in the middle of a pass.
	current := e.PassTime(writers, context, backlog, unread) * float64(parts) / float64(parts+1)
	passes := 0.0
	if most := e.PassTokens(); most > 0 {
		passes = float64((unread + tokens) / most)
	}
	return (current + total + passes*e.WriteTime(writers, context)) * n.slowness()
}

// predictWrite returns how long it takes from the end of reading until the first event. Where other engines read as well,
// the first one is in the middle of a pass by then.
func (n *node) predictWrite(tokens, parts int) float64 {
	writers, context, _, _ := n.load()
	if writers == 0 {
		return n.engine.StepTime * n.slowness()
	}
	write := n.engine.WriteTime(writers+1, context+tokens)
	if parts > 1 {
		write += n.engine.WriteTime(writers, context) / 2
	}
	return write * n.slowness()
}

func (n *node) slots() int {
	if n.engine.Slots > 0 {
		return n.engine.Slots
	}
	return max(n.Slots, 1)
}

// slotTime estimates how long it takes until an answer ends when all slots are taken.
func (n *node) slotTime(writers, context int) float64 {
	left := 0.0
	for _, j := range n.jobs {
		if !j.helper {
			left += float64(j.work.Output) / float64(max(n.engine.Stride, 1))
		}
	}
	passes := left / 2 / float64(max(n.running(), 1))
	return passes * n.engine.WriteTime(max(writers, 1), context) / float64(n.slots())
}

// harm returns the value that others on an engine lose when it reads a further part, by work.
func (n *node) harm(now clock.Millis, part float64, tokens int, helper bool) map[key]float64 {
	writers, context, backlog, unread := n.load()
	before := n.engine.PassTime(writers, context, backlog, unread) * n.slowness()
	after := n.engine.PassTime(writers, context, backlog+part, unread+tokens) * n.slowness()
	delayed := make(map[key]float64)
	for _, j := range n.jobs {
		if j.reading <= 0 && !j.helper {
			delayed[j.key] = (late(after, j.work.Pause) - late(before, j.work.Pause)) * j.work.value()
		}
	}
	if !helper {
		return delayed
	}
	done := 0.0
	for _, j := range n.unread() {
		done += j.reading
		at := float64(now-j.placed) + done*n.slowness()
		lost := loss(at+part*n.slowness(), j.work.Aim, j.work.value()) - loss(at, j.work.Aim, j.work.value())
		delayed[j.key] = lost
	}
	return delayed
}

// loss is the value lost when the first event comes after some milliseconds.
func loss(predicted float64, aim clock.Millis, value float64) float64 {
	if aim <= 0 {
		return 0
	}
	limit := float64(max(patience*aim, minPatience))
	gone := min(1, max(0, predicted/limit-goneFrom)/(goneFor-goneFrom))
	aims := predicted / float64(aim)
	return value * (late(predicted, aim) + lostShare*gone + slopeShare*min(1, aims) + lateSlope*max(0, aims-1))
}

// late is the share of value lost when something takes some milliseconds, against what is wanted.
func late(took float64, wanted clock.Millis) float64 {
	if wanted <= 0 {
		return 0
	}
	return lateShare * min(1, max(0, took/float64(wanted)-soonEdge)/(lateEdge-soonEdge))
}
