package board

import (
	"math/rand/v2"
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	lateShare   = 0.75 // of a request's value that is lost when it is late
	lostShare   = 0.25 // that is lost in addition when the caller gives up
	slopeShare  = 0.02 // of the value for each aim that the first event takes, so that of two in time the sooner is chosen
	soonEdge    = 0.75 // of an aim: predictions above it begin to count as late
	lateEdge    = 1.15 // of an aim: predictions above it count as late for certain
	maxParts    = 16   // engines that read one prompt
	spreadAbove = 0.2  // of its aim: a prompt that takes longer to read may be read by several engines
	partCost    = 0.01 // of its value for each further engine that reads a prompt, as later ones find fewer engines free
	memoryShare = 0.9  // of an engine's memory that is given out
	zoneCost    = 0.3  // slots that a plain target in another zone seems busier
	patience    = 4    // aims after which callers give up
	minPatience = 2 * clock.Second
)

// Placement is where a request runs.
type Placement struct {
	Target    Target
	Helpers   []Target     // engines that read a part of the prompt
	Predicted clock.Millis // to the first event; zero for a plain service

	board  *Board
	number uint64
}

// pick is a choice that is being weighed.
type pick struct {
	first     *node
	helpers   []*node
	predicted float64
	cost      float64
}

// choosePlain prefers targets with few requests, near, and without failures.
func choosePlain(now clock.Millis, zone string, nodes []*node) pick {
	best := pick{}
	for _, n := range nodes {
		cost := float64(n.running())/float64(max(n.Slots, 1)) + 4*n.risk(now) + 0.01*rand.Float64()
		if n.Zone != zone {
			cost += zoneCost / float64(max(n.Slots, 1))
		}
		if best.first == nil || cost < best.cost {
			best = pick{first: n, cost: cost}
		}
	}
	return best
}

// chooseEngine weighs one engine, and for a long prompt several, by the value lost for it and for those it disturbs.
func chooseEngine(now clock.Millis, need Need, nodes []*node) pick {
	for _, n := range nodes {
		n.advance(now)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	best := pick{}
	aim := float64(max(need.Aim, 1))
	for parts := 1; parts <= min(len(nodes), maxParts); parts++ {
		if parts > 1 && nodes[0].engine.ReadTime(need.Prompt) < spreadAbove*aim {
			break
		}
		p := chooseParts(now, need, nodes, parts)
		if p.first != nil && (best.first == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// chooseParts takes the engines on which equal parts of the prompt cost least.
func chooseParts(now clock.Millis, need Need, nodes []*node, parts int) pick {
	type option struct {
		*node
		cost, predicted float64
		fits            bool
	}
	options := make([]option, 0, len(nodes))
	for _, n := range nodes {
		o := option{node: n, fits: n.fits(need, parts)}
		part := n.engine.PartTime(need.Prompt, parts)
		tokens := need.Prompt / parts
		o.predicted = n.predict(part, tokens)
		own := loss(float64(need.Elapsed)+o.predicted, need.Aim, need.value())
		o.cost = own/float64(parts) + n.harm(now, part, tokens, parts > 1) + n.risk(now)*need.value()
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	first := slices.IndexFunc(options, func(o option) bool { return o.fits })
	if first < 0 {
		return pick{}
	}
	p := pick{first: options[first].node}
	chosen := []option{options[first]}
	for i, o := range options {
		if i != first && len(chosen) < parts {
			chosen = append(chosen, o)
			p.helpers = append(p.helpers, o.node)
		}
	}
	for _, o := range chosen {
		p.predicted = max(p.predicted, o.predicted)
		p.cost += o.cost - loss(float64(need.Elapsed)+o.predicted, need.Aim, need.value())/float64(parts)
	}
	p.cost += loss(float64(need.Elapsed)+p.predicted, need.Aim, need.value())
	p.cost += partCost * need.value() * float64(parts-1)
	return p
}

func (n *node) fits(need Need, _ int) bool {
	memory := float64(n.engine.Memory)
	return memory == 0 || n.running() == 0 && need.Prompt+need.Output <= n.engine.Memory ||
		float64(n.held()+need.Prompt+need.Output) <= memoryShare*memory
}

// predict returns how long it takes until a further prompt's first event, in milliseconds.
func (n *node) predict(part float64, tokens int) float64 {
	writers, context, backlog, unread := n.load()
	e := n.engine
	wait := 0.0
	if over := n.running() - n.slots(); over >= 0 {
		wait = float64(over+1) * n.slotTime(writers, context)
	}
	total := backlog + part
	if writers == 0 && wait == 0 {
		return (total + e.WriteTime(1, tokens)) * n.slowness()
	}
	current := e.PassTime(writers, context, backlog, unread) / 2
	passes := 1.0
	if most := e.PassTokens(); most > 0 {
		passes += float64((unread + tokens) / most)
	}
	return (wait + current + total + passes*e.WriteTime(writers+1, context+tokens)) * n.slowness()
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

// harm returns the value that others on an engine lose when it reads a further part; a helper's part goes ahead of theirs.
func (n *node) harm(now clock.Millis, part float64, tokens int, ahead bool) float64 {
	writers, context, backlog, unread := n.load()
	before := n.engine.PassTime(writers, context, backlog, unread) * n.slowness()
	after := n.engine.PassTime(writers, context, backlog+part, unread+tokens) * n.slowness()
	total := 0.0
	for _, j := range n.jobs {
		if j.helper {
			continue
		}
		if j.reading > 0 {
			if !ahead {
				continue
			}
			elapsed := float64(now - j.placed)
			total += loss(elapsed+before+part, j.work.Aim, j.work.value()) - loss(elapsed+before, j.work.Aim, j.work.value())
			continue
		}
		total += late(after, j.work.Pause)*j.work.value() - late(before, j.work.Pause)*j.work.value()
	}
	return total
}

// loss is the value lost when the first event comes after some milliseconds.
func loss(predicted float64, aim clock.Millis, value float64) float64 {
	if aim <= 0 {
		return 0
	}
	limit := float64(max(patience*aim, minPatience))
	gone := min(1, max(0, predicted/limit-soonEdge)/(lateEdge-soonEdge))
	return value * (late(predicted, aim) + lostShare*gone + slopeShare*predicted/float64(aim))
}

// late is the share of value lost when something takes some milliseconds, against what is wanted.
func late(took float64, wanted clock.Millis) float64 {
	if wanted <= 0 {
		return 0
	}
	return lateShare * min(1, max(0, took/float64(wanted)-soonEdge)/(lateEdge-soonEdge))
}
